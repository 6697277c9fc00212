// Package store measures how many calls a fleet makes to the store. It runs the
// adopt state machines of the product on one fake clock, with the store's memory
// and peers that gossip their revisions.
package store

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/clementinewing/clementinewing/internal/board/adopt"
	"github.com/clementinewing/clementinewing/internal/board/head"
	"github.com/clementinewing/clementinewing/internal/edge/store"
	"github.com/clementinewing/clementinewing/internal/fake/clock"
	fake "github.com/clementinewing/clementinewing/internal/fake/store"
)

const (
	// linkDelay is the one-way delay between nodes and to the store.
	linkDelay = time.Millisecond
	// tickInterval is the interval of the state machines' ticks.
	tickInterval = time.Second
	// gossipInterval is the interval at which a node compares its revision with
	// that of a random peer.
	gossipInterval = time.Second
	// maxLearnDelay bounds the time until a new node knows the members of its
	// failure domain.
	maxLearnDelay = time.Second
	// maxFetchPeers is the number of random peers that a fetch asks.
	maxFetchPeers = 4
)

// fleet is a set of nodes in failure domains, with their store.
type fleet struct {
	clock  *clock.Clock
	random *rand.Rand
	memory *fake.Memory
	down   bool
	// cut holds the partitioned domains. Their nodes reach neither the store nor
	// nodes of other domains.
	cut     map[int]bool
	nodes   []*node
	domains [][]*node
	// abortWatch aborts the pending watch of a node, as when the store goes down.
	abortWatch map[*node]func()
	meter      meter
	started    int
}

// node is one machine. A replaced node is gone and its events are dropped.
type node struct {
	fleet   *fleet
	name    string
	place   int
	domain  int
	machine *adopt.Machine
	// announcer is the peer that last announced a later revision.
	announcer *node
	gone      bool
}

func newFleet(seed uint64, size, domains int) *fleet {
	f := &fleet{
		clock:      clock.New(),
		random:     rand.New(rand.NewPCG(seed, uint64(size))),
		memory:     fake.NewMemory(),
		nodes:      make([]*node, size),
		domains:    make([][]*node, domains),
		abortWatch: map[*node]func(){},
		cut:        map[int]bool{},
	}
	return f
}

// startNode starts a new node in a place and removes the one that was there.
func (f *fleet) startNode(place int) {
	f.started++
	n := &node{
		fleet:  f,
		name:   fmt.Sprintf("balancer-%d", f.started),
		place:  place,
		domain: place % len(f.domains),
	}
	n.machine = adopt.New(n.name, f.random.Uint64())
	if old := f.nodes[place]; old != nil {
		old.remove()
	}
	f.nodes[place] = n
	f.domains[n.domain] = append(f.domains[n.domain], n)
	n.step(adopt.Begin{})
	n.schedule(tickInterval, func() { n.step(adopt.Tick{}) })
	n.schedule(gossipInterval, n.gossip)
	f.clock.After(f.randomDuration(maxLearnDelay), func() { f.sendMembers(n.domain) })
}

// sendMembers sends the members of a domain to each of its nodes.
func (f *fleet) sendMembers(domain int) {
	names := make([]string, 0, len(f.domains[domain]))
	for _, n := range f.domains[domain] {
		names = append(names, n.name)
	}
	for _, n := range f.domains[domain] {
		n.step(adopt.Members{
			Names: names,
		})
	}
}

func (n *node) remove() {
	n.gone = true
	if stop := n.fleet.abortWatch[n]; stop != nil {
		stop()
	}
	var left []*node
	for _, other := range n.fleet.domains[n.domain] {
		if other != n {
			left = append(left, other)
		}
	}
	n.fleet.domains[n.domain] = left
}

func (n *node) schedule(every time.Duration, run func()) {
	var again func()
	again = func() {
		if n.gone {
			return
		}
		run()
		n.fleet.clock.After(every, again)
	}
	n.fleet.clock.After(n.fleet.randomDuration(every), again)
}

