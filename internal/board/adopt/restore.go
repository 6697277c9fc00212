package adopt

import (
	"maps"
	"time"

	"github.com/clementinewing/clementinewing/internal/board/head"
	"github.com/clementinewing/clementinewing/internal/board/sign"
)

const (
	// restoreTimeout limits one attempt to write the active file back.
	restoreTimeout = 20 * time.Second
	// maxRestoreDelay limits the random delay before an attempt, so that mostly one node
	// writes the file and the others find it written.
	maxRestoreDelay = 2 * time.Second
	// unknownRevisionDelay is added on a node that cannot tell whether the file in the
	// store preceded its own: nodes that can go first.
	unknownRevisionDelay = 4 * time.Second
)

// restore is the state of writing the active file back to a store that has an older one in
// force, because it came back from an older copy.
type restore struct {
	// at is when the next attempt starts; zero if none is due.
	at time.Time
	// activeUntil is the deadline of the current attempt; zero if there is none.
	activeUntil time.Time
	// known holds the proposals that led to the active file, by revision, at most
	// head.MaxHistory of them.
	known map[uint64]sign.ID
}

// addKnown records the proposal that came into force with a revision.
func (r *restore) addKnown(revision uint64, id sign.ID) {
	if r.known == nil {
		r.known = map[uint64]sign.ID{}
	}
	r.known[revision] = id
	maps.DeleteFunc(r.known, func(other uint64, _ sign.ID) bool {
		return other+head.MaxHistory <= revision
	})
}

// addHistory records the proposals that led to the file of a head. The node may have
// skipped some of them.
func (r *restore) addHistory(h head.Head) {
	for _, c := range h.History {
		if c.Kind != head.Kept {
			r.addKnown(c.Revision, c.ProposalID)
		}
	}
}

func (r *restore) cancel() {
	r.at = time.Time{}
}

func (r *restore) end() {
	r.activeUntil = time.Time{}
}

// scheduleRestore plans to write the active file back after the head h was read. A head
// that already lists the file as waiting needs nothing more.
func (m *Machine) scheduleRestore(now time.Time, h head.Head) {
	if _, waiting := h.FindWaiting(m.active.Record.Proposal.ID()); waiting || !m.restore.at.IsZero() {
		return
	}
	m.restore.at = now.Add(m.randomDelay(maxRestoreDelay))
	if h.Record.Revision > 0 && m.restore.known[h.Record.Revision] != h.Record.Proposal.ID() {
		m.restore.at = m.restore.at.Add(unknownRevisionDelay)
	}
}

// startRestore starts an attempt if one is due.
func (m *Machine) startRestore(now time.Time) []Action {
	r := &m.restore
	if r.at.IsZero() || now.Before(r.at) || now.Before(r.activeUntil) {
		return nil
	}
	r.at = time.Time{}
	r.activeUntil = now.Add(restoreTimeout)
	return []Action{
		Restore{
			Active:   m.active,
			Known:    maps.Clone(r.known),
			Deadline: r.activeUntil,
		},
	}
}
