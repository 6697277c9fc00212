// Package boot finds the first contacts of a node: control addresses from its
// settings, from the directory in the store and from peers it knew before. It
// reports them after each read of the directory. While the store is unavailable, the
// node keeps the contacts that it has.
package boot

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/world/node"
)

const (
	// MaxDirectoryEntries limits the directory in the store, whatever the size of
	// the fleet.
	MaxDirectoryEntries = 16
	// ReadInterval is the period between reads while the node knows no live peers.
	// Jitter adds up to half of it.
	ReadInterval = 5 * time.Second
	// maxReadInterval limits the delay after failed reads, which doubles with each
	// failure.
	maxReadInterval = 80 * time.Second
	// WriteInterval is the period between checks of the directory by a balancer that
	// is listed in it or should be.
	WriteInterval = 5 * time.Minute
	// EntryTTL is how long an entry stays in the directory after it was last written.
	EntryTTL = 30 * time.Minute
	// maxKnownPeers limits the peers kept as contacts.
	maxKnownPeers = 32
)

// Entry is one first contact in the directory in the store.
type Entry struct {
	Address netip.AddrPort `json:"address"`
	Expires time.Time      `json:"expires"`
}

// Bootstrap is the state machine that finds a node's first contacts. It is not safe
// for concurrent use.
type Bootstrap struct {
	self      netip.AddrPort
	random    *rand.Rand
	settings  []netip.AddrPort
	directory []Entry
	// peers are the balancers that were known to be live, the latest first.
	peers      []netip.AddrPort
	readDelay  time.Duration
	readAt     time.Time
	wantsEntry bool
	// alone is set while no other balancer is known to be live.
	alone bool
}

// Event is one of Tick, PeersChanged, DirectoryRead and StoreFailed.
type Event interface{ event() }

// Tick is sent at regular intervals to drive timers.
type Tick struct{}

// PeersChanged lists the balancers known to be live.
type PeersChanged struct {
	Balancers []node.Endpoint
}

// DirectoryRead is the content of the directory.
type DirectoryRead struct {
	Entries []Entry
	Version uint64
}

// StoreFailed reports that the store did not answer a ReadDirectory or
// WriteDirectory.
type StoreFailed struct{}

func (Tick) event()          {}
func (PeersChanged) event()  {}
func (DirectoryRead) event() {}
func (StoreFailed) event()   {}

// Action is one of ReadDirectory, WriteDirectory and ContactsFound.
type Action interface{ action() }

// ReadDirectory reads the directory.
type ReadDirectory struct{}

// WriteDirectory replaces the directory if its version is unchanged. A write that
// lost a race needs no retry: the next check adds the entry again.
type WriteDirectory struct {
	Entries []Entry
	Version uint64
}

// ContactsFound lists the addresses to try, most promising first.
type ContactsFound struct {
	Addresses []netip.AddrPort
}

func (ReadDirectory) action()  {}
func (WriteDirectory) action() {}
func (ContactsFound) action()  {}

// Option sets one property of a Bootstrap.
type Option func(*Bootstrap)

// WithDirectoryEntry makes a balancer add its control address to the directory.
func WithDirectoryEntry(self netip.AddrPort) Option {
	return func(m *Bootstrap) {
		m.self = self
		m.wantsEntry = true
	}
}

// New returns the state machine of a node with these addresses in its settings.
func New(random *rand.Rand, settings []netip.AddrPort, opts ...Option) *Bootstrap {
	m := &Bootstrap{
		random:    random,
		settings:  slices.Clone(settings),
		readDelay: ReadInterval,
		alone:     true,
	}
	for _, o := range opts {
		o(m)
	}
	return m
}

// Step handles one event and returns the actions to take.
func (m *Bootstrap) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Tick:
		return m.tick(now)
	case PeersChanged:
		return m.applyPeers(now, e.Balancers)
	case DirectoryRead:
		return m.applyDirectory(now, e)
	case StoreFailed:
		m.readDelay = min(2*m.readDelay, maxReadInterval)
		m.readAt = now.Add(m.addJitter(m.readDelay))
		return nil
	default:
		return nil
	}
}

func (m *Bootstrap) tick(now time.Time) []Action {
	if now.Before(m.readAt) || !m.alone && !m.wantsEntry {
		return nil
	}
	m.readAt = now.Add(m.addJitter(m.readDelay))
	return []Action{
		ReadDirectory{},
	}
}

// applyPeers adds the balancers to the known peers. While a node has live peers,
// it reads the store only to keep its own entry.
func (m *Bootstrap) applyPeers(now time.Time, balancers []node.Endpoint) []Action {
	alone := true
	for _, b := range balancers {
		if b.Agent == m.self {
			continue
		}
		alone = false
		if !slices.Contains(m.peers, b.Agent) {
			m.peers = append([]netip.AddrPort{b.Agent}, m.peers...)
		}
	}
	m.peers = m.peers[:min(len(m.peers), maxKnownPeers)]
	if alone && !m.alone {
		m.readDelay = ReadInterval
		m.readAt = now.Add(m.addJitter(m.readDelay))
	}
	m.alone = alone
	return nil
}

func (m *Bootstrap) applyDirectory(now time.Time, e DirectoryRead) []Action {
	m.directory = slices.DeleteFunc(slices.Clone(e.Entries), func(x Entry) bool { return !now.Before(x.Expires) })
	m.readDelay = ReadInterval
	if m.wantsEntry && !m.alone {
		m.readDelay = WriteInterval
	}
	m.readAt = now.Add(m.addJitter(m.readDelay))
	out := []Action{
		ContactsFound{
			Addresses: m.contacts(),
		},
	}
	if entries, ok := m.addOwnEntry(now); ok {
		out = append(out, WriteDirectory{
			Entries: entries,
			Version: e.Version,
		})
	}
	return out
}

// addOwnEntry returns the directory with the node added if there is room, or with its
// entry renewed if less than half of EntryTTL is left. It leaves a full directory to
// the balancers in it, so that writes do not grow with the fleet.
func (m *Bootstrap) addOwnEntry(now time.Time) ([]Entry, bool) {
	if !m.wantsEntry {
		return nil, false
	}
	entries := slices.Clone(m.directory)
	own := Entry{
		Address: m.self,
		Expires: now.Add(EntryTTL),
	}
	i := slices.IndexFunc(entries, func(x Entry) bool { return x.Address == m.self })
	switch {
	case i >= 0 && now.Add(EntryTTL/2).Before(entries[i].Expires):
		return nil, false
	case i >= 0:
		entries[i] = own
	case len(entries) < MaxDirectoryEntries:
		entries = append(entries, own)
	default:
		return nil, false
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(a.Address.Compare(b.Address), a.Expires.Compare(b.Expires))
	})
	return entries, true
}

// contacts combines the contacts of all sources, without the node itself.
func (m *Bootstrap) contacts() []netip.AddrPort {
	out := slices.Clone(m.peers)
	add := func(a netip.AddrPort) {
		if a != m.self && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	for _, e := range m.directory {
		add(e.Address)
	}
	for _, a := range m.settings {
		add(a)
	}
	return out
}

func (m *Bootstrap) addJitter(delay time.Duration) time.Duration {
	return delay + time.Duration(m.random.Int64N(int64(delay/2)))
}
