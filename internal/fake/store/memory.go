// Package store is a stand-in for the platform's key-value service, in memory
// and as a gRPC server of its own, with the faults that the service can show.
package store

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/clementinewing/clementinewing/internal/edge/store"
)

// Counts is the budget counter: calls since the start by kind, and the watches
// that wait now. Each waiting watch has been counted once as a read.
type Counts struct {
	Reads   uint64
	Writes  uint64
	Waiting int
}

// Memory is the state of the service, without faults and without a clock.
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

// NewMemory starts with no entries.
func NewMemory() *Memory {
	return &Memory{
		entries: map[string]store.Entry{},
		leases:  map[string]store.Lease{},
	}
}

// Clone copies the entries and leases, but neither watches nor counts.
func (m *Memory) Clone() *Memory {
	m.lock.Lock()
	defer m.lock.Unlock()
	return &Memory{
		version: m.version,
		entries: maps.Clone(m.entries),
		leases:  maps.Clone(m.leases),
	}
}

// Counts reads the budget counter.
func (m *Memory) Counts() Counts {
	m.lock.Lock()
	defer m.lock.Unlock()
	counts := m.counts
	counts.Waiting = len(m.watches)
	return counts
}

// Get reads an entry.
func (m *Memory) Get(key string) store.Entry {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.counts.Reads++
	return m.entry(key)
}

// Swap writes value if the entry has the version. It gives the entry after the
// call and tells whether it was written.
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

// Lease claims or renews a name and tells whether holder has it now.
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

// LapseLeases ends every lease at once.
func (m *Memory) LapseLeases() {
	m.lock.Lock()
	defer m.lock.Unlock()
	for name, l := range m.leases {
		l.Deadline = time.Time{}
		m.leases[name] = l
	}
}

// Watch calls notify once the entry's version is above after, at once if it is
// already. Stop ends the wait.
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

// DropWatches forgets every waiting watch without telling who waits.
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
