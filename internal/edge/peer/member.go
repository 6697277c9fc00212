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

// ErrNoFile is returned where no peer has the file.
var ErrNoFile = errors.New("no peer has the file")

// hooks are called without any lock held, one at a time.
type hooks struct {
	change     func([]node.Endpoint)
	behind     func(member.Head)
	probe      func(e node.Endpoint, fresh bool)
	superseded func()
	head       func(member.Head)
}

// OnChange calls f with all endpoints after they have changed.
func OnChange(f func([]node.Endpoint)) Option {
	return func(o *options) {
		o.hooks.change = f
	}
}

// OnBehind calls f when another balancer has a later file in force.
func OnBehind(f func(member.Head)) Option {
	return func(o *options) {
		o.hooks.behind = f
	}
}

// OnProbe calls f when the side process of an endpoint should be probed, on a new
// link if fresh is set. An answer is reported with Answered.
func OnProbe(f func(e node.Endpoint, fresh bool)) Option {
	return func(o *options) {
		o.hooks.probe = f
	}
}

// OnSuperseded calls f when another process has taken this one's address.
func OnSuperseded(f func()) Option {
	return func(o *options) {
		o.hooks.superseded = f
	}
}

// OnHead calls f with the file that a balancer names in answer to a renewal.
func OnHead(f func(member.Head)) Option {
	return func(o *options) {
		o.hooks.head = f
	}
}

// Member runs a balancer's part in the fleet.
type Member struct {
	self   node.Endpoint
	links  *links
	server *Server
	hooks  hooks
	// deliver makes hooks wait for each other.
	deliver sync.Mutex

	mu       sync.Mutex
	machine  *member.Node
	requests uint64
	ctx      context.Context
	calls    sync.WaitGroup
}

// NewMember makes the member of the balancer that self describes: its control
// address as Agent, its incarnation, place, weight and state.
func NewMember(self node.Endpoint, opts ...Option) (m *Member, err error) {
	defer func() { err = eris.Wrap(err, "making a member") }()
	o, err := gather(opts)
	if err != nil {
		return nil, err
	}
	self.Service = lease.Balancers
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

// Run announces the balancer and takes part until ctx ends. It closes the
// listener.
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
	m.links.close()
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
			m.links.sweep(now)
		}
	}
}

// Update announces a change of the balancer's own state or weight.
func (m *Member) Update(e node.Endpoint) {
	m.step(member.Update{
		Endpoint: e,
	})
}

// Leave tells the fleet that the balancer stops. It returns when peers have had
// the time of a call to hear it, or with ctx.
func (m *Member) Leave(ctx context.Context) {
	gone := m.self
	gone.State = node.Gone
	m.Update(gone)
	wait(ctx, member.CallLife)
}

// SetSeeds replaces the control addresses that are tried while no peer is known.
func (m *Member) SetSeeds(seeds []netip.AddrPort) {
	m.step(member.Seeds{
		Addresses: seeds,
	})
}

// SetHead tells the fleet which file this balancer has put in force.
func (m *Member) SetHead(h member.Head) {
	m.step(member.Adopted{
		Head: h,
	})
}

// Used tells that a packet was handed to an endpoint. A few times a second for
// each endpoint in use are enough. Without OnProbe it does nothing, because
// silence would then prove nothing.
func (m *Member) Used(key lease.Key) {
	if m.hooks.probe == nil {
		return
	}
	m.step(member.Used{
		Key: key,
	})
}

// Answered tells that a datagram came from an endpoint. A few times a second for
// each endpoint are enough.
func (m *Member) Answered(key lease.Key) {
	m.step(member.Answered{
		Key: key,
	})
}

// Snapshot lists the endpoints that may own flows.
func (m *Member) Snapshot() []node.Endpoint {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Endpoints()
}

// Ready tells whether the balancer knows the fleet well enough to judge flows. A
// newcomer should take no packets before.
func (m *Member) Ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Ready(time.Now())
}

// Balancers lists the balancers that are neither suspect nor away.
func (m *Member) Balancers() []node.Endpoint {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]node.Endpoint(nil), m.machine.Table().Balancers()...)
}

// FetchFile gets a file from the first peer that has it.
func (m *Member) FetchFile(ctx context.Context, hash string) (content []byte, err error) {
	defer func() { err = eris.Wrap(err, "fetching a file from peers") }()
	m.mu.Lock()
	peers := append([]netip.AddrPort(nil), m.machine.Peers()...)
	m.mu.Unlock()
	return m.links.fetch(ctx, peers, hash)
}

// Renewed implements Handler.
func (m *Member) Renewed(r lease.Renew) (reply lease.RenewReply) {
	for _, a := range m.stepRequest(func(id uint64) member.Event {
		return member.Renewed{
			Request: id,
			Renew:   r,
		}
	}) {
		if answer, ok := a.(member.AnswerRenew); ok {
			reply = answer.Reply
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.machine.Head()
	reply.Revision = h.Revision
	reply.Record = h.Hash
	return reply
}

// Exchanged implements Handler.
func (m *Member) Exchanged(e member.Exchange) (reply member.ExchangeReply) {
	for _, a := range m.stepRequest(func(id uint64) member.Event {
		return member.Exchanged{
			Request:  id,
			Exchange: e,
		}
	}) {
		if answer, ok := a.(member.AnswerExchange); ok {
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
		m.perform(ctx, a)
	}
	return actions
}

func (m *Member) perform(ctx context.Context, a member.Action) {
	switch a := a.(type) {
	case member.Call:
		m.start(ctx, a)
	case member.Changed:
		if m.hooks.change != nil {
			m.deliver.Lock()
			defer m.deliver.Unlock()
			m.hooks.change(m.Snapshot())
		}
	case member.Probe:
		if m.hooks.probe != nil {
			m.hooks.probe(a.Endpoint, a.Fresh)
		}
	case member.Behind:
		if m.hooks.behind != nil {
			m.deliver.Lock()
			defer m.deliver.Unlock()
			m.hooks.behind(a.Head)
		}
	case member.Superseded:
		if m.hooks.superseded != nil {
			m.hooks.superseded()
		}
	}
}

// start makes a call unless Run is about to wait for the calls' end.
func (m *Member) start(ctx context.Context, a member.Call) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ctx.Err() == nil {
		m.calls.Go(func() { m.step(m.call(ctx, a)) })
	}
}

// call carries out one call and gives the event of its end.
func (m *Member) call(ctx context.Context, a member.Call) member.Event {
	c, err := m.links.get(a.To, a.Fresh)
	if err != nil {
		return member.Expired{
			ID: a.ID,
		}
	}
	out := member.Returned{
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
		return member.Expired{
			ID: a.ID,
		}
	}
	return out
}

func wait(ctx context.Context, how time.Duration) {
	timer := time.NewTimer(how)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
