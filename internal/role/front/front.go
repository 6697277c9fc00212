// Package front assembles a balancer: its packet path, its part in the fleet, the
// file in force, and what it publishes about itself.
package front

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"google.golang.org/grpc/credentials"

	"github.com/clementinewing/clementinewing/internal/conf/roles"
	"github.com/clementinewing/clementinewing/internal/edge/follow"
	"github.com/clementinewing/clementinewing/internal/edge/keys"
	"github.com/clementinewing/clementinewing/internal/edge/meter"
	"github.com/clementinewing/clementinewing/internal/edge/peer"
	"github.com/clementinewing/clementinewing/internal/edge/seeder"
	"github.com/clementinewing/clementinewing/internal/edge/store"
	"github.com/clementinewing/clementinewing/internal/role/entry"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

const (
	leaveTimeout    = 2 * time.Second
	membersInterval = time.Second
	balancerShare   = 100
)

// Front is one balancer.
type Front struct {
	settings    roles.Balancer
	incarnation node.Incarnation
	ring        *keys.Ring
	logger      zerolog.Logger
	server      credentials.TransportCredentials
	client      credentials.TransportCredentials
	listener    net.Listener
	entry       *entry.Entry
	member      *peer.Member
	store       store.Store
	follower    *follow.Follower
	// superseded ends once another process has taken this one's address.
	superseded context.Context
	giveUp     context.CancelFunc
	seeder     *seeder.Seeder
	tracker    *meter.Tracker
	refusals   refusals
	started    time.Time

	mutex     sync.Mutex
	endpoints []node.Endpoint
	silent    map[netip.AddrPort]bool
}

// Option sets one property of a Front.
type Option func(*Front)

// WithLogger sets the logger.
func WithLogger(l zerolog.Logger) Option {
	return func(f *Front) {
		f.logger = l
	}
}

// WithCredentials secures the links to other roles.
func WithCredentials(server, client credentials.TransportCredentials) Option {
	return func(f *Front) {
		f.server = server
		f.client = client
	}
}

// WithStore sets the platform's store; without one the file comes from peers.
func WithStore(s store.Store) Option {
	return func(f *Front) {
		f.store = s
	}
}

// New opens the sockets of a balancer.
func New(settings roles.Balancer, options ...Option) (f *Front, err error) {
	defer func() { err = eris.Wrap(err, "opening the balancer") }()
	f = &Front{
		settings:    settings,
		incarnation: node.Incarnation(rand.Uint64()),
		ring:        keys.NewRing(settings.Keys),
		logger:      zerolog.Nop(),
		started:     time.Now(),
		silent:      map[netip.AddrPort]bool{},
		tracker:     meter.NewTracker(),
	}
	f.superseded, f.giveUp = context.WithCancel(context.Background())
	for _, o := range options {
		o(f)
	}
	f.listener, err = net.Listen("tcp4", settings.Control.String())
	if err != nil {
		return nil, err
	}
	f.entry, err = entry.New(
		f.ring,
		entry.WithFabric(settings.Fabric),
		entry.WithTunnel(settings.Tunnel),
		entry.WithSuspicion(f.suspect),
	)
	if err != nil {
		return nil, errors.Join(err, f.listener.Close())
	}
	f.follower = follow.New(
		settings.Name,
		uint64(f.incarnation),
		f.store,
		follow.WithAdopted(f.adopted),
		follow.WithRefused(f.refusals.add),
	)
	f.member, err = peer.NewMember(f.self(), f.peerOptions()...)
	if err != nil {
		return nil, err
	}
	f.follower.SetPeers(f.member)
	f.seeder = seeder.NewBalancer(f.store, uint64(f.incarnation), settings.Contacts, f.Control(), seeder.WithLogger(f.logger))
	return f, nil
}

// self is this balancer's record.
func (f *Front) self() node.Endpoint {
	return node.Endpoint{
		Upstream:    f.settings.Name,
		Agent:       f.Control(),
		Incarnation: f.incarnation,
		Place:       f.settings.Place,
		Weight:      balancerShare,
		State:       node.Serving,
	}
}

func (f *Front) peerOptions() []peer.Option {
	o := []peer.Option{
		peer.WithSeeds(f.settings.Contacts...),
		peer.OnEndpointsChanged(f.setEndpoints),
		peer.OnNewerHead(f.behind),
		peer.WithFiles(f.follower),
		peer.OnSuperseded(f.giveUp),
	}
	if f.client == nil {
		return append(o, peer.WithInsecure())
	}
	return append(o, peer.WithCredentials(f.client, f.server))
}

// Control is the address for gRPC between the roles.
func (f *Front) Control() netip.AddrPort {
	return f.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Fabric is the address for packets of callers.
func (f *Front) Fabric() netip.AddrPort {
	return f.entry.Fabric()
}

// SetKeys puts other keys for datagrams in force; open flows go on.
func (f *Front) SetKeys(k *keys.Set) {
	f.ring.Swap(k)
}

// Run serves until stop ends. A balancer has no flows to hand over: it tells the
// others and goes. Once kill ends it goes without a word.
func (f *Front) Run(stop, kill context.Context) (err error) {
	var w sync.WaitGroup
	ctx, cancel := context.WithCancelCause(context.Background())
	run := func(part func(context.Context) error) {
		w.Go(func() {
			if err := part(ctx); err != nil {
				cancel(err)
			}
		})
	}
	run(f.entry.Run)
	run(func(ctx context.Context) error { return f.member.Run(ctx, f.listener) })
	w.Go(func() { f.follower.Run(ctx) })
	w.Go(func() { f.tellMembers(ctx) })
	w.Go(func() { f.seeder.Run(ctx, f.member.Balancers, f.member.SetSeeds) })
	f.logger.Info().Stringer("fabric", f.Fabric()).Stringer("control", f.Control()).Msg("serving")
	select {
	case <-stop.Done():
		f.leave(kill)
	case <-kill.Done():
	case <-ctx.Done():
	case <-f.superseded.Done():
		f.logger.Error().Msg("another process has taken this address")
	}
	cancel(nil)
	w.Wait()
	f.logger.Info().Msg("stopped")
	if cause := context.Cause(ctx); !errors.Is(cause, context.Canceled) {
		err = eris.Wrap(cause, "running the balancer")
	}
	return err
}

func (f *Front) leave(kill context.Context) {
	ctx, cancel := context.WithTimeout(kill, leaveTimeout)
	defer cancel()
	f.member.Leave(ctx)
}
