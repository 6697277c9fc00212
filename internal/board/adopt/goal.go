package adopt

import (
	"maps"
	"time"

	"github.com/clementinewing/clementinewing/internal/board/file"
	"github.com/clementinewing/clementinewing/internal/board/head"
)

// goal is a later revision that the node is fetching.
type goal struct {
	revision uint64
	// hash is that of the record, encoded is empty until it is known.
	hash    file.Hash
	encoded []byte
	record  head.Record
	// parts is nil until the record is known and the goal is aimed at.
	parts   *file.Assembly
	misses  int
	source  Source
	pending bool
	// due is when to ask again after a failure, or when an answer that is
	// pending is given up.
	due time.Time
}

// maxMisses is how often a record is asked for in vain before the goal is given
// up, so that a revision that nobody can show does not stand in the way.
const maxMisses = 4

// peerTries is how often a part is asked of peers before the store.
const peerTries = 3

// aim makes a revision the goal. A goal under way is finished first, so that
// changes which come faster than a file can be fetched don't starve the node,
// unless its record turns out to be unknown.
func (m *Machine) aim(now time.Time, seen *goal) []Action {
	if seen.hash == m.refused {
		return nil
	}
	known := len(seen.encoded) > 0
	if m.goal == nil || (known && m.goal.parts == nil) {
		return m.start(now, seen)
	}
	if seen.revision > m.goal.revision && (m.later == nil || seen.revision > m.later.revision) {
		m.later = seen
	}
	return nil
}

func (m *Machine) start(now time.Time, g *goal) []Action {
	m.goal = g
	if len(g.encoded) > 0 {
		return m.recordKnown(now, g.encoded, g.record)
	}
	return m.fetch(now)
}

// startLater goes on to the newest revision known, if it is still ahead.
func (m *Machine) startLater(now time.Time) []Action {
	g := m.later
	m.later = nil
	if g == nil || g.revision <= m.held.Revision() {
		return nil
	}
	return m.start(now, g)
}

// need is the next part of the goal.
func (g *goal) need() file.Hash {
	if g.parts == nil {
		return g.hash
	}
	h, _ := g.parts.Need()
	return h
}

// fetch asks for the next part, if it is time.
func (m *Machine) fetch(now time.Time) []Action {
	g := m.goal
	if g == nil || now.Before(g.due) {
		return nil
	}
	if g.pending {
		g.other()
	}
	g.pending = true
	g.due = now.Add(fetchLife)
	return []Action{
		Fetch{
			Hash:     g.need(),
			Source:   g.source,
			Deadline: g.due,
		},
	}
}

// other turns to the other source: to peers at once, to the store only after
// several tries, so that a fleet whose peers are slow does not turn to the store
// as one. The store holds no records by hash, so a record that is still missing
// can only come from peers.
func (g *goal) other() {
	g.pending = false
	g.misses++
	switch {
	case g.parts == nil || g.source == Store:
		g.source = Peers
	case g.misses%peerTries == 0:
		g.source = Store
	}
}

func (m *Machine) missing(now time.Time, e Missing) []Action {
	g := m.goal
	if g == nil || !g.pending || e.Hash != g.need() {
		return nil
	}
	g.other()
	g.due = m.fetchBackoff.Next(now)
	if m.later != nil {
		m.goal = nil
		return m.startLater(now)
	}
	if g.parts == nil && g.misses >= maxMisses {
		return m.abandon(now, head.BadContent)
	}
	return nil
}

func (m *Machine) part(now time.Time, e Part) []Action {
	g := m.goal
	if g == nil || e.Hash != g.need() {
		return nil
	}
	if file.Sum(e.Bytes) != e.Hash {
		actions := refuse(g.revision, head.BadContent)
		return append(actions, m.missing(now, Missing{
			Hash: e.Hash,
		})...)
	}
	if g.parts != nil {
		return m.pieceKnown(now, e.Bytes)
	}
	r, err := head.DecodeRecord(e.Bytes)
	if err != nil || r.Revision != g.revision {
		return m.abandon(now, head.BadContent)
	}
	return m.recordKnown(now, e.Bytes, r)
}

// recordKnown goes on with the parts, of which those held are not fetched.
func (m *Machine) recordKnown(now time.Time, encoded []byte, r head.Record) []Action {
	var held map[file.Hash][]byte
	if m.held != nil {
		held = m.held.Parts
	}
	m.goal.encoded = encoded
	m.goal.record = r
	m.goal.misses = 0
	m.goal.parts = file.NewAssembly(r.Proposal.Content, held)
	return m.proceed(now)
}

func (m *Machine) pieceKnown(now time.Time, piece []byte) []Action {
	if !m.goal.parts.Offer(piece) {
		return m.abandon(now, head.BadContent)
	}
	return m.proceed(now)
}

func (m *Machine) proceed(now time.Time) []Action {
	m.fetchBackoff.Reset()
	m.goal.pending = false
	m.goal.due = time.Time{}
	if _, ok := m.goal.parts.Need(); ok {
		return m.fetch(now)
	}
	return m.finish(now)
}

// finish checks the whole file and adopts it, or leaves everything as it was.
func (m *Machine) finish(now time.Time) []Action {
	g := m.goal
	f, err := g.parts.File()
	if err != nil {
		return m.abandon(now, head.BadContent)
	}
	if refusal := Verify(m.held, g.record, f); refusal != nil {
		return m.abandon(now, refusal.Reason)
	}
	held := &Held{
		Record:     g.record,
		RecordHash: g.hash,
		File:       f,
		Parts:      maps.Clone(g.parts.Pieces()),
	}
	held.Parts[g.hash] = g.encoded
	held.Parts[g.record.Proposal.Content] = g.parts.Manifest().Bytes()
	m.held = held
	m.goal = nil
	actions := []Action{
		Adopt{
			Held: held,
		},
	}
	return append(actions, m.startLater(now)...)
}

// abandon gives up on a record; another one is looked at afresh. The next watch
// answers at once, as the store may have had a head that the goal stood before.
func (m *Machine) abandon(now time.Time, reason head.Reason) []Action {
	revision := m.goal.revision
	m.refused = m.goal.hash
	m.goal = nil
	m.version = 0
	return append(refuse(revision, reason), m.startLater(now)...)
}
