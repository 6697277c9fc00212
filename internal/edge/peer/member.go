package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/clementinewing/clementinewing/internal/fleet/lease"
	"github.com/clementinewing/clementinewing/internal/fleet/member"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// ErrFileNotFound is returned if no peer has the file.
var ErrFileNotFound = errors.New("no peer has the file")

// hooks are called without the lock of the state machine. The hooks
// endpointsChanged and newerHead run one at a time.
type hooks struct {
	endpointsChanged func([]node.Endpoint)
	newerHead        func(member.Head)
	probe            func(e node.Endpoint, newLink bool)
	superseded       func()
	headAnnounced    func(member.Head)
}

// OnEndpointsChanged calls f with all endpoints after any of them has changed.
func OnEndpointsChanged(f func([]node.Endpoint)) Option {
	return func(o *options) {
		o.hooks.endpointsChanged = f
	}
}

// OnNewerHead calls f when another balancer has a newer file in force.
func OnNewerHead(f func(member.Head)) Option {
	return func(o *options) {
		o.hooks.newerHead = f
	}
}

// OnProbe calls f to probe the agent of an endpoint, on a new link if newLink is
// set. The answer is reported with RecordPacketFrom.
func OnProbe(f func(e node.Endpoint, newLink bool)) Option {
	return func(o *options) {
		o.hooks.probe = f
	}
}

// OnSuperseded calls f when another process has announced the address of this one.
func OnSuperseded(f func()) Option {
	return func(o *options) {
		o.hooks.superseded = f
	}
}

// OnHeadAnnounced calls f with the file in force that a balancer names in its reply to a
// renewal.
func OnHeadAnnounced(f func(member.Head)) Option {
	return func(o *options) {
		o.hooks.headAnnounced = f
	}
}

// Member runs the membership of a balancer in the fleet.
type Member struct {
	self   node.Endpoint
	links  *links
	server *Server
	hooks  hooks
	// hookMutex serializes endpointsChanged and newerHead.
	hookMutex sync.Mutex

	mu       sync.Mutex
	machine  *member.Node
	requests uint64
	ctx      context.Context
	calls    sync.WaitGroup
}

// NewMember creates the member of a balancer. The endpoint self holds the control
// address as Agent, and the incarnation, place, weight and state of the balancer.
func NewMember(self node.Endpoint, opts ...Option) (m *Member, err error) {
	defer func() { err = eris.Wrap(err, "creating a member") }()
	o, err := applyOptions(opts)
	if err != nil {
		return nil, err
	}
	self.Service = lease.BalancerService
	random := rand.New(rand.NewPCG(uint64(self.Incarnation), 0))
	m = &Member{
		self:    self,
		links:   newLinks(o.client),
		hooks:   o.hooks,
		machine: member.New(self, random, member.WithSeeds(o.seeds...)),
		ctx:     context.Background(),
	}
	m.server = newServer(m, o)
	return m, nil
}

// Run announces the balancer, serves calls at the listener and takes part in gossip
// until ctx ends. It closes the listener.
func (m *Member) Run(ctx context.Context, l net.Listener) (err error) {
	defer func() { err = eris.Wrap(err, "running a member") }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.mu.Lock()
	m.ctx = ctx
	m.mu.Unlock()
	served := make(chan error, 1)
	go func() { served <- m.server.Serve(l) }()
	m.Update(m.self)
	err = m.loop(ctx, served)
	m.mu.Lock()
	cancel()
	m.mu.Unlock()
	m.server.Stop()
	m.calls.Wait()
	m.links.closeAll()
	return err
}

func (m *Member) loop(ctx context.Context, served <-chan error) error {
	ticker := time.NewTicker(member.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-served:
			return err
		case now := <-ticker.C:
			m.step(member.Tick{})
			m.links.closeIdle(now)
		}
	}
}

// Update announces a changed state or weight of the balancer.
func (m *Member) Update(e node.Endpoint) {
	m.step(member.EndpointUpdated{
		Endpoint: e,
	})
}

// Leave announces that the balancer is gone. It waits for the timeout of a call, so
// that peers can receive the announcement, or until ctx ends.
func (m *Member) Leave(ctx context.Context) {
	gone := m.self
	gone.State = node.Gone
	m.Update(gone)
	sleep(ctx, member.CallTimeout)
}

// SetSeeds replaces the control addresses to contact while no peer is known.
func (m *Member) SetSeeds(seeds []netip.AddrPort) {
	m.step(member.SeedsChanged{
		Addresses: seeds,
	})
}

// SetHead announces the file that this balancer has in force.
func (m *Member) SetHead(h member.Head) {
	m.step(member.HeadAdopted{
		Head: h,
	})
}

