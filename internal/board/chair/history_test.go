package chair_test

import (
	"maps"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/clementinewing/clementinewing/internal/board/chair"
	"github.com/clementinewing/clementinewing/internal/board/head"
	"github.com/clementinewing/clementinewing/internal/board/sign"
)

// naive remembers for ever what became of every proposal and decision.
type reference struct {
	revision  uint64
	inForce   map[sign.ID]uint64
	waiting   map[sign.ID]bool
	dropped   map[sign.ID]bool
	decided   map[sign.ID]uint64
	proposals []sign.Proposal
	bases     []uint32
	decisions []sign.Decision
}

func (n *reference) propose(p sign.Proposal) (revision uint64, reason head.Reason) {
	id := p.ID()
	switch {
	case n.inForce[id] > 0:
		return n.inForce[id], ""
	case n.waiting[id]:
		return 0, head.WaitingForChair
	case n.dropped[id]:
		return 0, head.NotChosen
	case p.Base > n.revision:
		return 0, head.UnknownBase
	case p.Base < n.revision && len(n.waiting) >= head.MaxWaiting:
		return 0, head.WaitingFull
	case p.Base < n.revision:
		n.waiting[id] = true
		return 0, head.WaitingForChair
	}
	n.revision++
	n.inForce[id] = n.revision
	return n.revision, ""
}

func (n *reference) decide(d sign.Decision) (revision uint64, reason head.Reason) {
	id := d.ID()
	if revision, ok := n.decided[id]; ok {
		return revision, ""
	}
	if d.Revision != n.revision {
		return 0, head.PassedBase
	}
	for _, settled := range d.Settled {
		if !n.waiting[settled] {
			return 0, head.NoSuchFile
		}
	}
	for _, settled := range d.Settled {
		delete(n.waiting, settled)
		n.dropped[settled] = true
	}
	if d.Verdict == sign.Take {
		n.revision++
		delete(n.dropped, d.Chosen)
		n.inForce[d.Chosen] = n.revision
	}
	n.decided[id] = n.revision
	return n.revision, ""
}

// long is a head whose history is about to drop its first changes.
var longHistory = sync.OnceValues(func() (head.Head, *reference) {
	h := head.Head{}
	n := &reference{
		inForce: map[sign.ID]uint64{},
		waiting: map[sign.ID]bool{},
		dropped: map[sign.ID]bool{},
		decided: map[sign.ID]uint64{},
	}
	for range head.MaxHistory - 2 {
		mark := uint32(1 + len(n.proposals))
		f := draft(n.revision, mark)
		p := signedProposal(f, "bero")
		n.proposals = append(n.proposals, p)
		n.bases = append(n.bases, mark)
		n.propose(p)
		h = h.ApplyProposal(time.Time{}, p, head.RosterOf(f)).Head
	}
	return h, n
})

// begun is a fresh head with its naive version, or one with a long history.
func startState(old bool) (head.Head, *reference) {
	h, n := longHistory()
	if !old {
		return head.Head{}, &reference{
			inForce: map[sign.ID]uint64{},
			waiting: map[sign.ID]bool{},
			dropped: map[sign.ID]bool{},
			decided: map[sign.ID]uint64{},
		}
	}
	return h, &reference{
		revision:  n.revision,
		inForce:   maps.Clone(n.inForce),
		waiting:   maps.Clone(n.waiting),
		dropped:   maps.Clone(n.dropped),
		decided:   maps.Clone(n.decided),
		proposals: slices.Clone(n.proposals),
		bases:     slices.Clone(n.bases),
	}
}

var _ = Describe("random histories", func() {
	It("end as the naive version's, or in a refusal where the history is too short", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			h, n := startState(rapid.Bool().Draw(t, "long"))
			steps := rapid.IntRange(1, 30).Draw(t, "steps")
			for range steps {
				h = n.step(t, h)
				if h.Record.Revision != n.revision || len(h.Waiting) != len(n.waiting) {
					t.Fatalf("revision %d with %d waiting, naive %d with %d",
						h.Record.Revision, len(h.Waiting), n.revision, len(n.waiting))
				}
			}
		})
	})
})

func (n *reference) step(t *rapid.T, h head.Head) head.Head {
	if len(h.Waiting) > 0 && rapid.IntRange(0, 3).Draw(t, "decide") == 0 {
		return n.stepDecision(t, h)
	}
	i := rapid.IntRange(0, len(n.proposals)+len(n.proposals)/4+2).Draw(t, "proposal")
	if i >= len(n.proposals) {
		base := n.revision + 1 - min(n.revision+1, rapid.SampledFrom([]uint64{0, 1, 1, 1, 1, 1, 2, 3, 80}).Draw(t, "base"))
		mark := uint32(1 + len(n.proposals))
		n.proposals = append(n.proposals, signedProposal(draft(base, mark), rapid.SampledFrom(operatorNames).Draw(t, "operator")))
		n.bases = append(n.bases, mark)
		i = len(n.proposals) - 1
	}
	p := n.proposals[i]
	r := h.ApplyProposal(time.Time{}, p, head.RosterOf(draft(p.Base, n.bases[i])))
	if r.Refusal != nil && r.Refusal.Reason == head.PassedBase {
		if p.Base >= h.DroppedRevision || r.Changed {
			t.Fatalf("refused base %d although the history reaches back to %d", p.Base, h.DroppedRevision)
		}
		return r.Head
	}
	revision, why := n.propose(p)
	if revision != r.Revision || why != reason(r) {
		t.Fatalf("proposal on base %d: %d %v, naive %d %v", p.Base, r.Revision, r.Refusal, revision, why)
	}
	return r.Head
}

func (n *reference) stepDecision(t *rapid.T, h head.Head) head.Head {
	i := rapid.IntRange(0, len(n.decisions)+2).Draw(t, "decision")
	if i >= len(n.decisions) {
		revision := n.revision - min(n.revision, rapid.SampledFrom([]uint64{0, 0, 0, 1}).Draw(t, "seen"))
		first := h.Waiting[rapid.IntRange(0, len(h.Waiting)-1).Draw(t, "first")].Proposal.ID()
		d := takeDecision(revision, first)
		if rapid.Bool().Draw(t, "keep") {
			d = keepDecision(revision, first)
		}
		n.decisions = append(n.decisions, d)
		i = len(n.decisions) - 1
	}
	d := n.decisions[i]
	r := chair.ApplyDecision(time.Time{}, h, d, head.RosterOf(draft(0, 1)))
	_, told := n.decided[d.ID()]
	if told && r.Refusal != nil {
		if r.Changed || d.Revision >= h.DroppedRevision+1 {
			t.Fatalf("a decision at revision %d was forgotten, the history reaches back to %d", d.Revision, h.DroppedRevision)
		}
		return r.Head
	}
	revision, why := n.decide(d)
	if revision != r.Revision || why != reason(r) {
		t.Fatalf("decision at %d: %d %v, naive %d %v", d.Revision, r.Revision, r.Refusal, revision, why)
	}
	return r.Head
}
