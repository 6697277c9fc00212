package peer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/clementinewing/clementinewing/internal/fleet/lease"
	"github.com/clementinewing/clementinewing/internal/fleet/member"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// Announcer announces the records of an agent and renews their leases.
type Announcer struct {
	links *links
	hooks hooks

	mu      sync.Mutex
	machine *lease.Announcer
	ctx     context.Context
	calls   sync.WaitGroup
}

// NewAnnouncer creates the announcer of the agent with the given incarnation. It
// contacts the seeds first.
func NewAnnouncer(incarnation node.Incarnation, opts ...Option) (a *Announcer, err error) {
	defer func() { err = eris.Wrap(err, "creating an announcer") }()
	o, err := applyOptions(opts)
	if err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(uint64(incarnation), 0))
	return &Announcer{
		links:   newLinks(o.client),
		hooks:   o.hooks,
		machine: lease.NewAnnouncer(random, o.seeds),
		ctx:     context.Background(),
	}, nil
}

// Run renews the leases until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.mu.Lock()
	a.ctx = ctx
	a.mu.Unlock()
	a.loop(ctx)
	a.mu.Lock()
	cancel()
	a.mu.Unlock()
	a.calls.Wait()
	a.links.closeAll()
}

func (a *Announcer) loop(ctx context.Context) {
	ticker := time.NewTicker(member.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			a.step(lease.Tick{})
			a.links.closeIdle(now)
		}
	}
}

// Update announces a new or changed endpoint. The announcer sets its sequence
// number.
func (a *Announcer) Update(e node.Endpoint) {
	a.step(lease.EndpointUpdated{
		Endpoint: e,
	})
}

// SetSeeds replaces the control addresses to contact while no lease holder is known.
func (a *Announcer) SetSeeds(seeds []netip.AddrPort) {
	a.step(lease.SeedsChanged{
		Seeds: seeds,
	})
}

// HasLease reports whether any balancer still holds the leases of this agent.
func (a *Announcer) HasLease() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.machine.HasLease(time.Now())
}

// Leave announces that all endpoints are gone. It waits for the timeout of a call,
// so that the lease holders can receive the announcement, or until ctx ends.
func (a *Announcer) Leave(ctx context.Context) {
	a.mu.Lock()
	endpoints := a.machine.Endpoints()
	a.mu.Unlock()
	for _, e := range endpoints {
		e.State = node.Gone
		a.Update(e)
	}
	sleep(ctx, member.CallTimeout)
}

func (a *Announcer) step(e lease.AnnouncerEvent) {
	a.mu.Lock()
	actions := a.machine.Step(time.Now(), e)
	ctx := a.ctx
	a.mu.Unlock()
	for _, action := range actions {
		switch action := action.(type) {
		case lease.Send:
			a.startCall(ctx, action)
		case lease.Superseded:
			if a.hooks.superseded != nil {
				a.hooks.superseded()
			}
		}
	}
}

// startCall starts a call unless ctx has ended, after which Run waits for the
// running calls.
func (a *Announcer) startCall(ctx context.Context, s lease.Send) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if ctx.Err() == nil {
		a.calls.Go(func() { a.step(a.call(ctx, s)) })
	}
}

func (a *Announcer) call(ctx context.Context, s lease.Send) lease.AnnouncerEvent {
	c, err := a.links.get(s.To, s.NewLink)
	if err != nil {
		return lease.SendFailed{
			To: s.To,
		}
	}
	reply, err := c.Renew(ctx, s.Renew)
	if err != nil {
		return lease.SendFailed{
			To: s.To,
		}
	}
	if a.hooks.headAnnounced != nil && reply.Revision > 0 {
		a.hooks.headAnnounced(member.Head{
			Revision: reply.Revision,
			Hash:     reply.RecordHash,
		})
	}
	return lease.ReplyReceived{
		From:  s.To,
		Reply: reply,
	}
}