// RecordPacketTo records that a packet was forwarded to an endpoint. A few calls a
// second for each endpoint in use are enough. Without OnProbe it does nothing,
// because an endpoint that is never probed may be silent although it works.
func (m *Member) RecordPacketTo(key lease.Key) {
	if m.hooks.probe == nil {
		return
	}
	m.step(member.EndpointUsed{
		Key: key,
	})
}

// RecordPacketFrom records that a datagram was received from an endpoint. A few
// calls a second for each endpoint are enough.
func (m *Member) RecordPacketFrom(key lease.Key) {
	m.step(member.PacketFromEndpoint{
		Key: key,
	})
}

// Snapshot returns the endpoints that may own flows.
func (m *Member) Snapshot() []node.Endpoint {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Endpoints()
}

// Ready reports whether the endpoint list is complete enough to forward flows. A
// new balancer should accept no packets before that.
func (m *Member) Ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Ready(time.Now())
}

// Balancers returns the balancers that are neither suspect nor absent.
func (m *Member) Balancers() []node.Endpoint {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]node.Endpoint(nil), m.machine.Table().Balancers()...)
}

// FetchFile fetches a file from the first peer that has it.
func (m *Member) FetchFile(ctx context.Context, hash string) (content []byte, err error) {
	defer func() { err = eris.Wrap(err, "fetching a file from peers") }()
	m.mu.Lock()
	peers := append([]netip.AddrPort(nil), m.machine.Peers()...)
	m.mu.Unlock()
	return m.links.fetchFile(ctx, peers, hash)
}

// HandleRenew implements Handler.
func (m *Member) HandleRenew(r lease.Renew) (reply lease.RenewReply) {
	for _, a := range m.stepRequest(func(id uint64) member.Event {
		return member.RenewReceived{
			Request: id,
			Renew:   r,
		}
	}) {
		if answer, ok := a.(member.SendRenewReply); ok {
			reply = answer.Reply
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.machine.Head()
	reply.Revision = h.Revision
	reply.RecordHash = h.Hash
	return reply
}

// HandleExchange implements Handler.
func (m *Member) HandleExchange(e member.Exchange) (reply member.ExchangeReply) {
	for _, a := range m.stepRequest(func(id uint64) member.Event {
		return member.ExchangeReceived{
			Request:  id,
			Exchange: e,
		}
	}) {
		if answer, ok := a.(member.SendExchangeReply); ok {
			reply = answer.Reply
		}
	}
	return reply
}

func (m *Member) stepRequest(event func(id uint64) member.Event) []member.Action {
	m.mu.Lock()
	m.requests++
	e := event(m.requests)
	m.mu.Unlock()
	return m.step(e)
}

func (m *Member) step(e member.Event) []member.Action {
	m.mu.Lock()
	actions := m.machine.Step(time.Now(), e)
	ctx := m.ctx
	m.mu.Unlock()
	for _, a := range actions {
		m.performAction(ctx, a)
	}
	return actions
}

func (m *Member) performAction(ctx context.Context, a member.Action) {
	switch a := a.(type) {
	case member.Call:
		m.startCall(ctx, a)
	case member.EndpointsChanged:
		if m.hooks.endpointsChanged != nil {
			m.hookMutex.Lock()
			defer m.hookMutex.Unlock()
			m.hooks.endpointsChanged(m.Snapshot())
		}
	case member.ProbeEndpoint:
		if m.hooks.probe != nil {
			m.hooks.probe(a.Endpoint, a.NewLink)
		}
	case member.NewerHead:
		if m.hooks.newerHead != nil {
			m.hookMutex.Lock()
			defer m.hookMutex.Unlock()
			m.hooks.newerHead(a.Head)
		}
	case member.Superseded:
		if m.hooks.superseded != nil {
			m.hooks.superseded()
		}
	}
}

// startCall starts a call unless ctx has ended, after which Run waits for the
// running calls.
func (m *Member) startCall(ctx context.Context, a member.Call) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ctx.Err() == nil {
		m.calls.Go(func() { m.step(m.call(ctx, a)) })
	}
}

// call makes one call and returns the event of its reply or failure.
func (m *Member) call(ctx context.Context, a member.Call) member.Event {
	c, err := m.links.get(a.To, a.NewLink)
	if err != nil {
		return member.CallFailed{
			ID: a.ID,
		}
	}
	out := member.ReplyReceived{
		ID: a.ID,
	}
	if a.Renew != nil {
		var reply lease.RenewReply
		reply, err = c.Renew(ctx, *a.Renew)
		out.Renew = &reply
	} else {
		var reply member.ExchangeReply
		reply, err = c.Exchange(ctx, *a.Exchange)
		out.Exchange = &reply
	}
	if err != nil {
		return member.CallFailed{
			ID: a.ID,
		}
	}
	return out
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
