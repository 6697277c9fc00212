// Package seeder runs the bootstrap machine of fleet/boot with the store: it finds
// the first contacts of a balancer or agent, and publishes the address of a balancer
// in the directory of contacts.
package seeder

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/clementinewing/clementinewing/internal/edge/store"
	"github.com/clementinewing/clementinewing/internal/fleet/boot"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

const (
	// DirectoryKey is the key of the directory of first contacts in the store. The
	// value is JSON.
	DirectoryKey = "fleet/contacts"
	tickInterval = 500 * time.Millisecond
	callTimeout  = 2 * time.Second
)

// Seeder supplies a balancer or agent with first contacts.
type Seeder struct {
	store         store.Store
	machine       *boot.Bootstrap
	liveBalancers func() []node.Endpoint
	useContacts   func([]netip.AddrPort)
	logger        zerolog.Logger
}

// Option sets one property of a Seeder.
type Option func(*Seeder)

// WithLogger sets the logger.
func WithLogger(l zerolog.Logger) Option {
	return func(s *Seeder) {
		s.logger = l
	}
}

// NewBalancer creates the Seeder of a balancer with the given control address.
func NewBalancer(s store.Store, seed uint64, configuredContacts []netip.AddrPort, self netip.AddrPort, options ...Option) *Seeder {
	return newSeeder(s, boot.New(newRandom(seed), configuredContacts, boot.WithDirectoryEntry(self)), options)
}

// NewAgent creates the Seeder of an agent.
func NewAgent(s store.Store, seed uint64, configuredContacts []netip.AddrPort, options ...Option) *Seeder {
	return newSeeder(s, boot.New(newRandom(seed), configuredContacts), options)
}

func newRandom(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, 0))
}

func newSeeder(st store.Store, m *boot.Bootstrap, options []Option) *Seeder {
	s := &Seeder{
		store:   st,
		machine: m,
		logger:  zerolog.Nop(),
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Run passes the addresses to contact to useContacts until ctx ends, given the
// balancers that liveBalancers returns. Without a store it does nothing.
func (s *Seeder) Run(ctx context.Context, liveBalancers func() []node.Endpoint, useContacts func([]netip.AddrPort)) {
	if s.store == nil {
		return
	}
	s.liveBalancers = liveBalancers
	s.useContacts = useContacts
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		s.step(ctx, boot.PeersChanged{
			Balancers: s.liveBalancers(),
		})
		s.step(ctx, boot.Tick{})
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Seeder) step(ctx context.Context, e boot.Event) {
	for _, a := range s.machine.Step(time.Now(), e) {
		switch a := a.(type) {
		case boot.ReadDirectory:
			s.step(ctx, s.readDirectory(ctx))
		case boot.WriteDirectory:
			s.writeDirectory(ctx, a)
		case boot.ContactsFound:
			s.useContacts(a.Addresses)
		}
	}
}

func (s *Seeder) readDirectory(ctx context.Context) boot.Event {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := s.store.Get(ctx, DirectoryKey)
	if err != nil {
		return boot.StoreFailed{}
	}
	read := boot.DirectoryRead{
		Version: e.Version,
	}
	if len(e.Value) == 0 {
		return read
	}
	// A malformed directory counts as empty, so that the next balancer replaces it.
	err = json.Unmarshal(e.Value, &read.Entries)
	if err != nil {
		s.logger.Warn().Err(err).Msg("malformed directory of first contacts")
		read.Entries = nil
	}
	return read
}

// writeDirectory does not retry: if another balancer wrote first, the next read of
// the directory leads to another write.
func (s *Seeder) writeDirectory(ctx context.Context, a boot.WriteDirectory) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := json.Marshal(a.Entries)
	if err != nil {
		return
	}
	_, err = s.store.Swap(ctx, DirectoryKey, a.Version, value)
	if err != nil {
		s.logger.Debug().Err(err).Msg("writing the directory of first contacts failed")
	}
}
