// Package front assembles a balancer: its packet path, its membership in the fleet,
// the file in force, and its metrics and state.
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
	balancerWeight  = 100
)

// Balancer is one balancer.
type Balancer struct {
	settings    roles.Balancer
	incarnation node.Incarnation
	ring        *keys.Ring
	logger      zerolog.Logger
	server      credentials.TransportCredentials
	client      credentials.TransportCredentials
	listener    net.Listener
	entry       *entry.PacketPath
	member      *peer.Member
	store       store.Store
	follower    *follow.Follower
	// superseded is done once another process uses the address of this one.
	superseded context.Context
	supersede  context.CancelFunc
	seeder     *seeder.Seeder
	tracker    *meter.Tracker
	refusals   refusals
	started    time.Time

	mutex     sync.Mutex
	endpoints []node.Endpoint
	silent    map[netip.AddrPort]bool
}

// Option sets one property of a Balancer.
type Option func(*Balancer)

// WithLogger sets the logger.
func WithLogger(l zerolog.Logger) Option {
	return func(f *Balancer) {
		f.logger = l
	}
}

// WithCredentials sets the TLS credentials for links to balancers and agents.
func WithCredentials(server, client credentials.TransportCredentials) Option {
	return func(f *Balancer) {
		f.server = server
		f.client = client
	}
}

// WithStore sets the store of the platform. Without a store, the file is fetched
// from peers.
func WithStore(s store.Store) Option {
	return func(f *Balancer) {
		f.store = s
	}
}

// New opens the sockets of a balancer.
func New(settings roles.Balancer, options ...Option) (f *Balancer, err error) {
	defer func() { err = eris.Wrap(err, "opening the balancer") }()
	f = &Balancer{
		settings:    settings,
		incarnation: node.Incarnation(rand.Uint64()),
		ring:        keys.NewRing(settings.Keys),
		logger:      zerolog.Nop(),
		started:     time.Now(),
		silent:      map[netip.AddrPort]bool{},
		tracker:     meter.NewTracker(),
	}
	f.superseded, f.supersede = context.WithCancel(context.Background())
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
		entry.OnSilenceChanged(f.recordSilence),
	)
	if err != nil {
		return nil, errors.Join(err, f.listener.Close())
	}
	f.follower = follow.New(
		settings.Name,
		uint64(f.incarnation),
		f.store,
		follow.WithAdopted(f.applyFile),
		follow.WithRefused(f.refusals.add),
		follow.WithRestored(f.logRestore),
	)
	f.member, err = peer.NewMember(f.ownRecord(), f.peerOptions()...)
	if err != nil {
		return nil, err
	}
	f.follower.SetPeers(f.member)
	f.seeder = seeder.NewBalancer(f.store, uint64(f.incarnation), settings.Contacts, f.ControlAddress(), seeder.WithLogger(f.logger))
	return f, nil
}

// ownRecord returns the record of this balancer.
func (f *Balancer) ownRecord() node.Endpoint {
	return node.Endpoint{
		Upstream:    f.settings.Name,
		Agent:       f.ControlAddress(),
		Incarnation: f.incarnation,
		Place:       f.settings.Place,
		Weight:      balancerWeight,
		State:       node.Serving,
	}
}

func (f *Balancer) peerOptions() []peer.Option {
	o := []peer.Option{
		peer.WithSeeds(f.settings.Contacts...),
		peer.OnEndpointsChanged(f.setEndpoints),
		peer.OnNewerHead(f.followHead),
		peer.WithFiles(f.follower),
		peer.OnSuperseded(f.supersede),
	}
	if f.client == nil {
		return append(o, peer.WithInsecure())
	}
	return append(o, peer.WithCredentials(f.client, f.server))
}

// ControlAddress returns the address for gRPC between balancers and agents.
func (f *Balancer) ControlAddress() netip.AddrPort {
	return f.listener.Addr().(*net.TCPAddr).AddrPort()
}

// FabricAddress returns the address at which packets of callers are received.
func (f *Balancer) FabricAddress() netip.AddrPort {
	return f.entry.FabricAddress()
}

// SetKeys replaces the keys for datagrams; open flows continue.
func (f *Balancer) SetKeys(k *keys.Set) {
	f.ring.Swap(k)
}

// Run serves until stop is done, then announces to the fleet that this balancer
// leaves. It has no flows to drain. Once kill is done, it stops without an
// announcement.
func (f *Balancer) Run(stop, kill context.Context) (err error) {
	var w sync.WaitGroup
	ctx, cancel := context.WithCancelCause(context.Background())
	run := func(serve func(context.Context) error) {
		w.Go(func() {
			if err := serve(ctx); err != nil {
				cancel(err)
			}
		})
	}
	run(f.entry.Run)
	run(func(ctx context.Context) error { return f.member.Run(ctx, f.listener) })
	w.Go(func() { f.follower.Run(ctx) })
	w.Go(func() { f.updateFollower(ctx) })
	w.Go(func() { f.seeder.Run(ctx, f.member.Balancers, f.member.SetSeeds) })
	f.logger.Info().Stringer("fabric", f.FabricAddress()).Stringer("control", f.ControlAddress()).Msg("serving")
	select {
	case <-stop.Done():
		f.leave(kill)
	case <-kill.Done():
	case <-ctx.Done():
	case <-f.superseded.Done():
		f.logger.Error().Msg("another process uses this address")
	}
	cancel(nil)
	w.Wait()
	f.logger.Info().Msg("stopped")
	if cause := context.Cause(ctx); !errors.Is(cause, context.Canceled) {
		err = eris.Wrap(cause, "running the balancer")
	}
	return err
}

func (f *Balancer) leave(kill context.Context) {
	ctx, cancel := context.WithTimeout(kill, leaveTimeout)
	defer cancel()
	f.member.Leave(ctx)
}