// gossip compares revisions with a random peer; the node with the later revision
// announces it to the other.
func (n *node) gossip() {
	peer := n.fleet.nodes[n.fleet.random.IntN(len(n.fleet.nodes))]
	if peer == nil || peer == n || !n.reaches(peer) {
		return
	}
	ahead, behind := n, peer
	if n.machine.ActiveFile().Revision() < peer.machine.ActiveFile().Revision() {
		ahead, behind = peer, n
	}
	active := ahead.machine.ActiveFile()
	if active.Revision() == behind.machine.ActiveFile().Revision() {
		return
	}
	n.fleet.clock.After(linkDelay, func() {
		behind.announcer = ahead
		behind.step(adopt.RevisionAnnounced{
			Revision:   active.Revision(),
			RecordHash: active.RecordHash,
		})
	})
}

func (n *node) step(e adopt.Event) {
	if n.gone {
		return
	}
	for _, a := range n.machine.Step(n.fleet.clock.Now(), e) {
		switch a := a.(type) {
		case adopt.Watch:
			n.watch(a)
		case adopt.Fetch:
			n.fetch(a)
		}
	}
}

// deliver delivers an event to the node after the link delay.
func (n *node) deliver(e adopt.Event) {
	n.fleet.clock.After(linkDelay, func() { n.step(e) })
}

func (n *node) watch(a adopt.Watch) {
	f := n.fleet
	f.meter.read(f.clock.Now())
	if n.storeUnreachable() {
		n.deliver(adopt.WatchFailed{})
		return
	}
	ended := false
	end := func(e adopt.Event) {
		if ended {
			return
		}
		ended = true
		delete(f.abortWatch, n)
		n.deliver(e)
	}
	stop := f.memory.Watch(head.Key, a.AfterVersion, func(e store.Entry) {
		end(adopt.HeadRead{
			Value:   e.Value,
			Version: e.Version,
		})
	})
	if ended {
		return
	}
	f.abortWatch[n] = func() {
		stop()
		end(adopt.WatchFailed{})
	}
	f.clock.At(a.Deadline, func() {
		stop()
		end(adopt.WatchEnded{})
	})
}

func (n *node) fetch(a adopt.Fetch) {
	part, ok := n.findPart(a)
	if !ok {
		n.deliver(adopt.FetchFailed{
			Hash: a.Hash,
		})
		return
	}
	n.deliver(adopt.PartFetched{
		Hash:  a.Hash,
		Bytes: part,
	})
}

// findPart looks for a part in the store, or at the announcer and a few random peers.
func (n *node) findPart(a adopt.Fetch) (part []byte, ok bool) {
	f := n.fleet
	if a.Source == adopt.Store {
		f.meter.read(f.clock.Now())
		if n.storeUnreachable() {
			return nil, false
		}
		e := f.memory.Get(head.ContentKey(a.Hash))
		return e.Value, e.Version > 0
	}
	asked := []*node{n.announcer}
	for range maxFetchPeers {
		asked = append(asked, f.nodes[f.random.IntN(len(f.nodes))])
	}
	for _, peer := range asked {
		if peer == nil || peer.gone || !n.reaches(peer) || peer.machine.ActiveFile() == nil {
			continue
		}
		if part, ok = peer.machine.ActiveFile().Parts[a.Hash]; ok {
			return part, true
		}
	}
	return nil, false
}

// setDown takes the store down, which aborts every pending watch, or up again.
func (f *fleet) setDown(down bool) {
	f.down = down
	if !down {
		return
	}
	for _, n := range f.nodes {
		if stop := f.abortWatch[n]; stop != nil {
			stop()
		}
	}
}

// setCut partitions a domain, which aborts its pending watches, or heals it.
func (f *fleet) setCut(domain int, cut bool) {
	f.cut[domain] = cut
	for _, n := range f.domains[domain] {
		if stop := f.abortWatch[n]; stop != nil && cut {
			stop()
		}
	}
}

func (n *node) storeUnreachable() bool {
	return n.fleet.down || n.fleet.cut[n.domain]
}

func (n *node) reaches(peer *node) bool {
	cut := n.fleet.cut[n.domain] || n.fleet.cut[peer.domain]
	return n.domain == peer.domain || !cut
}

func (f *fleet) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(limit)))
}

// behind returns the number of nodes without the newest revision.
func (f *fleet) behind(newest uint64) int {
	count := 0
	for _, n := range f.nodes {
		if n.machine.ActiveFile().Revision() < newest {
			count++
		}
	}
	return count
}
