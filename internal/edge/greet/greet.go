// Package greet runs fleet/meet over the store: it finds the first contacts of a
// role and, for a balancer, offers its own address to others.
package greet

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/clementinewing/clementinewing/internal/edge/store"
	"github.com/clementinewing/clementinewing/internal/fleet/meet"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

const (
	// Key is where the store holds the directory of first contacts, as JSON.
	Key          = "fleet/contacts"
	tickInterval = 500 * time.Millisecond
	callTimeout  = 2 * time.Second
)

// Greeter keeps a role supplied with first contacts.
type Greeter struct {
	store    store.Store
	machine  *meet.Meet
	peers    func() []node.Endpoint
	contacts func([]netip.AddrPort)
	logger   zerolog.Logger
}

// Option sets one property of a Greeter.
type Option func(*Greeter)

// WithLogger sets the logger.
func WithLogger(l zerolog.Logger) Option {
	return func(g *Greeter) {
		g.logger = l
	}
}

// NewBalancer makes the greeter of a balancer with the given control address.
func NewBalancer(s store.Store, seed uint64, settings []netip.AddrPort, self netip.AddrPort, options ...Option) *Greeter {
	return newGreeter(s, meet.New(source(seed), settings, meet.WithListing(self)), options)
}

// NewAgent makes the greeter of a side process.
func NewAgent(s store.Store, seed uint64, settings []netip.AddrPort, options ...Option) *Greeter {
	return newGreeter(s, meet.New(source(seed), settings), options)
}

func source(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, 0))
}

func newGreeter(s store.Store, m *meet.Meet, options []Option) *Greeter {
	g := &Greeter{
		store:   s,
		machine: m,
		logger:  zerolog.Nop(),
	}
	for _, o := range options {
		o(g)
	}
	return g
}

// Run asks peers for the balancers known to live and gives contacts the addresses
// to try, until ctx ends. Without a store there is nothing to do.
func (g *Greeter) Run(ctx context.Context, peers func() []node.Endpoint, contacts func([]netip.AddrPort)) {
	if g.store == nil {
		return
	}
	g.peers = peers
	g.contacts = contacts
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		g.step(ctx, meet.Peers{
			Balancers: g.peers(),
		})
		g.step(ctx, meet.Tick{})
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (g *Greeter) step(ctx context.Context, e meet.Event) {
	for _, a := range g.machine.Step(time.Now(), e) {
		switch a := a.(type) {
		case meet.Fetch:
			g.step(ctx, g.fetch(ctx))
		case meet.Store:
			g.write(ctx, a)
		case meet.Contacts:
			g.contacts(a.Addresses)
		}
	}
}

func (g *Greeter) fetch(ctx context.Context) meet.Event {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := g.store.Get(ctx, Key)
	if err != nil {
		return meet.Failed{}
	}
	read := meet.Read{
		Version: e.Version,
	}
	if len(e.Value) == 0 {
		return read
	}
	// A directory that cannot be read is replaced by the next balancer.
	err = json.Unmarshal(e.Value, &read.Entries)
	if err != nil {
		g.logger.Warn().Err(err).Msg("the directory of first contacts is malformed")
		read.Entries = nil
	}
	return read
}

// write needs no retry: a lost race is repaired by the next look.
func (g *Greeter) write(ctx context.Context, a meet.Store) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := json.Marshal(a.Entries)
	if err != nil {
		return
	}
	_, err = g.store.Swap(ctx, Key, a.Version, value)
	if err != nil {
		g.logger.Debug().Err(err).Msg("the directory of first contacts was not written")
	}
}
