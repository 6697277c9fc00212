// Package adopt is a node's side of the file in force: it watches the store or
// hears of revisions from peers, fetches the parts that differ, checks them and
// adopts a file as a whole. The revision of a node only rises.
package adopt

import (
	"math/rand/v2"
	"time"

	"github.com/clementinewing/clementinewing/internal/board/file"
	"github.com/clementinewing/clementinewing/internal/board/head"
	"github.com/clementinewing/clementinewing/internal/board/retry"
)

const (
	// watchLife is how long one watch waits, so how long a silently dropped one
	// goes unnoticed.
	watchLife = 5 * time.Second
	// fetchLife bounds one fetch.
	fetchLife = 2 * time.Second
	// startSpread is the span over which nodes that start together first read
	// the store, unless they learn their domain's members before.
	startSpread = 2 * time.Second
	// leastWait bounds the wait after a first failure; mostWatchWait and
	// mostFetchWait that after many.
	leastWait     = 500 * time.Millisecond
	mostWatchWait = 5 * time.Second
	mostFetchWait = 4 * time.Second
)

// Machine is the state machine of one node.
type Machine struct {
	self   string
	random *rand.Rand
	held   *Held
	turn   turn
	// version is the store's version of the head last read, 0 before the
	// first read.
	version  uint64
	watching bool
	// watchAt is when to watch next.
	watchAt      time.Time
	watchBackoff *retry.Backoff
	// goal is being fetched; later is the newest revision known beyond it.
	goal         *goal
	later        *goal
	fetchBackoff *retry.Backoff
	// refused is the record that was last found wanting.
	refused file.Hash
}

// New makes the machine of the node with a name; seed draws its jitter.
func New(self string, seed uint64) *Machine {
	return &Machine{
		self:         self,
		random:       rand.New(rand.NewPCG(seed, 0)),
		turn:         aloneTurn(),
		watchBackoff: retry.New(seed+1, leastWait, mostWatchWait),
		fetchBackoff: retry.New(seed+2, leastWait, mostFetchWait),
	}
}

// Held is the file in force on the node, nil before the first.
func (m *Machine) Held() *Held {
	return m.held
}

// Step takes one event and gives what to do.
func (m *Machine) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Begin:
		m.watchAt = now.Add(m.span(startSpread))
	case Tick:
		return m.tick(now)
	case Members:
		m.members(now, e)
	case HeadRead:
		return m.headRead(now, e)
	case WatchEnded:
		m.watchEnded(now)
	case StoreAway:
		m.storeAway(now)
	case Heard:
		return m.heard(now, e)
	case Part:
		return m.part(now, e)
	case Missing:
		return m.missing(now, e)
	}
	return nil
}

func (m *Machine) span(most time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(most)))
}

func (m *Machine) tick(now time.Time) []Action {
	var actions []Action
	if !m.watching && !now.Before(m.watchAt) {
		m.watching = true
		actions = append(actions, Watch{
			After:    m.version,
			Deadline: now.Add(watchLife),
		})
	}
	return append(actions, m.fetch(now)...)
}

// members decides anew whether the node is one of its domain's watchers. One
// that becomes a watcher turns to the store at once.
func (m *Machine) members(now time.Time, e Members) {
	before := m.turn.watcher
	m.turn = turnOf(m.self, e.Names)
	switch {
	case m.turn.watcher && !before:
		m.watchAt = now
	case !m.turn.watcher && before:
		m.watchAt = now.Add(m.span(m.turn.every))
	}
}

func (m *Machine) storeAway(now time.Time) {
	m.watching = false
	m.watchAt = m.watchBackoff.Next(now)
	if !m.turn.watcher {
		m.watchAt = m.nextLook(now)
	}
}

func (m *Machine) watchEnded(now time.Time) {
	m.watching = false
	m.watchBackoff.Reset()
	m.watchAt = now
	if !m.turn.watcher {
		m.watchAt = m.nextLook(now)
	}
}

// nextLook is when a node that is no watcher looks at the store again.
func (m *Machine) nextLook(now time.Time) time.Time {
	return now.Add(m.turn.every/2 + m.span(m.turn.every))
}

func (m *Machine) headRead(now time.Time, e HeadRead) []Action {
	h, err := head.Decode(e.Value)
	if err != nil {
		return m.badHead(now)
	}
	encoded, err := h.Record.Encode()
	if err != nil {
		return m.badHead(now)
	}
	m.watchEnded(now)
	m.version = e.Version
	seen := &goal{
		revision: h.Record.Revision,
		hash:     file.Sum(encoded),
		encoded:  encoded,
		record:   h.Record,
		source:   Store,
	}
	switch {
	case seen.revision < m.held.Revision():
		return refuse(seen.revision, head.PassedBase)
	case seen.revision == m.held.Revision():
		return m.compare(seen)
	default:
		return m.aim(now, seen)
	}
}

// badHead leaves the version as it was, so that the same head is read again: it
// may have been damaged on the way.
func (m *Machine) badHead(now time.Time) []Action {
	m.storeAway(now)
	return refuse(0, head.BadContent)
}

// compare reports a record of the revision in force that is another one: the
// store lost its state, or someone forged a record.
func (m *Machine) compare(seen *goal) []Action {
	if m.held == nil || seen.hash == m.held.RecordHash {
		return nil
	}
	return refuse(seen.revision, head.BadContent)
}

func (m *Machine) heard(now time.Time, e Heard) []Action {
	if e.Revision <= m.held.Revision() {
		return nil
	}
	return m.aim(now, &goal{
		revision: e.Revision,
		hash:     e.Record,
		source:   Peers,
	})
}

func refuse(revision uint64, reason head.Reason) []Action {
	return []Action{
		Refuse{
			Revision: revision,
			Reason:   reason,
		},
	}
}
