package entry

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/clementinewing/clementinewing/internal/board/retry"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/plan"
	"github.com/clementinewing/clementinewing/internal/relay/port"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
)

const (
	// storeTimeout is for one call: a store that is slow answers within 300 ms.
	storeTimeout = 800 * time.Millisecond
	// startLeast and startMost bound the waits between the tries at start.
	startLeast = 100 * time.Millisecond
	startMost  = 1200 * time.Millisecond
	// peerTimeout is for fetching a plan from another balancer: a large one over
	// a link of 10 Mbit/s.
	peerTimeout = 1500 * time.Millisecond
	// planBytes bounds a plan that is fetched: the store's largest value.
	planBytes = 1 << 20

	planPath       = "/plan"
	revisionHeader = "Plan-Revision"
)

var errPeerPlan = errors.New("peer has no such plan")

func newClient() *http.Client {
	return &http.Client{
		Timeout: peerTimeout,
		Transport: &http.Transport{
			DisableKeepAlives: true,
			DialContext:       (&net.Dialer{Timeout: peerTimeout}).DialContext,
		},
	}
}

// start reads the store until it has answered once, while balancers named by the
// settings are asked as well. Whoever answers first gives the plan.
func (b *Balancer) start(ctx context.Context) {
	backoff := retry.New(rand.Uint64(), startLeast, startMost)
	for ctx.Err() == nil {
		b.greetSeeds()
		if b.readAll(ctx) {
			return
		}
		sleepUntil(ctx, backoff.Next(time.Now()))
	}
}

func (b *Balancer) greetSeeds() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := time.Now()
	hello := b.ownPulse(now, true)
	for _, s := range b.settings.Seeds {
		if h := frame.HostOf(s.Addr()); h != b.self {
			b.members.Name(now, h)
			b.send(h, hello)
		}
	}
}

// readAll reads everything in the store and enters this balancer there.
func (b *Balancer) readAll(ctx context.Context) (ok bool) {
	asked := time.Now()
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	c, err := b.store.Contents(call)
	cancel()
	b.answered(asked, err)
	if err != nil {
		return false
	}
	present := false
	b.mutex.Lock()
	b.turns.Answered(asked)
	b.seen = max(b.seen, c.Revision)
	hello := b.ownPulse(asked, true)
	for _, h := range c.Balancers {
		present = present || h == b.self
		if b.members.Name(asked, h) {
			b.send(h, hello)
		}
	}
	for _, h := range b.members.Written(asked, c.Members.Present, c.Members.Left) {
		b.send(h, hello)
	}
	if len(c.Members.Present) > 0 {
		b.guide.Settle(time.Now())
	}
	b.written = roster.Digest(c.Members.Present)
	b.mutex.Unlock()
	b.log.Trouble.Info().
		Int("balancers", len(c.Balancers)).
		Int("side_processes", len(c.Members.Present)).
		Uint64("store_revision", c.Revision).
		Int64("after_ms", time.Since(b.started).Milliseconds()).
		Msg("store read")
	for _, err := range c.Unreadable {
		b.log.Trouble.Warn().Err(err).Msg("item of the store passed over")
	}
	if c.Plan != nil {
		b.adopt(c.Plan, "store")
	}
	if !present {
		b.enter(ctx)
		return true
	}
	b.mutex.Lock()
	b.entered = true
	b.mutex.Unlock()
	return true
}

// writeEvery is how often at most a change of the side processes is written down.
const writeEvery = time.Second

// changedMembers gives the side processes to write down, if this balancer does
// that for all and those present differ from what was written last.
func (b *Balancer) changedMembers(now time.Time) (m port.Members, changed bool) {
	if now.Before(b.writeAt) || b.members.Turn(now) != 0 || b.leaving || b.held.Current() == nil {
		return m, false
	}
	b.writeAt = now.Add(writeEvery)
	m.Present = b.members.Sides()
	if len(m.Present) == 0 || roster.Digest(m.Present) == b.written || b.members.Isolated(now) || !b.members.Complete(now) {
		return m, false
	}
	m.Left = b.members.Left()
	return m, true
}

// writeMembers writes down who is there, for balancers that start after everybody
// has lost power.
func (b *Balancer) writeMembers(ctx context.Context, m port.Members) {
	asked := time.Now()
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := b.store.WriteMembers(call, m)
	b.answered(asked, err)
	if err != nil {
		return
	}
	b.log.Trouble.Info().Int("side_processes", len(m.Present)).Int("left", len(m.Left)).Msg("side processes written down")
	b.mutex.Lock()
	b.written = roster.Digest(m.Present)
	b.mutex.Unlock()
}

// tidyEvery is how often the directory is looked over for balancers that are gone.
// Days pass between replacements at one address, so some minutes do.
const tidyEvery = 5 * time.Minute

// tidy takes balancers out of the directory that nobody has heard for as long as
// that; one balancer does it for all.
func (b *Balancer) tidy(ctx context.Context) {
	asked := time.Now()
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	list, err := b.store.Balancers(call)
	b.answered(asked, err)
	if err != nil {
		return
	}
	b.mutex.Lock()
	known := append(b.members.Balancers(), b.self)
	b.mutex.Unlock()
	gone := slices.DeleteFunc(list, func(h frame.Host) bool { return slices.Contains(known, h) })
	if len(gone) == 0 {
		return
	}
	asked = time.Now()
	err = b.store.Remove(call, gone)
	b.answered(asked, err)
	if err == nil {
		b.log.Trouble.Info().Int("balancers", len(gone)).Msg("balancers taken out of the directory")
	}
}

