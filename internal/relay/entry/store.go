package entry

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/clementinewing/clementinewing/internal/board/retry"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/plan"
	"github.com/clementinewing/clementinewing/internal/relay/port"
)

const (
	// storeTimeout limits one store call. A slow store answers within 300 ms.
	storeTimeout = 800 * time.Millisecond
	// minStartBackoff and maxStartBackoff limit the backoff between attempts to
	// read the store at start.
	minStartBackoff = 100 * time.Millisecond
	maxStartBackoff = 1200 * time.Millisecond
	// peerTimeout limits the fetch of a plan from another balancer. It suffices for a large
	// plan over a link of 10 Mbit/s.
	peerTimeout = 1500 * time.Millisecond
	// maxPlanBytes limits the size of a fetched plan. It is the largest value that the store
	// holds.
	maxPlanBytes = 1 << 20

	planPath       = "/plan"
	revisionHeader = "Plan-Revision"
)

var errPeerPlan = errors.New("peer did not return a plan")

func newClient() *http.Client {
	return &http.Client{
		Timeout: peerTimeout,
		Transport: &http.Transport{
			DisableKeepAlives: true,
			DialContext:       (&net.Dialer{Timeout: peerTimeout}).DialContext,
		},
	}
}

// loadStore reads the store until it has answered once. It also contacts the seed balancers
// of the settings. The plan comes from whichever answers first.
func (b *Balancer) loadStore(ctx context.Context) {
	backoff := retry.New(rand.Uint64(), minStartBackoff, maxStartBackoff)
	for ctx.Err() == nil {
		b.contactSeeds()
		if b.readStore(ctx) {
			return
		}
		sleepUntil(ctx, backoff.Next(time.Now()))
	}
}

func (b *Balancer) contactSeeds() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := time.Now()
	heartbeat := b.newHeartbeat(now, true)
	for _, s := range b.settings.Seeds {
		if h := frame.HostOf(s.Addr()); h != b.self {
			b.members.AddBalancer(now, h)
			b.send(h, heartbeat)
		}
	}
}

// readStore reads the whole store and registers this balancer in the balancer directory.
func (b *Balancer) readStore(ctx context.Context) (ok bool) {
	start := time.Now()
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	c, err := b.store.Contents(call)
	cancel()
	b.recordStoreCall(start, err)
	if err != nil {
		return false
	}
	b.observePosition(c.Position)
	b.observeEvacuations(c.Position, c.Evacuated)
	present := false
	b.mutex.Lock()
	b.pollSchedule.RecordOwnPoll(start)
	b.position.RecordRead(c.Position)
	heartbeat := b.newHeartbeat(start, true)
	for _, h := range c.Balancers {
		present = present || h == b.self
		if b.members.AddBalancer(start, h) {
			b.send(h, heartbeat)
		}
	}
	b.observeRecord(c.Members, c.Position.Era)
	b.applyRecord(start, c.Members, c.Position.Era)
	b.answerWaitingAgents(time.Now())
	b.mutex.Unlock()
	b.log.Important.Info().
		Int("balancers", len(c.Balancers)).
		Int("side_processes", len(c.Members.Agents)).
		Uint64("members_revision", c.Members.Revision).
		Uint64("store_era", c.Position.Era).
		Uint64("store_revision", c.Position.Revision).
		Int64("after_ms", time.Since(b.startedAt).Milliseconds()).
		Msg("store read")
	for _, err := range c.Unreadable {
		if b.recordRefusedPlan(err) {
			continue
		}
		b.log.Important.Warn().Err(err).Msg("item in the store skipped")
	}
	if c.Plan != nil {
		b.adoptPlan(c.Plan, "store")
	}
	if !present {
		b.register(ctx)
		return true
	}
	b.mutex.Lock()
	b.registered = true
	b.mutex.Unlock()
	return true
}

// register adds this balancer to the balancer directory, so that processes that know no
// other balancer find it.
func (b *Balancer) register(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := b.store.AddBalancers(call, []frame.Host{b.self}, b.settings.Name)
	if err != nil {
		b.log.Important.Warn().Err(err).Msg("adding this balancer to the directory failed; retrying after the next successful poll of the store")
	}
	b.mutex.Lock()
	b.registered = err == nil
	b.mutex.Unlock()
}

// recordStoreCall records the latency and outcome of a store call and logs when the store
// is lost and regained.
func (b *Balancer) recordStoreCall(start time.Time, err error) {
	b.recordLatency(LatencyStore, time.Since(start))
	b.mutex.Lock()
	lost := b.storeLost
	b.storeLost = err != nil
	if err != nil && !lost {
		b.storeLostAt = start
		b.sendRegistrations()
	}
	if err == nil && lost && start.After(b.storeLostAt.Add(directorySyncInterval)) {
		// Another balancer may have removed this one from the directory meanwhile.
		b.registered = false
	}
	b.counts.storeCalls++
	if err != nil {
		b.counts.storeFailures++
	}
	b.mutex.Unlock()
	switch {
	case err != nil && !lost:
		b.log.Important.Warn().Err(err).Int64("after_ms", time.Since(start).Milliseconds()).Msg("store lost")
	case err == nil && lost:
		b.log.Important.Info().Msg("store regained")
	}
}

