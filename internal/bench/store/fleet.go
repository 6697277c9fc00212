// Package store is the experiment on how many calls a fleet makes to the store:
// the shipped adopt machines on one fake clock, with a store's memory and peers
// that gossip their revisions.
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
	// oneWay is the time of a message between nodes or to the store.
	oneWay = time.Millisecond
	// tickEvery is the interval of the machines' ticks.
	tickEvery = time.Second
	// gossipEvery is the interval at which a node compares its revision with a
	// random peer.
	gossipEvery = time.Second
	// learnWithin bounds the time until a new node knows its domain's members.
	learnWithin = time.Second
	// askedPeers is how many random peers a fetch asks.
	askedPeers = 4
)

// fleet is a number of nodes in failure domains, the store and its operators.
type fleet struct {
	clock  *clock.Clock
	random *rand.Rand
	memory *fake.Memory
	down   bool
	// cut domains reach neither the store nor nodes of other domains.
	cut     map[int]bool
	nodes   []*node
	domains [][]*node
	// waiting are the calls that break when the store goes down.
	waiting map[*node]func()
	meter   meter
	started int
}

// node is one machine. A replaced one is gone and its events are dropped.
type node struct {
	fleet   *fleet
	name    string
	seat    int
	domain  int
	machine *adopt.Machine
	// teller is the peer that last told of a later revision.
	teller *node
	gone   bool
}

func newFleet(seed uint64, size, domains int) *fleet {
	f := &fleet{
		clock:   clock.New(),
		random:  rand.New(rand.NewPCG(seed, uint64(size))),
		memory:  fake.NewMemory(),
		nodes:   make([]*node, size),
		domains: make([][]*node, domains),
		waiting: map[*node]func(){},
		cut:     map[int]bool{},
	}
	return f
}

// seat puts a new node in a place and starts it.
func (f *fleet) seat(place int) {
	f.started++
	n := &node{
		fleet:  f,
		name:   fmt.Sprintf("balancer-%d", f.started),
		seat:   place,
		domain: place % len(f.domains),
	}
	n.machine = adopt.New(n.name, f.random.Uint64())
	if old := f.nodes[place]; old != nil {
		old.leave()
	}
	f.nodes[place] = n
	f.domains[n.domain] = append(f.domains[n.domain], n)
	n.step(adopt.Begin{})
	n.repeat(tickEvery, func() { n.step(adopt.Tick{}) })
	n.repeat(gossipEvery, n.gossip)
	f.clock.After(f.span(learnWithin), func() { f.learn(n.domain) })
}

// learn tells every node of a domain who is in it.
func (f *fleet) learn(domain int) {
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

func (n *node) leave() {
	n.gone = true
	if stop := n.fleet.waiting[n]; stop != nil {
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

func (n *node) repeat(every time.Duration, run func()) {
	var again func()
	again = func() {
		if n.gone {
			return
		}
		run()
		n.fleet.clock.After(every, again)
	}
	n.fleet.clock.After(n.fleet.span(every), again)
}

// gossip compares revisions with a random peer; the one behind hears of the
// other's.
func (n *node) gossip() {
	peer := n.fleet.nodes[n.fleet.random.IntN(len(n.fleet.nodes))]
	if peer == nil || peer == n || !n.reaches(peer) {
		return
	}
	ahead, behind := n, peer
	if n.machine.Held().Revision() < peer.machine.Held().Revision() {
		ahead, behind = peer, n
	}
	held := ahead.machine.Held()
	if held.Revision() == behind.machine.Held().Revision() {
		return
	}
	n.fleet.clock.After(oneWay, func() {
		behind.teller = ahead
		behind.step(adopt.Heard{
			Revision: held.Revision(),
			Record:   held.RecordHash,
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

// later gives the node an event after the way to it.
func (n *node) later(e adopt.Event) {
	n.fleet.clock.After(oneWay, func() { n.step(e) })
}

func (n *node) watch(a adopt.Watch) {
	f := n.fleet
	f.meter.read(f.clock.Now())
	if n.storeless() {
		n.later(adopt.StoreAway{})
		return
	}
	ended := false
	end := func(e adopt.Event) {
		if ended {
			return
		}
		ended = true
		delete(f.waiting, n)
		n.later(e)
	}
	stop := f.memory.Watch(head.Key, a.After, func(e store.Entry) {
		end(adopt.HeadRead{
			Value:   e.Value,
			Version: e.Version,
		})
	})
	if ended {
		return
	}
	f.waiting[n] = func() {
		stop()
		end(adopt.StoreAway{})
	}
	f.clock.At(a.Deadline, func() {
		stop()
		end(adopt.WatchEnded{})
	})
}

func (n *node) fetch(a adopt.Fetch) {
	part, ok := n.part(a)
	if !ok {
		n.later(adopt.Missing{
			Hash: a.Hash,
		})
		return
	}
	n.later(adopt.Part{
		Hash:  a.Hash,
		Bytes: part,
	})
}

// part finds a part in the store, or with the teller or a few random peers.
func (n *node) part(a adopt.Fetch) (part []byte, ok bool) {
	f := n.fleet
	if a.Source == adopt.Store {
		f.meter.read(f.clock.Now())
		if n.storeless() {
			return nil, false
		}
		e := f.memory.Get(head.ContentKey(a.Hash))
		return e.Value, e.Version > 0
	}
	asked := []*node{n.teller}
	for range askedPeers {
		asked = append(asked, f.nodes[f.random.IntN(len(f.nodes))])
	}
	for _, peer := range asked {
		if peer == nil || peer.gone || !n.reaches(peer) || peer.machine.Held() == nil {
			continue
		}
		if part, ok = peer.machine.Held().Parts[a.Hash]; ok {
			return part, true
		}
	}
	return nil, false
}

// setDown takes the store down, which breaks every waiting call, or up.
func (f *fleet) setDown(down bool) {
	f.down = down
	if !down {
		return
	}
	for _, n := range f.nodes {
		if stop := f.waiting[n]; stop != nil {
			stop()
		}
	}
}

// setCut cuts a domain off, which breaks its waiting calls, or heals it.
func (f *fleet) setCut(domain int, cut bool) {
	f.cut[domain] = cut
	for _, n := range f.domains[domain] {
		if stop := f.waiting[n]; stop != nil && cut {
			stop()
		}
	}
}

func (n *node) storeless() bool {
	return n.fleet.down || n.fleet.cut[n.domain]
}

func (n *node) reaches(peer *node) bool {
	cut := n.fleet.cut[n.domain] || n.fleet.cut[peer.domain]
	return n.domain == peer.domain || !cut
}

func (f *fleet) span(most time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(most)))
}

// behind counts the nodes that do not have the newest revision.
func (f *fleet) behind(newest uint64) int {
	count := 0
	for _, n := range f.nodes {
		if n.machine.Held().Revision() < newest {
			count++
		}
	}
	return count
}