// enter puts this balancer into the store's directory, where processes that know
// no other look for it.
func (b *Balancer) enter(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := b.store.Enter(call, b.self, b.settings.Name)
	if err != nil {
		b.log.Trouble.Warn().Err(err).Msg("entering the directory failed; it is tried again with the next answer of the store")
	}
	b.mutex.Lock()
	b.entered = err == nil
	b.mutex.Unlock()
}

// answered logs when the store is lost and regained.
func (b *Balancer) answered(asked time.Time, err error) {
	b.observe(TimeStore, time.Since(asked))
	b.mutex.Lock()
	lost := b.lost
	b.lost = err != nil
	if err != nil && !lost {
		b.lostAt = asked
	}
	if err == nil && lost && asked.After(b.lostAt.Add(tidyEvery)) {
		// Others may have taken this balancer out meanwhile.
		b.entered = false
	}
	b.counts.storeCalls++
	if err != nil {
		b.counts.storeFailures++
	}
	b.mutex.Unlock()
	switch {
	case err != nil && !lost:
		b.log.Trouble.Warn().Err(err).Int64("after_ms", time.Since(asked).Milliseconds()).Msg("store lost")
	case err == nil && lost:
		b.log.Trouble.Info().Msg("store regained")
	}
}

// ask finds out whether the store has changed, and reads the plan if it has.
func (b *Balancer) ask(ctx context.Context) {
	asked := time.Now()
	err := b.askOnce(ctx)
	now := time.Now()
	b.answered(asked, err)
	b.mutex.Lock()
	b.turns.Done(asked, now, err == nil, rand.Float64())
	if err == nil {
		b.pulseAll(now)
	}
	missing := !b.entered
	b.mutex.Unlock()
	if err == nil && missing {
		b.enter(ctx)
	}
}

func (b *Balancer) askOnce(ctx context.Context) (err error) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := b.store.Revision(call)
	if err != nil {
		return err
	}
	b.mutex.Lock()
	fresh := revision > b.seen || b.held.Current() == nil
	b.mutex.Unlock()
	if fresh {
		p, err := b.store.Plan(call)
		switch {
		case errors.Is(err, port.ErrAbsent):
			// The store answers; operators have written nothing yet.
			b.log.Routine.Info().Uint64("store_revision", revision).Msg("store holds no plan yet")
			return nil
		case err != nil:
			return err
		}
		b.adopt(p, "store")
		b.mutex.Lock()
		b.seen = max(b.seen, revision)
		b.mutex.Unlock()
	}
	return nil
}

// adopt puts a plan in force and says so at once.
func (b *Balancer) adopt(p *plan.Plan, from string) {
	if !b.held.Adopt(p) {
		return
	}
	b.log.Trouble.Info().
		Uint64("plan_version", p.Version).
		Uint64("plan_revision", p.Revision).
		Int("routes", len(p.Routes)).
		Str("from", from).
		Msg("plan in force")
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := time.Now()
	b.settle(now)
	b.pulseAll(now)
}

// fetch reads a plan that another balancer has in force: from the store, else from
// a balancer. A plan may be some hundred kilobytes; the store's link carries that
// to every balancer at once, a balancer's own would be blocked for seconds.
func (b *Balancer) fetch(ctx context.Context, revision uint64) {
	defer func() {
		b.mutex.Lock()
		b.fetching = false
		b.mutex.Unlock()
	}()
	asked := time.Now()
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	p, err := b.store.Plan(call)
	b.answered(asked, err)
	if err == nil && p.Revision >= revision {
		b.adopt(p, "store")
		return
	}
	b.mutex.Lock()
	from := b.members.WithPlan(revision)
	b.mutex.Unlock()
	if len(from) == 0 {
		return
	}
	host := from[rand.IntN(len(from))]
	if p, err = b.fetchPeer(ctx, host); err != nil {
		b.log.Trouble.Warn().Err(err).Str("balancer", host.String()).Uint64("plan_revision", revision).Msg("fetching a plan failed; it is tried again with the next pulse")
		return
	}
	b.adopt(p, host.String())
}

func (b *Balancer) fetchPeer(ctx context.Context, from frame.Host) (p *plan.Plan, err error) {
	defer func() { err = eris.Wrap(err, "fetching a plan") }()
	url := "http://" + netip.AddrPortFrom(from.Addr(), b.settings.InnerPort).String() + planPath
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	r, err := b.client.Do(q)
	if err != nil {
		return nil, err
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode != http.StatusOK {
		return nil, errPeerPlan
	}
	revision, err := strconv.ParseUint(r.Header.Get(revisionHeader), 10, 64)
	if err != nil {
		return nil, err
	}
	raw, err := io.ReadAll(io.LimitReader(r.Body, planBytes))
	if err != nil {
		return nil, err
	}
	return b.readPlan(raw, revision)
}

func sleepUntil(ctx context.Context, at time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(at)):
	}
}
