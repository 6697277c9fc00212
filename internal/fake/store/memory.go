// Package store is a fake of the platform's key-value service, in memory and as a gRPC
// server, with fault injection.
package store

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/clementinewing/clementinewing/internal/edge/store"
)

// Counts holds the numbers of calls since the start, by kind, and the number of watches
// that are waiting. A waiting watch is already counted once as a read. Tests compare
// these numbers with the call budget.
type Counts struct {
	Reads   uint64
	Writes  uint64
	Waiting int
}

// Memory is the state of the service, without faults and without a clock of its own.
type Memory struct {
	lock    sync.Mutex
	version uint64
	entries map[string]store.Entry
	leases  map[string]store.Lease
	watches []*watch
	counts  Counts
}

type watch struct {
	key    string
	after  uint64
	notify func(store.Entry)
}

// NewMemory returns a state without entries and leases.
func NewMemory() *Memory {
	return &Memory{
		entries: map[string]store.Entry{},
		leases:  map[string]store.Lease{},
	}
}

// Clone returns a copy with the entries and leases, but without watches and counts.
func (m *Memory) Clone() *Memory {
	m.lock.Lock()
	defer m.lock.Unlock()
	return &Memory{
		version: m.version,
		entries: maps.Clone(m.entries),
		leases:  maps.Clone(m.leases),
	}
}

// Restore replaces the entries and leases by those of an earlier copy and drops the waiting
// watches. Versions after that of the copy are given out again.
func (m *Memory) Restore(earlier *Memory) {
	from := earlier.Clone()
	m.lock.Lock()
	defer m.lock.Unlock()
	m.version = from.version
	m.entries = from.entries
	m.leases = from.leases
	m.watches = nil
}

// Counts returns the numbers of calls and of waiting watches.
func (m *Memory) Counts() Counts {
	m.lock.Lock()
	defer m.lock.Unlock()
	counts := m.counts
	counts.Waiting = len(m.watches)
	return counts
}

// Get returns an entry. An absent one has version 0.
func (m *Memory) Get(key string) store.Entry {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.counts.Reads++
	return m.entry(key)
}

// Swap writes value if the entry has the given version. It returns the entry after the
// call and reports whether it was written.
func (m *Memory) Swap(key string, version uint64, value []byte) (store.Entry, bool) {
	e, ok, due := m.swap(key, version, value)
	for _, w := range due {
		w.notify(e)
	}
	return e, ok
}

func (m *Memory) swap(key string, version uint64, value []byte) (e store.Entry, ok bool, due []*watch) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.counts.Writes++
	e = m.entry(key)
	if e.Version != version {
		return e, false, nil
	}
	m.version++
	e.Value = slices.Clone(value)
	e.Version = m.version
	m.entries[key] = e
	m.watches = slices.DeleteFunc(m.watches, func(w *watch) bool {
		if w.key != key || w.after >= e.Version {
			return false
		}
		due = append(due, w)
		return true
	})
	return e, true, due
}

// Lease acquires or renews a lease and reports whether holder has it now. Only a new
// acquisition changes the token.
func (m *Memory) Lease(now time.Time, name, holder string, seconds uint32) (store.Lease, bool) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.counts.Writes++
	l, ok := m.leases[name]
	free := !ok || !now.Before(l.Deadline)
	if !free && l.Holder != holder {
		return l, false
	}
	if free || l.Holder != holder {
		m.version++
		l.Token = m.version
	}
	l.Name = name
	l.Holder = holder
	l.Deadline = now.Add(time.Duration(seconds) * time.Second)
	m.leases[name] = l
	return l, true
}

// ExpireLeases makes every lease expire at once.
func (m *Memory) ExpireLeases() {
	m.lock.Lock()
	defer m.lock.Unlock()
	for name, l := range m.leases {
		l.Deadline = time.Time{}
		m.leases[name] = l
	}
}

// Watch calls notify once the version of the entry is above after, at once if it
// already is. The returned function ends the watch.
func (m *Memory) Watch(key string, after uint64, notify func(store.Entry)) (stop func()) {
	e, w := m.watch(key, after, notify)
	if w == nil {
		notify(e)
		return func() {}
	}
	return func() {
		m.lock.Lock()
		defer m.lock.Unlock()
		m.watches = slices.DeleteFunc(m.watches, func(other *watch) bool {
			return other == w
		})
	}
}

func (m *Memory) watch(key string, after uint64, notify func(store.Entry)) (store.Entry, *watch) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.counts.Reads++
	e := m.entry(key)
	if e.Version > after {
		return e, nil
	}
	w := &watch{
		key:    key,
		after:  after,
		notify: notify,
	}
	m.watches = append(m.watches, w)
	return e, w
}

// DropWatches removes every waiting watch without notifying its caller.
func (m *Memory) DropWatches() {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.watches = nil
}

func (m *Memory) entry(key string) store.Entry {
	e, ok := m.entries[key]
	if !ok {
		e.Key = key
	}
	return e
}