// pollStore polls the store's position, with the evacuated failure domains, and reads the plan if the
// position has changed. It tells the other balancers of a poll that is made for all.
func (b *Balancer) pollStore(ctx context.Context, poll plan.Poll) {
	start := time.Now()
	err := b.pollStoreOnce(ctx)
	now := time.Now()
	b.recordStoreCall(start, err)
	b.mutex.Lock()
	b.pollSchedule.FinishPoll(start, now, err == nil, rand.Float64())
	if err == nil && poll == plan.SharedPoll {
		b.sendHeartbeats(now)
	}
	unregistered := !b.registered
	b.mutex.Unlock()
	if err == nil && unregistered {
		b.register(ctx)
	}
}

func (b *Balancer) pollStoreOnce(ctx context.Context) (err error) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	position, err := b.readPosition(call)
	if err != nil {
		return err
	}
	b.observePosition(position)
	b.mutex.Lock()
	changed := b.position.PlanMayDiffer(position) || b.activePlan.Current() == nil
	b.mutex.Unlock()
	if changed {
		p, err := b.store.Plan(call)
		switch {
		case errors.Is(err, port.ErrNotFound):
			// The store is available, but operators have not written a plan yet.
			b.log.Routine.Info().Uint64("store_revision", position.Revision).Msg("store holds no plan yet")
			return nil
		case b.recordRefusedPlan(err):
			// The store is available, and the plan in force stays so until operators write another.
			b.mutex.Lock()
			b.position.RecordRead(position)
			b.mutex.Unlock()
			return nil
		case err != nil:
			return err
		}
		b.adoptPlan(p, "store")
		b.mutex.Lock()
		b.position.RecordRead(position)
		b.mutex.Unlock()
	}
	return nil
}

// observePosition records the store's position in an answer. If the store has
// come back from an older copy, the member record and the balancer directory are written
// again.
func (b *Balancer) observePosition(p plan.Position) {
	b.mutex.Lock()
	previous := b.position.Latest()
	restored := b.position.Observe(p)
	if restored {
		b.record.Restore()
		b.recordRevision = 0
		b.nextDirectorySyncAt = time.Now()
	}
	b.mutex.Unlock()
	if !restored {
		return
	}
	b.log.Important.Warn().
		Uint64("store_era", p.Era).
		Uint64("store_revision", p.Revision).
		Uint64("previous_era", previous.Era).
		Uint64("previous_revision", previous.Revision).
		Msg("store restored from an older copy")
}

// adoptPlan puts a plan in force, if it is newer, and announces it to the other balancers
// immediately.
func (b *Balancer) adoptPlan(p *plan.Plan, from string) {
	if !b.activePlan.Adopt(p) {
		b.recordIgnoredPlan(p, from)
		return
	}
	b.log.Important.Info().
		Uint64("plan_version", p.Version).
		Uint64("plan_revision", p.Revision).
		Int("routes", len(p.Routes)).
		Str("from", from).
		Msg("plan in force")
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refusedPlan = port.InvalidPlanError{}
	now := time.Now()
	b.updateReady(now)
	b.sendHeartbeats(now)
	b.answerWaitingAgents(now)
}

// recordIgnoredPlan counts and logs a plan that was not put in force, unless it is the one
// in force.
func (b *Balancer) recordIgnoredPlan(p *plan.Plan, from string) {
	active := b.activePlan.Current()
	if p.Version == active.Version {
		return
	}
	b.mutex.Lock()
	b.counts.plansIgnored++
	b.mutex.Unlock()
	b.log.Important.Warn().
		Uint64("plan_version", p.Version).
		Uint64("plan_revision", p.Revision).
		Uint64("active_version", active.Version).
		Uint64("active_revision", active.Revision).
		Str("from", from).
		Msg("plan not put in force")
}

// recordRefusedPlan counts and logs a plan in the store that is not allowed, once. It reports
// false if the error is another.
func (b *Balancer) recordRefusedPlan(err error) (refused bool) {
	var x port.InvalidPlanError
	if !errors.As(err, &x) {
		return false
	}
	b.mutex.Lock()
	known := b.refusedPlan == x
	b.refusedPlan = x
	if !known {
		b.counts.plansRefused++
	}
	b.mutex.Unlock()
	if !known {
		b.log.Important.Error().Err(err).
			Uint64("plan_revision", x.Revision).
			Uint64("active_version", b.activePlan.Version()).
			Msg("plan in the store is invalid; the plan in force is unchanged")
	}
	return true
}

// fetchPlan reads a plan that another balancer has in force, first from the store and
// otherwise from a balancer. A plan may have several hundred kilobytes: the store's link
// can serve all balancers at once, but a balancer's link would be blocked for seconds.
func (b *Balancer) fetchPlan(ctx context.Context, version uint64) {
	defer func() {
		b.mutex.Lock()
		b.fetchingPlan = false
		b.mutex.Unlock()
	}()
	start := time.Now()
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	p, err := b.store.Plan(call)
	if b.recordRefusedPlan(err) {
		b.recordStoreCall(start, nil)
	} else {
		b.recordStoreCall(start, err)
	}
	if err == nil && p.Version >= version {
		b.adoptPlan(p, "store")
		return
	}
	b.mutex.Lock()
	peers := b.members.BalancersWithPlan(version)
	b.mutex.Unlock()
	if len(peers) == 0 {
		return
	}
	host := peers[rand.IntN(len(peers))]
	if p, err = b.fetchPlanFromPeer(ctx, host); err != nil {
		b.log.Important.Warn().Err(err).Str("balancer", host.String()).Uint64("plan_version", version).Msg("fetching a plan failed; retrying with the next heartbeat")
		return
	}
	b.adoptPlan(p, host.String())
}

func (b *Balancer) fetchPlanFromPeer(ctx context.Context, from frame.Host) (p *plan.Plan, err error) {
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
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxPlanBytes))
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
