package chair_test

import (
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/board/chair"
	"github.com/clementinewing/clementinewing/internal/board/file"
	"github.com/clementinewing/clementinewing/internal/board/head"
	"github.com/clementinewing/clementinewing/internal/board/sign"
)

// offer is a proposal on base 2 and a decision at revision 2, both good before a
// case spoils them.
type validInputs struct {
	head     head.Head
	file     file.File
	proposal sign.Proposal
	decision sign.Decision
	roster   head.Roster
	// proposer and decider sign again what a case changed; empty for nobody.
	proposer string
	decider  string
}

var invalidations = map[string]func(o *validInputs){
	"proposal_changed_after_signing": func(o *validInputs) {
		o.file.Services[0].Slots++
		o.proposal.Content = o.file.Hash()
	},
	"proposal_signed_by_another":     func(o *validInputs) { o.proposer = "cilli" },
	"proposal_by_a_stranger":         func(o *validInputs) { o.proposal.Operator, o.proposer = "emir", "emir" },
	"proposal_that_drops_its_signer": func(o *validInputs) { o.file.Operators = o.file.Operators[:1] },
	"proposal_that_changes_its_signers_key": func(o *validInputs) {
		o.file.Operators[1].Key = o.file.Operators[2].Key
	},
	"proposal_of_another_deployment": func(o *validInputs) {
		o.file.Name, o.proposal.File, o.proposer = "nileroll", "nileroll", "bero"
	},
	"proposal_too_many": func(o *validInputs) {
		for i := range uint32(head.MaxWaiting) {
			f := draft(1, 100+i)
			o.head = o.head.ApplyProposal(time.Time{}, signedProposal(f, "bero"), head.RosterOf(f)).Head
		}
		o.file.Base, o.proposal.Base, o.proposer = 1, 1, "bero"
	},
	"decision_changed_after_signing": func(o *validInputs) { o.decision.Verdict, o.decision.Chosen = sign.Keep, sign.ID{} },
	"decision_by_another":            func(o *validInputs) { o.decision.Chair, o.decider = "bero", "bero" },
	"decision_by_a_stranger":         func(o *validInputs) { o.decision.Chair, o.decider = "emir", "emir" },
	"decision_for_a_file_it_does_not_settle": func(o *validInputs) {
		o.decision.Chosen, o.decider = sign.ID{1}, "alma"
	},
	"decision_to_keep_and_choose":        func(o *validInputs) { o.decision.Verdict, o.decider = sign.Keep, "alma" },
	"decision_of_neither_kind":           func(o *validInputs) { o.decision.Verdict, o.decider = "blend", "alma" },
	"decision_about_nothing":             func(o *validInputs) { o.decision.Settled, o.decider = nil, "alma" },
	"decision_about_an_unknown_file":     func(o *validInputs) { o.decision.Settled, o.decider = []sign.ID{{1}}, "alma" },
	"decision_at_an_earlier_revision":    func(o *validInputs) { o.decision.Revision, o.decider = 1, "alma" },
	"decision_at_a_later_revision":       func(o *validInputs) { o.decision.Revision, o.decider = 3, "alma" },
	"decision_of_another_deployment":     func(o *validInputs) { o.decision.File, o.decider = "nileroll", "alma" },
	"decision_with_another_files_roster": func(o *validInputs) { o.roster.Name = "nileroll" },
}

func newValidInputs() *validInputs {
	d := newHarness()
	d.applyRivalFile()
	d.applyRivalFile()
	f := draft(1, 7)
	p := signedProposal(f, "bero")
	h := d.head().ApplyProposal(time.Time{}, p, head.RosterOf(f)).Head
	next := draft(2, 8)
	return &validInputs{
		head:     h,
		file:     next,
		proposal: signedProposal(next, "bero"),
		decision: takeDecision(2, p.ID()),
		roster:   head.RosterOf(f),
	}
}

// outcome applies the spoiled proposal or decision.
func (o *validInputs) submit(kind string) head.Result {
	if kind == "proposal" {
		if len(o.file.Operators) != len(operatorNames) || o.proposer != "" || o.proposal.Operator != "bero" {
			o.proposal.Content = o.file.Hash()
			o.proposal.Sign(privateKey(max(o.proposer, "bero")))
		}
		return o.head.ApplyProposal(time.Time{}, o.proposal, head.RosterOf(o.file))
	}
	if o.decider != "" {
		o.decision.Sign(privateKey(o.decider))
	}
	return chair.ApplyDecision(time.Time{}, o.head, o.decision, o.roster)
}

var _ = Describe("refusals", func() {
	It("are none before a case spoils the offer", func() {
		Expect(newValidInputs().submit("proposal").Refusal).To(BeNil())
		Expect(newValidInputs().submit("decision").Refusal).To(BeNil())
	})

	text, err := os.ReadFile("testdata/refusals.txt")
	if err != nil {
		panic(err)
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) != 2 {
			continue
		}
		It(fields[1], func() {
			o := newValidInputs()
			invalidations[fields[1]](o)
			before := o.head
			kind, _, _ := strings.Cut(fields[1], "_")
			r := o.submit(kind)
			Expect(r.Refusal).NotTo(BeNil())
			Expect(r.Refusal.Reason).To(Equal(head.Reason(fields[0])))
			Expect(r.Changed).To(BeFalse())
			Expect(r.Head).To(Equal(before))
		})
	}
})
