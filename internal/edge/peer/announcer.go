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

// Announcer keeps the records of a side process announced.
type Announcer struct {
	links *links
	hooks hooks

	mu      sync.Mutex
	machine *lease.Announcer
	ctx     context.Context
	calls   sync.WaitGroup
}

// NewAnnouncer makes the announcer of a process with the given incarnation,
// which first turns to the seeds.
func NewAnnouncer(of node.Incarnation, opts ...Option) (a *Announcer, err error) {
	defer func() { err = eris.Wrap(err, "making an announcer") }()
	o, err := gather(opts)
	if err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(uint64(of), 0))
	return &Announcer{
		links:   newLinks(o.client),
		hooks:   o.hooks,
		machine: lease.NewAnnouncer(random, o.seeds),
		ctx:     context.Background(),
	}, nil
}

// Run renews until ctx ends.
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
	a.links.close()
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
			a.links.sweep(now)
		}
	}
}

// Update announces an endpoint for the first time or with a change. Its sequence
// is set by the announcer.
func (a *Announcer) Update(e node.Endpoint) {
	a.step(lease.Update{
		Endpoint: e,
	})
}

// SetSeeds replaces the control addresses that are tried while no home is known.
func (a *Announcer) SetSeeds(seeds []netip.AddrPort) {
	a.step(lease.Contacts{
		Seeds: seeds,
	})
}

// Held tells whether any home still holds the leases of this process.
func (a *Announcer) Held() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.machine.Held(time.Now())
}

// Leave announces that all endpoints are gone. It returns when the homes have
// had the time of a call to hear it, or with ctx.
func (a *Announcer) Leave(ctx context.Context) {
	a.mu.Lock()
	endpoints := a.machine.Endpoints()
	a.mu.Unlock()
	for _, e := range endpoints {
		e.State = node.Gone
		a.Update(e)
	}
	wait(ctx, member.CallLife)
}

func (a *Announcer) step(e lease.AnnouncerEvent) {
	a.mu.Lock()
	actions := a.machine.Step(time.Now(), e)
	ctx := a.ctx
	a.mu.Unlock()
	for _, action := range actions {
		switch action := action.(type) {
		case lease.Send:
			a.start(ctx, action)
		case lease.Superseded:
			if a.hooks.superseded != nil {
				a.hooks.superseded()
			}
		}
	}
}

// start makes a call unless Run is about to wait for the calls' end.
func (a *Announcer) start(ctx context.Context, s lease.Send) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if ctx.Err() == nil {
		a.calls.Go(func() { a.step(a.call(ctx, s)) })
	}
}

func (a *Announcer) call(ctx context.Context, s lease.Send) lease.AnnouncerEvent {
	c, err := a.links.get(s.To, s.Fresh)
	if err != nil {
		return lease.Failed{
			To: s.To,
		}
	}
	reply, err := c.Renew(ctx, s.Renew)
	if err != nil {
		return lease.Failed{
			To: s.To,
		}
	}
	if a.hooks.head != nil && reply.Revision > 0 {
		a.hooks.head(member.Head{
			Revision: reply.Revision,
			Hash:     reply.Record,
		})
	}
	return lease.Replied{
		From:  s.To,
		Reply: reply,
	}
}
