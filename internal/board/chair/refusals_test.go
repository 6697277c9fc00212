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

// validInputs holds a proposal with base 2 and a decision at revision 2. Both are valid
// until a test case changes them.
type validInputs struct {
	head     head.Head
	file     file.File
	proposal sign.Proposal
	decision sign.Decision
	roster   head.Roster
	// proposer and decider are who signs the changed input again, empty for nobody.
	proposer string
	decider  string
}

var invalidations = map[string]func(v *validInputs){
	"proposal_changed_after_signing": func(v *validInputs) {
		v.file.Services[0].Slots++
		v.proposal.Content = v.file.Hash()
	},
	"proposal_signed_by_another":     func(v *validInputs) { v.proposer = "cilli" },
	"proposal_by_a_stranger":         func(v *validInputs) { v.proposal.Operator, v.proposer = "emir", "emir" },
	"proposal_that_drops_its_signer": func(v *validInputs) { v.file.Operators = v.file.Operators[:1] },
	"proposal_that_changes_its_signers_key": func(v *validInputs) {
		v.file.Operators[1].Key = v.file.Operators[2].Key
	},
	"proposal_of_another_deployment": func(v *validInputs) {
		v.file.Name, v.proposal.File, v.proposer = "nileroll", "nileroll", "bero"
	},
	"proposal_too_many": func(v *validInputs) {
		for i := range uint32(head.MaxWaiting) {
			f := draft(1, 100+i)
			v.head = v.head.ApplyProposal(time.Time{}, signedProposal(f, "bero"), head.RosterOf(f)).Head
		}
		v.file.Base, v.proposal.Base, v.proposer = 1, 1, "bero"
	},
	"decision_changed_after_signing": func(v *validInputs) { v.decision.Verdict, v.decision.Chosen = sign.Keep, sign.ID{} },
	"decision_by_another":            func(v *validInputs) { v.decision.Chair, v.decider = "bero", "bero" },
	"decision_by_a_stranger":         func(v *validInputs) { v.decision.Chair, v.decider = "emir", "emir" },
	"decision_for_a_file_it_does_not_settle": func(v *validInputs) {
		v.decision.Chosen, v.decider = sign.ID{1}, "alma"
	},
	"decision_to_keep_and_choose":        func(v *validInputs) { v.decision.Verdict, v.decider = sign.Keep, "alma" },
	"decision_of_neither_kind":           func(v *validInputs) { v.decision.Verdict, v.decider = "blend", "alma" },
	"decision_about_nothing":             func(v *validInputs) { v.decision.Settled, v.decider = nil, "alma" },
	"decision_about_an_unknown_file":     func(v *validInputs) { v.decision.Settled, v.decider = []sign.ID{{1}}, "alma" },
	"decision_at_an_earlier_revision":    func(v *validInputs) { v.decision.Revision, v.decider = 1, "alma" },
	"decision_at_a_later_revision":       func(v *validInputs) { v.decision.Revision, v.decider = 3, "alma" },
	"decision_of_another_deployment":     func(v *validInputs) { v.decision.File, v.decider = "nileroll", "alma" },
	"decision_with_another_files_roster": func(v *validInputs) { v.roster.Name = "nileroll" },
}

func newValidInputs() *validInputs {
	d := newDriver()
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

// submit applies the proposal or the decision.
func (v *validInputs) submit(kind string) head.Result {
	if kind == "proposal" {
		if len(v.file.Operators) != len(operatorNames) || v.proposer != "" || v.proposal.Operator != "bero" {
			v.proposal.Content = v.file.Hash()
			v.proposal.Sign(privateKey(max(v.proposer, "bero")))
		}
		return v.head.ApplyProposal(time.Time{}, v.proposal, head.RosterOf(v.file))
	}
	if v.decider != "" {
		v.decision.Sign(privateKey(v.decider))
	}
	return chair.ApplyDecision(time.Time{}, v.head, v.decision, v.roster)
}

var _ = Describe("refusals", func() {
	It("do not occur for the unchanged inputs", func() {
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
			v := newValidInputs()
			invalidations[fields[1]](v)
			before := v.head
			kind, _, _ := strings.Cut(fields[1], "_")
			r := v.submit(kind)
			Expect(r.Refusal).NotTo(BeNil())
			Expect(r.Refusal.Reason).To(Equal(head.Reason(fields[0])))
			Expect(r.Changed).To(BeFalse())
			Expect(r.Head).To(Equal(before))
		})
	}
})
