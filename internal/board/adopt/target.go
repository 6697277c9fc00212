package adopt

import (
	"maps"
	"time"

	"github.com/clementinewing/clementinewing/internal/board/file"
	"github.com/clementinewing/clementinewing/internal/board/head"
)

// target is a later revision that the node fetches, or will fetch next.
type target struct {
	revision uint64
	// hash is the hash of the record. encoded is empty until the record is known.
	hash    file.Hash
	encoded []byte
	record  head.Record
	// assembly is nil until the record is known and the fetch of its file starts.
	assembly *file.Assembly
	failures int
	source   Source
	pending  bool
	// nextFetchAt is when to send the next fetch: after a failure, or when a
	// pending one has timed out.
	nextFetchAt time.Time
}

// maxRecordFailures is after how many failed fetches of a record its target is
// abandoned, so that a revision that no peer can supply does not block later ones.
const maxRecordFailures = 4

// peerAttemptsBeforeStore is how often a part is requested from peers before the store
// is tried.
const peerAttemptsBeforeStore = 3

// setTarget makes a revision the target. A current target is completed first, because
// otherwise changes that arrive faster than a file can be fetched would starve the
// node. A target whose record is still unknown is replaced by one with a known record.
func (m *Machine) setTarget(now time.Time, seen *target) []Action {
	if seen.hash == m.refusedRecord {
		return nil
	}
	known := len(seen.encoded) > 0
	if m.target == nil || (known && m.target.assembly == nil) {
		return m.startTarget(now, seen)
	}
	if seen.revision > m.target.revision && (m.nextTarget == nil || seen.revision > m.nextTarget.revision) {
		m.nextTarget = seen
	}
	return nil
}

func (m *Machine) startTarget(now time.Time, t *target) []Action {
	m.target = t
	if len(t.encoded) > 0 {
		return m.startAssembly(now, t.encoded, t.record)
	}
	return m.fetchNextPart(now)
}

// startNextTarget starts to fetch the newest known revision, if it is later than the
// active one.
func (m *Machine) startNextTarget(now time.Time) []Action {
	t := m.nextTarget
	m.nextTarget = nil
	if t == nil || t.revision <= m.active.Revision() {
		return nil
	}
	return m.startTarget(now, t)
}

// nextMissing returns the hash of the next part to fetch.
func (t *target) nextMissing() file.Hash {
	if t.assembly == nil {
		return t.hash
	}
	h, _ := t.assembly.NextMissing()
	return h
}

// fetchNextPart requests the next part if nextFetchAt has come.
func (m *Machine) fetchNextPart(now time.Time) []Action {
	t := m.target
	if t == nil || now.Before(t.nextFetchAt) {
		return nil
	}
	if t.pending {
		t.switchSource()
	}
	t.pending = true
	t.nextFetchAt = now.Add(fetchTimeout)
	return []Action{
		Fetch{
			Hash:     t.nextMissing(),
			Source:   t.source,
			Deadline: t.nextFetchAt,
		},
	}
}

// switchSource records a failure and selects the source of the next attempt. From the
// store it switches to the peers at once. From the peers it switches to the store only
// after several attempts, so that a fleet with slow peers does not send all its fetches
// to the store at the same time. The store holds no records by hash, so a missing
// record is requested only from peers.
func (t *target) switchSource() {
	t.pending = false
	t.failures++
	switch {
	case t.assembly == nil || t.source == Store:
		t.source = Peers
	case t.failures%peerAttemptsBeforeStore == 0:
		t.source = Store
	}
}

func (m *Machine) handleFetchFailure(now time.Time, e FetchFailed) []Action {
	t := m.target
	if t == nil || !t.pending || e.Hash != t.nextMissing() {
		return nil
	}
	t.switchSource()
	t.nextFetchAt = m.fetchBackoff.Next(now)
	if m.nextTarget != nil {
		m.target = nil
		return m.startNextTarget(now)
	}
	if t.assembly == nil && t.failures >= maxRecordFailures {
		return m.abandonTarget(now, head.BadContent)
	}
	return nil
}

func (m *Machine) handlePart(now time.Time, e PartFetched) []Action {
	t := m.target
	if t == nil || e.Hash != t.nextMissing() {
		return nil
	}
	if file.Sum(e.Bytes) != e.Hash {
		actions := countRefusal(t.revision, head.BadContent)
		return append(actions, m.handleFetchFailure(now, FetchFailed{
			Hash: e.Hash,
		})...)
	}
	if t.assembly != nil {
		return m.addPart(now, e.Bytes)
	}
	r, err := head.DecodeRecord(e.Bytes)
	if err != nil || r.Revision != t.revision {
		return m.abandonTarget(now, head.BadContent)
	}
	return m.startAssembly(now, e.Bytes, r)
}

// startAssembly starts to gather the parts of a file whose record is known. Parts of
// the active file are reused and not fetched.
func (m *Machine) startAssembly(now time.Time, encoded []byte, r head.Record) []Action {
	var known map[file.Hash][]byte
	if m.active != nil {
		known = m.active.Parts
	}
	m.target.encoded = encoded
	m.target.record = r
	m.target.failures = 0
	m.target.assembly = file.NewAssembly(r.Proposal.Content, known)
	return m.continueFetch(now)
}

func (m *Machine) addPart(now time.Time, piece []byte) []Action {
	if !m.target.assembly.Add(piece) {
		return m.abandonTarget(now, head.BadContent)
	}
	return m.continueFetch(now)
}

func (m *Machine) continueFetch(now time.Time) []Action {
	m.fetchBackoff.Reset()
	m.target.pending = false
	m.target.nextFetchAt = time.Time{}
	if _, ok := m.target.assembly.NextMissing(); ok {
		return m.fetchNextPart(now)
	}
	return m.adoptTarget(now)
}

// adoptTarget verifies the complete file and activates it. On a failure the active file
// stays unchanged.
func (m *Machine) adoptTarget(now time.Time) []Action {
	t := m.target
	f, err := t.assembly.File()
	if err != nil {
		return m.abandonTarget(now, head.BadContent)
	}
	if refusal := Verify(m.active, t.record, f); refusal != nil {
		return m.abandonTarget(now, refusal.Reason)
	}
	active := &ActiveFile{
		Record:     t.record,
		RecordHash: t.hash,
		File:       f,
		Parts:      maps.Clone(t.assembly.Pieces()),
	}
	active.Parts[t.hash] = t.encoded
	active.Parts[t.record.Proposal.Content] = t.assembly.Manifest().Bytes()
	m.active = active
	m.target = nil
	m.restore.addKnown(active.Revision(), active.Record.Proposal.ID())
	actions := []Action{
		Adopt{
			Active: active,
		},
	}
	return append(actions, m.startNextTarget(now)...)
}

// abandonTarget refuses the target's record and drops the target. It resets the
// version so that the next watch returns at once, because the store may hold a head
// that was not fetched while the target was current.
func (m *Machine) abandonTarget(now time.Time, reason head.Reason) []Action {
	revision := m.target.revision
	m.refusedRecord = m.target.hash
	m.target = nil
	m.version = 0
	return append(countRefusal(revision, reason), m.startNextTarget(now)...)
}
