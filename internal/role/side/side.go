// Package side assembles an agent: the flows of its upstream, the announcement of
// its endpoint, and its metrics and state.
package side

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
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
	"github.com/clementinewing/clementinewing/internal/flow/admit"
	"github.com/clementinewing/clementinewing/internal/flow/limit"
	"github.com/clementinewing/clementinewing/internal/flow/owner"
	"github.com/clementinewing/clementinewing/internal/role/agent"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

const leaveTimeout = 2 * time.Second

// Agent is one agent, the process beside one upstream.
type Agent struct {
	settings    roles.Agent
	incarnation node.Incarnation
	ring        *keys.Ring
	logger      zerolog.Logger
	server      credentials.TransportCredentials
	client      credentials.TransportCredentials
	agent       *agent.Agent
	announcer   *peer.Announcer
	store       store.Store
	seeder      *seeder.Seeder
	admission   *admit.Controller
	// superseded is done once another process uses the address of this one.
	superseded context.Context
	supersede  context.CancelFunc
	follower   *follow.Follower
	started    time.Time
	// state holds a node.State.
	state   atomic.Uint32
	tracker *meter.Tracker
}

// Option sets one property of an Agent.
type Option func(*Agent)

// WithLogger sets the logger.
func WithLogger(l zerolog.Logger) Option {
	return func(s *Agent) {
		s.logger = l
	}
}

// WithCredentials sets the TLS credentials for links to balancers.
func WithCredentials(server, client credentials.TransportCredentials) Option {
	return func(s *Agent) {
		s.server = server
		s.client = client
	}
}

// WithStore sets the store of the platform, which holds the directory of balancers to
// contact first.
func WithStore(st store.Store) Option {
	return func(s *Agent) {
		s.store = st
	}
}

// New opens the sockets of an agent.
func New(settings roles.Agent, options ...Option) (s *Agent, err error) {
	defer func() { err = eris.Wrap(err, "opening the agent") }()
	s = &Agent{
		settings:    settings,
		incarnation: node.Incarnation(rand.Uint64()),
		ring:        keys.NewRing(settings.Keys),
		logger:      zerolog.Nop(),
		started:     time.Now(),
		tracker:     meter.NewTracker(),
	}
	s.superseded, s.supersede = context.WithCancel(context.Background())
	for _, o := range options {
		o(s)
	}
	s.agent, err = agent.New(
		s.ring,
		s.newTable(),
		agent.WithListen(settings.Tunnel),
		agent.WithUpstream(settings.Upstream),
		agent.WithFabric(settings.Fabric),
		agent.WithIncarnation(s.incarnation),
		agent.WithKeepalive(settings.KeepaliveIdle),
		agent.WithLogger(s.logger),
	)
	if err != nil {
		return nil, err
	}
	s.follower = follow.New(settings.Name, uint64(s.incarnation), nil, follow.WithAdopted(s.applyFile))
	s.announcer, err = peer.NewAnnouncer(s.incarnation, s.peerOptions()...)
	if err != nil {
		return nil, err
	}
	s.follower.SetPeers(s.announcer)
	s.seeder = seeder.NewAgent(s.store, uint64(s.incarnation), settings.Contacts, seeder.WithLogger(s.logger))
	return s, nil
}

func (s *Agent) newTable() *owner.Table {
	now := time.Now()
	s.admission = admit.New(
		admit.Limits{
			Slots:       int(s.settings.Slots),
			Connections: int(s.settings.Connections),
		},
		admit.WithRamp(limit.Ramp{
			StartAt: now,
			WarmAt:  now.Add(s.settings.WarmUpDuration),
		}),
	)
	return owner.New(
		owner.WithIdentity(spec.NewServiceID(s.settings.Service), s.incarnation),
		owner.WithAdmissionController(s.admission),
	)
}

func (s *Agent) peerOptions() []peer.Option {
	o := []peer.Option{
		peer.WithSeeds(s.settings.Contacts...),
		peer.OnHeadAnnounced(s.followHead),
		peer.OnSuperseded(s.supersede),
	}
	if s.client == nil {
		return append(o, peer.WithInsecure())
	}
	return append(o, peer.WithCredentials(s.client, s.server))
}

// Address returns the address to which balancers send packets.
func (s *Agent) Address() netip.AddrPort {
	return s.agent.Address()
}

// Ready reports whether at least one balancer holds the lease of this endpoint.
func (s *Agent) Ready() bool {
	return len(s.announcer.LeaseHolders()) > 0
}

// SetKeys replaces the keys for datagrams; open flows continue.
func (s *Agent) SetKeys(k *keys.Set) {
	s.ring.Swap(k)
}

// Run serves until drain is done, then accepts no new flows and waits for the open
// ones until the drain deadline. Once kill is done, it aborts the flows that are left.
func (s *Agent) Run(drain, kill context.Context) {
	var w sync.WaitGroup
	packets, stopPackets := context.WithCancel(context.Background())
	calls, stopCalls := context.WithCancel(context.Background())
	w.Go(func() { s.agent.Run(packets) })
	w.Go(func() { s.announcer.Run(calls) })
	w.Go(func() { s.follower.Run(calls) })
	w.Go(func() { s.seeder.Run(calls, s.leaseHolders, s.announcer.SetSeeds) })
	s.announce(node.Serving)
	s.logger.Info().Str("service", s.settings.Service).Stringer("tunnel", s.Address()).Msg("serving")
	select {
	case <-drain.Done():
		s.leave(kill)
	case <-kill.Done():
	case <-s.superseded.Done():
		s.logger.Error().Msg("another process uses this address")
	}
	stopPackets()
	stopCalls()
	w.Wait()
	s.logger.Info().Msg("stopped")
}

// leave drains the flows of the upstream, then tells the balancers that this
// endpoint leaves.
func (s *Agent) leave(kill context.Context) {
	deadline := s.drainDeadline(time.Now())
	s.logger.Info().Time("deadline", deadline).Msg("draining")
	s.announce(node.Draining)
	s.agent.Drain(deadline)
	select {
	case <-s.agent.Drained():
	case <-kill.Done():
	}
	ctx, cancel := context.WithTimeout(kill, leaveTimeout)
	defer cancel()
	s.state.Store(uint32(node.Gone))
	s.announcer.Leave(ctx)
}

// leaseHolders returns the balancers that hold the lease of this endpoint. While
// there is one, the seeder does not search for other balancers to contact.
func (s *Agent) leaseHolders() (out []node.Endpoint) {
	for _, h := range s.announcer.LeaseHolders() {
		out = append(out, node.Endpoint{
			Agent: h,
			State: node.Serving,
		})
	}
	return out
}

func (s *Agent) announce(state node.State) {
	s.state.Store(uint32(state))
	s.announcer.Update(node.Endpoint{
		Service:     spec.NewServiceID(s.settings.Service),
		Upstream:    s.settings.Name,
		Agent:       s.Address(),
		Incarnation: s.incarnation,
		Place:       s.settings.Place,
		Weight:      s.settings.Weight,
		State:       state,
	})
}
