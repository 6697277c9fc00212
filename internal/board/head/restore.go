package head

import (
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/board/file"
	"github.com/clementinewing/clementinewing/internal/board/sign"
)

// NewRestore returns a machine that writes the file of a record back to a store that came
// back from a copy older than the record. known holds the proposals that are known to have
// been in force before the record, by revision. The machine gives up at the deadline; the
// seed determines the retry jitter.
func NewRestore(r Record, f file.File, known map[uint64]sign.ID, deadline time.Time, seed uint64) *Apply {
	return newUpdate(f, deadline, seed, func(now time.Time, h Head) Result {
		return h.RestoreRecord(now, r, RosterOf(f), known)
	})
}

// RestoreRecord puts a record back in force in a head that has an older one. The roster is
// that of its file. A file that came into force after the copy collides with it: the one
// with the lower revision waits for the chair, or that of r if both have the same. A head
// with a higher revision stays as it is.
func (h Head) RestoreRecord(now time.Time, r Record, roster Roster, known map[uint64]sign.ID) Result {
	same := h.Record.Proposal.ID() == r.Proposal.ID()
	switch {
	case h.Record.Revision > r.Revision || h.Record.Revision == r.Revision && same:
		return Result{
			Head:     h,
			Revision: h.Record.Revision,
		}
	case h.Record.Revision == r.Revision:
		if earlier, ok := h.earlierResult(r.Proposal); ok {
			return earlier
		}
		return h.addWaiting(now, r.Proposal)
	}
	next := h
	if h.Record.Revision > 0 && !same && known[h.Record.Revision] != h.Record.Proposal.ID() {
		waiting := h.addWaiting(now, h.Record.Proposal)
		if !waiting.Changed {
			return waiting
		}
		next = waiting.Head
		next.dropChange(h.Record.Proposal.ID())
	}
	next.Waiting = slices.DeleteFunc(slices.Clone(next.Waiting), func(w Waiting) bool {
		id := w.Proposal.ID()
		return id == r.Proposal.ID() || r.Decision != nil && slices.Contains(r.Decision.Settled, id)
	})
	next.Record = r
	next.Roster = roster
	if r.Revision > h.Record.Revision+1 {
		// The revisions in between are lost: whether a file with an older base was one of
		// them is no longer known.
		next.DroppedRevision = max(next.DroppedRevision, r.Revision-1)
	}
	next.dropChange(r.Proposal.ID())
	next.AppendChange(changeOf(now, r))
	return Result{
		Head:     next,
		Changed:  true,
		Revision: r.Revision,
	}
}

// dropChange removes the change by which a proposal came into force from the history.
func (h *Head) dropChange(id sign.ID) {
	h.History = slices.DeleteFunc(slices.Clone(h.History), func(c Change) bool {
		return c.Kind != Kept && c.ProposalID == id
	})
}

// changeOf returns the change by which a record came into force.
func changeOf(now time.Time, r Record) Change {
	c := Change{
		Kind:       Applied,
		Revision:   r.Revision,
		ProposalID: r.Proposal.ID(),
		Operator:   r.Proposal.Operator,
		Base:       r.Proposal.Base,
		At:         now,
	}
	if d := r.Decision; d != nil {
		c.Kind = Taken
		c.DecisionID = d.ID()
		c.Chair = d.Chair
		c.Settled = d.Settled
	}
	return c
}
