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

// referenceModel is a simple model of the head with an unlimited history.
type referenceModel struct {
	revision  uint64
	inForce   map[sign.ID]uint64
	waiting   map[sign.ID]bool
	notChosen map[sign.ID]bool
	decided   map[sign.ID]uint64
	proposals []sign.Proposal
	variants  []uint32
	decisions []sign.Decision
}

func (m *referenceModel) propose(p sign.Proposal) (revision uint64, reason head.Reason) {
	id := p.ID()
	switch {
	case m.inForce[id] > 0:
		return m.inForce[id], ""
	case m.waiting[id]:
		return 0, head.WaitingForChair
	case m.notChosen[id]:
		return 0, head.NotChosen
	case p.Base > m.revision:
		return 0, head.UnknownBase
	case p.Base < m.revision && len(m.waiting) >= head.MaxWaiting:
		return 0, head.WaitingFull
	case p.Base < m.revision:
		m.waiting[id] = true
		return 0, head.WaitingForChair
	}
	m.revision++
	m.inForce[id] = m.revision
	return m.revision, ""
}

func (m *referenceModel) decide(d sign.Decision) (revision uint64, reason head.Reason) {
	id := d.ID()
	if revision, ok := m.decided[id]; ok {
		return revision, ""
	}
	if d.Revision != m.revision {
		return 0, head.PassedBase
	}
	for _, settled := range d.Settled {
		if !m.waiting[settled] {
			return 0, head.NoSuchFile
		}
	}
	for _, settled := range d.Settled {
		delete(m.waiting, settled)
		m.notChosen[settled] = true
	}
	if d.Verdict == sign.Take {
		m.revision++
		delete(m.notChosen, d.Chosen)
		m.inForce[d.Chosen] = m.revision
	}
	m.decided[id] = m.revision
	return m.revision, ""
}

// longHistory returns a head whose history is about to drop its first changes, with the
// model in the same state.
var longHistory = sync.OnceValues(func() (head.Head, *referenceModel) {
	h := head.Head{}
	m := &referenceModel{
		inForce:   map[sign.ID]uint64{},
		waiting:   map[sign.ID]bool{},
		notChosen: map[sign.ID]bool{},
		decided:   map[sign.ID]uint64{},
	}
	for range head.MaxHistory - 2 {
		variant := uint32(1 + len(m.proposals))
		f := draft(m.revision, variant)
		p := signedProposal(f, "bero")
		m.proposals = append(m.proposals, p)
		m.variants = append(m.variants, variant)
		m.propose(p)
		h = h.ApplyProposal(time.Time{}, p, head.RosterOf(f)).Head
	}
	return h, m
})

// startState returns a head and its model, either empty or with a long history.
func startState(long bool) (head.Head, *referenceModel) {
	h, m := longHistory()
	if !long {
		return head.Head{}, &referenceModel{
			inForce:   map[sign.ID]uint64{},
			waiting:   map[sign.ID]bool{},
			notChosen: map[sign.ID]bool{},
			decided:   map[sign.ID]uint64{},
		}
	}
	return h, &referenceModel{
		revision:  m.revision,
		inForce:   maps.Clone(m.inForce),
		waiting:   maps.Clone(m.waiting),
		notChosen: maps.Clone(m.notChosen),
		decided:   maps.Clone(m.decided),
		proposals: slices.Clone(m.proposals),
		variants:  slices.Clone(m.variants),
	}
}

var _ = Describe("random histories", func() {
	It("match the reference model, except for refusals where the history is too short", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			h, m := startState(rapid.Bool().Draw(t, "long"))
			steps := rapid.IntRange(1, 30).Draw(t, "steps")
			for range steps {
				h = m.step(t, h)
				if h.Record.Revision != m.revision || len(h.Waiting) != len(m.waiting) {
					t.Fatalf("revision %d with %d waiting, model has %d with %d",
						h.Record.Revision, len(h.Waiting), m.revision, len(m.waiting))
				}
			}
		})
	})
})

func (m *referenceModel) step(t *rapid.T, h head.Head) head.Head {
	if len(h.Waiting) > 0 && rapid.IntRange(0, 3).Draw(t, "decide") == 0 {
		return m.stepDecision(t, h)
	}
	i := rapid.IntRange(0, len(m.proposals)+len(m.proposals)/4+2).Draw(t, "proposal")
	if i >= len(m.proposals) {
		base := m.revision + 1 - min(m.revision+1, rapid.SampledFrom([]uint64{0, 1, 1, 1, 1, 1, 2, 3, 80}).Draw(t, "base"))
		variant := uint32(1 + len(m.proposals))
		m.proposals = append(m.proposals, signedProposal(draft(base, variant), rapid.SampledFrom(operatorNames).Draw(t, "operator")))
		m.variants = append(m.variants, variant)
		i = len(m.proposals) - 1
	}
	p := m.proposals[i]
	r := h.ApplyProposal(time.Time{}, p, head.RosterOf(draft(p.Base, m.variants[i])))
	if r.Refusal != nil && r.Refusal.Reason == head.PassedBase {
		if p.Base >= h.DroppedRevision || r.Changed {
			t.Fatalf("base %d was refused although the history reaches back to %d", p.Base, h.DroppedRevision)
		}
		return r.Head
	}
	revision, wantReason := m.propose(p)
	if revision != r.Revision || wantReason != reason(r) {
		t.Fatalf("proposal with base %d: got %d %v, model has %d %v", p.Base, r.Revision, r.Refusal, revision, wantReason)
	}
	return r.Head
}

func (m *referenceModel) stepDecision(t *rapid.T, h head.Head) head.Head {
	i := rapid.IntRange(0, len(m.decisions)+2).Draw(t, "decision")
	if i >= len(m.decisions) {
		revision := m.revision - min(m.revision, rapid.SampledFrom([]uint64{0, 0, 0, 1}).Draw(t, "seen"))
		first := h.Waiting[rapid.IntRange(0, len(h.Waiting)-1).Draw(t, "first")].Proposal.ID()
		d := takeDecision(revision, first)
		if rapid.Bool().Draw(t, "keep") {
			d = keepDecision(revision, first)
		}
		m.decisions = append(m.decisions, d)
		i = len(m.decisions) - 1
	}
	d := m.decisions[i]
	r := chair.ApplyDecision(time.Time{}, h, d, head.RosterOf(draft(0, 1)))
	_, decided := m.decided[d.ID()]
	if decided && r.Refusal != nil {
		if r.Changed || d.Revision >= h.DroppedRevision+1 {
			t.Fatalf("decision at revision %d was refused although the history reaches back to %d", d.Revision, h.DroppedRevision)
		}
		return r.Head
	}
	revision, wantReason := m.decide(d)
	if revision != r.Revision || wantReason != reason(r) {
		t.Fatalf("decision at revision %d: got %d %v, model has %d %v", d.Revision, r.Revision, r.Refusal, revision, wantReason)
	}
	return r.Head
}
