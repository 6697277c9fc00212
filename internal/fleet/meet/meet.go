// Package meet finds the first contacts of a node: control addresses from its
// settings, from the store's directory and from peers it met before. With the
// store away, settings and peers are enough.
package meet

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/world/node"
)

const (
	// DirectoryMax bounds the entries of the store's directory, whatever the size
	// of the fleet.
	DirectoryMax = 16
	// ReadInterval is the time between two reads while the node is alone; it is
	// spread by up to half.
	ReadInterval = 5 * time.Second
	// maxReadInterval bounds the wait after failed reads, which doubles.
	maxReadInterval = 80 * time.Second
	// WriteInterval is the time between two looks at the directory by a balancer
	// that stands in it or should.
	WriteInterval = 5 * time.Minute
	// EntryLife is after how long an entry that nobody wrote again is dropped.
	EntryLife = 30 * time.Minute
	// maxRemembered bounds the peers kept from before.
	maxRemembered = 32
)

// Entry is one first contact in the store's directory.
type Entry struct {
	Address netip.AddrPort `json:"address"`
	Expires time.Time      `json:"expires"`
}

// Meet is the state machine of a node's first contacts. It is not safe for
// concurrent use.
type Meet struct {
	self      netip.AddrPort
	random    *rand.Rand
	settings  []netip.AddrPort
	directory []Entry
	peers     []netip.AddrPort
	wait      time.Duration
	read      time.Time
	listed    bool
	alone     bool
}

// Event is one of Tick, Peers, Read and Failed.
type Event interface{ event() }

// Tick tells that time has passed.
type Tick struct{}

// Peers tells which balancers are known to live.
type Peers struct {
	Balancers []node.Endpoint
}

// Read is what the store's directory held.
type Read struct {
	Entries []Entry
	Version uint64
}

// Failed tells that the store did not answer a Fetch or Store.
type Failed struct{}

func (Tick) event()   {}
func (Peers) event()  {}
func (Read) event()   {}
func (Failed) event() {}

// Action is one of Fetch, Store and Contacts.
type Action interface{ action() }

// Fetch asks for the store's directory to be read.
type Fetch struct{}

// Store asks for the directory to be replaced if its version is unchanged. A lost
// race needs no retry: the next look repairs it.
type Store struct {
	Entries []Entry
	Version uint64
}

// Contacts gives the addresses to try, most promising first.
type Contacts struct {
	Addresses []netip.AddrPort
}

func (Fetch) action()    {}
func (Store) action()    {}
func (Contacts) action() {}

// Option sets one property of a Meet.
type Option func(*Meet)

// WithListing makes a balancer offer its control address to the directory.
func WithListing(self netip.AddrPort) Option {
	return func(m *Meet) {
		m.self = self
		m.listed = true
	}
}

// New makes the machine of a node whose settings name these addresses.
func New(random *rand.Rand, settings []netip.AddrPort, opts ...Option) *Meet {
	m := &Meet{
		random:   random,
		settings: slices.Clone(settings),
		wait:     ReadInterval,
		alone:    true,
	}
	for _, o := range opts {
		o(m)
	}
	return m
}

// Step takes one event and tells what is to be done.
func (m *Meet) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Tick:
		return m.tick(now)
	case Peers:
		return m.met(now, e.Balancers)
	case Read:
		return m.readDone(now, e)
	case Failed:
		m.wait = min(2*m.wait, maxReadInterval)
		m.read = now.Add(m.spread(m.wait))
		return nil
	default:
		return nil
	}
}

func (m *Meet) tick(now time.Time) []Action {
	if now.Before(m.read) || !m.alone && !m.listed {
		return nil
	}
	m.read = now.Add(m.spread(m.wait))
	return []Action{
		Fetch{},
	}
}

// met remembers the peers; a node that has some leaves the store alone.
func (m *Meet) met(now time.Time, balancers []node.Endpoint) []Action {
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
	m.peers = m.peers[:min(len(m.peers), maxRemembered)]
	if alone && !m.alone {
		m.wait = ReadInterval
		m.read = now.Add(m.spread(m.wait))
	}
	m.alone = alone
	return nil
}

func (m *Meet) readDone(now time.Time, e Read) []Action {
	m.directory = slices.DeleteFunc(slices.Clone(e.Entries), func(x Entry) bool { return !now.Before(x.Expires) })
	m.wait = ReadInterval
	if m.listed && !m.alone {
		m.wait = WriteInterval
	}
	m.read = now.Add(m.spread(m.wait))
	out := []Action{
		Contacts{
			Addresses: m.contacts(),
		},
	}
	if entries, ok := m.enter(now); ok {
		out = append(out, Store{
			Entries: entries,
			Version: e.Version,
		})
	}
	return out
}

// enter puts the node into the directory if there is room or its entry is about
// to expire. A full directory is left to those who stand in it, so that writes
// do not grow with the fleet.
func (m *Meet) enter(now time.Time) ([]Entry, bool) {
	if !m.listed {
		return nil, false
	}
	entries := slices.Clone(m.directory)
	own := Entry{
		Address: m.self,
		Expires: now.Add(EntryLife),
	}
	i := slices.IndexFunc(entries, func(x Entry) bool { return x.Address == m.self })
	switch {
	case i >= 0 && now.Add(EntryLife/2).Before(entries[i].Expires):
		return nil, false
	case i >= 0:
		entries[i] = own
	case len(entries) < DirectoryMax:
		entries = append(entries, own)
	default:
		return nil, false
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(a.Address.Compare(b.Address), a.Expires.Compare(b.Expires))
	})
	return entries, true
}

// contacts joins all sources, without the node itself.
func (m *Meet) contacts() []netip.AddrPort {
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

func (m *Meet) spread(wait time.Duration) time.Duration {
	return wait + time.Duration(m.random.Int64N(int64(wait/2)))
}
