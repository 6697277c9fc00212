// Package adopt keeps a node's active file up to date. It learns of revisions by
// watching the store and from the announcements of peers, fetches the parts that
// differ, verifies them and activates the complete file at once. The revision that is
// active on a node never decreases.
package adopt

import (
	"math/rand/v2"
	"time"

	"github.com/clementinewing/clementinewing/internal/board/file"
	"github.com/clementinewing/clementinewing/internal/board/head"
	"github.com/clementinewing/clementinewing/internal/board/retry"
)

const (
	// watchTimeout limits one watch. A watch whose connection was dropped without
	// notice is therefore detected after at most this time.
	watchTimeout = 5 * time.Second
	// fetchTimeout limits one fetch.
	fetchTimeout = 2 * time.Second
	// maxStartDelay limits the random delay before a node first reads the store, so
	// that nodes started together don't all read it at once. A node that learns
	// the members of its failure domain earlier may read it at once.
	maxStartDelay = 2 * time.Second
	// firstRetryDelay is the maximum delay after the first failure, and
	// maxWatchRetryDelay and maxFetchRetryDelay after repeated failures.
	firstRetryDelay    = 500 * time.Millisecond
	maxWatchRetryDelay = 5 * time.Second
	maxFetchRetryDelay = 4 * time.Second
)

// Machine is the state machine that keeps the active file of one node up to date.
type Machine struct {
	self   string
	random *rand.Rand
	active *ActiveFile
	role   watchRole
	// version is the store version of the head if the last watch returned it, otherwise
	// 0: the store may have come back from an older copy while no answer came, and then
	// gives later heads versions that it has given before.
	version  uint64
	watching bool
	// watchAt is when the next watch starts.
	watchAt      time.Time
	watchBackoff *retry.Backoff
	// target is the revision being fetched, nextTarget the newest known one after it.
	target       *target
	nextTarget   *target
	fetchBackoff *retry.Backoff
	// refusedRecord is the hash of the record that was last refused.
	refusedRecord file.Hash
	restore       restore
}

// New returns the machine of the node named self. The seed determines its jitter.
func New(self string, seed uint64) *Machine {
	return &Machine{
		self:         self,
		random:       rand.New(rand.NewPCG(seed, 0)),
		role:         soleWatcherRole(),
		watchBackoff: retry.New(seed+1, firstRetryDelay, maxWatchRetryDelay),
		fetchBackoff: retry.New(seed+2, firstRetryDelay, maxFetchRetryDelay),
	}
}

// ActiveFile returns the file that is active on the node, nil before the first one.
func (m *Machine) ActiveFile() *ActiveFile {
	return m.active
}

// Step handles one event and returns the actions to take.
func (m *Machine) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Begin:
		m.watchAt = now.Add(m.randomDelay(maxStartDelay))
	case Tick:
		return m.tick(now)
	case Members:
		m.updateRole(now, e)
	case HeadRead:
		return m.handleHead(now, e)
	case WatchEnded:
		m.version = 0
		m.scheduleWatch(now)
	case WatchFailed:
		m.watchFailed(now)
	case RevisionAnnounced:
		return m.handleAnnouncement(now, e)
	case PartFetched:
		return m.handlePart(now, e)
	case FetchFailed:
		return m.handleFetchFailure(now, e)
	case RestoreEnded:
		m.restore.end()
		m.version = 0
	}
	return nil
}

func (m *Machine) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(limit)))
}

func (m *Machine) tick(now time.Time) []Action {
	var actions []Action
	if !m.watching && !now.Before(m.watchAt) {
		m.watching = true
		actions = append(actions, Watch{
			AfterVersion: m.version,
			Deadline:     now.Add(watchTimeout),
		})
	}
	actions = append(actions, m.startRestore(now)...)
	return append(actions, m.fetchNextPart(now)...)
}

// updateRole recomputes whether the node is a watcher of its failure domain. A node
// that becomes a watcher starts a watch at once.
func (m *Machine) updateRole(now time.Time, e Members) {
	wasWatcher := m.role.watcher
	m.role = chooseRole(m.self, e.Names)
	switch {
	case m.role.watcher && !wasWatcher:
		m.watchAt = now
	case !m.role.watcher && wasWatcher:
		m.watchAt = now.Add(m.randomDelay(m.role.pollInterval))
	}
}

func (m *Machine) watchFailed(now time.Time) {
	m.version = 0
	m.watching = false
	m.watchAt = m.watchBackoff.Next(now)
	if !m.role.watcher {
		m.watchAt = m.nextPollAt(now)
	}
}

func (m *Machine) scheduleWatch(now time.Time) {
	m.watching = false
	m.watchBackoff.Reset()
	m.watchAt = now
	if !m.role.watcher {
		m.watchAt = m.nextPollAt(now)
	}
}

// nextPollAt returns when a node that is not a watcher polls the store again.
func (m *Machine) nextPollAt(now time.Time) time.Time {
	return now.Add(m.role.pollInterval/2 + m.randomDelay(m.role.pollInterval))
}

func (m *Machine) handleHead(now time.Time, e HeadRead) []Action {
	h, err := head.Decode(e.Value)
	if err != nil {
		return m.refuseHead(now)
	}
	encoded, err := h.Record.Encode()
	if err != nil {
		return m.refuseHead(now)
	}
	m.scheduleWatch(now)
	m.version = e.Version
	seen := &target{
		revision: h.Record.Revision,
		hash:     file.Sum(encoded),
		encoded:  encoded,
		record:   h.Record,
		source:   Store,
	}
	switch {
	case seen.revision < m.active.Revision():
		m.scheduleRestore(now, h)
		return countRefusal(seen.revision, head.PassedBase)
	case seen.revision == m.active.Revision():
		return m.compareRecord(now, h, seen)
	default:
		m.restore.cancel()
		m.restore.addHistory(h)
		return m.setTarget(now, seen)
	}
}

// refuseHead has the head read again: it may have been corrupted in transit.
func (m *Machine) refuseHead(now time.Time) []Action {
	m.watchFailed(now)
	return countRefusal(0, head.BadContent)
}

// compareRecord refuses a record with the active revision but different content:
// either the store lost its state or the record is forged.
func (m *Machine) compareRecord(now time.Time, h head.Head, seen *target) []Action {
	if m.active == nil || seen.hash == m.active.RecordHash {
		m.restore.cancel()
		m.restore.addHistory(h)
		return nil
	}
	m.scheduleRestore(now, h)
	return countRefusal(seen.revision, head.BadContent)
}

func (m *Machine) handleAnnouncement(now time.Time, e RevisionAnnounced) []Action {
	if e.Revision <= m.active.Revision() {
		return nil
	}
	return m.setTarget(now, &target{
		revision: e.Revision,
		hash:     e.RecordHash,
		source:   Peers,
	})
}

func countRefusal(revision uint64, reason head.Reason) []Action {
	return []Action{
		CountRefusal{
			Revision: revision,
			Reason:   reason,
		},
	}
}
