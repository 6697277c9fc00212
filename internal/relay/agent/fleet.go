package agent

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/clementinewing/clementinewing/internal/board/retry"
	"github.com/clementinewing/clementinewing/internal/relay/admit"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
)

const (
	// seedInterval is the interval of load reports to the seed balancers until one of
	// them answers.
	seedInterval = 25 * time.Millisecond
	// storeDelay is the delay after which the store is read as well: a few round trips
	// to the seeds. firstStartStoreDelay replaces it when the whole system starts and no
	// traffic is waiting.
	storeDelay           = 20 * time.Millisecond
	firstStartStoreDelay = 1500 * time.Millisecond
	storeTimeout         = 800 * time.Millisecond
	minStoreBackoff      = 200 * time.Millisecond
	maxStoreBackoff      = 1600 * time.Millisecond
)

// findBalancers contacts the seed balancers of the settings and, after a delay, those in
// the balancer directory, until one answers.
func (a *Agent) findBalancers(ctx context.Context) {
	backoff := retry.New(rand.Uint64(), minStoreBackoff, maxStoreBackoff)
	storeCallAt := a.startedAt.Add(storeDelay)
	if a.settings.FirstStart {
		storeCallAt = a.startedAt.Add(firstStartStoreDelay)
	}
	for ctx.Err() == nil {
		a.mutex.Lock()
		joined := a.joined
		if !joined {
			for _, s := range a.settings.Seeds {
				a.balancers.Add(frame.HostOf(s.Addr()))
			}
			a.sendReports(time.Now(), true)
		}
		a.mutex.Unlock()
		if joined {
			return
		}
		if time.Now().After(storeCallAt) {
			a.readBalancerDirectory(ctx)
			storeCallAt = backoff.Next(time.Now())
		}
		select {
		case <-ctx.Done():
		case <-time.After(seedInterval):
		}
	}
}

func (a *Agent) readBalancerDirectory(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	start := time.Now()
	list, err := a.store.Balancers(call)
	a.recordLatency(LatencyStore, time.Since(start))
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.counts.storeCalls++
	if err != nil {
		a.counts.storeFailures++
		if !a.storeLost {
			a.log.Important.Warn().Err(err).Msg("store lost")
		}
		a.storeLost = true
		return
	}
	if a.storeLost {
		a.log.Important.Info().Msg("store regained")
	}
	a.storeLost = false
	for _, h := range list {
		a.balancers.Add(h)
	}
}

// handleHeartbeat answers the heartbeat of a balancer with a load report.
func (a *Agent) handleHeartbeat(now time.Time, p frame.Heartbeat) {
	if a.balancers.Add(p.Host) {
		a.log.Important.Info().Str("balancer", p.Host.String()).Msg("balancer discovered")
	}
	a.sequence++
	a.send(p.Host, a.newLoadReport(now, !a.joined))
}

// handleMemberList applies the member list of a balancer.
func (a *Agent) handleMemberList(now time.Time, r frame.MemberList) {
	if !a.joined {
		a.joined = true
		a.log.Important.Info().
			Int("balancers", len(r.Balancers)).
			Int64("after_ms", now.Sub(a.startedAt).Milliseconds()).
			Msg("first member list received")
	}
	added, removed := a.balancers.ApplyList(now, r.Balancers)
	for _, h := range removed {
		a.log.Important.Info().Str("balancer", h.String()).Msg("balancer removed")
	}
	a.execute(a.controller.Step(now, admit.BalancerFound{}))
	if r.State != 0 {
		a.execute(a.controller.Step(now, admit.StateRemembered{
			State:     r.State,
			StartedAt: r.StartedAt,
		}))
	}
	for _, h := range added {
		a.log.Important.Info().Str("balancer", h.String()).Msg("balancer discovered")
		a.sequence++
		a.send(h, a.newLoadReport(now, true))
	}
}

func (a *Agent) newLoadReport(now time.Time, wantsMembers bool) frame.LoadReport {
	l := a.controller.Load(now)
	l.Process = a.process
	l.Zone = a.zone
	l.WantsMembers = wantsMembers
	l.Sequence = a.sequence
	l.IntervalMS = uint16(roster.ReportInterval(len(a.balancers.Hosts())).Milliseconds())
	return l
}

// sendReports sends a load report to every balancer.
func (a *Agent) sendReports(now time.Time, wantsMembers bool) {
	a.sequence++
	l := a.newLoadReport(now, wantsMembers)
	evacuations := l.Evacuations
	a.balancers.NextRound()
	for _, h := range a.balancers.Hosts() {
		l.BalancersDigest = frame.NoDigest
		l.Evacuations = evacuations
		if a.balancers.ChecksList(now, h) {
			l.BalancersDigest = a.balancers.Digest()
			l.Evacuations = a.controller.EvacuationChallenge()
		}
		a.send(h, l)
	}
}

// sendReportsNow sends load reports outside the regular interval.
func (a *Agent) sendReportsNow() {
	a.sendReports(time.Now(), false)
}

// sendRegularReports sends load reports and sets the time of the next ones.
func (a *Agent) sendRegularReports(now time.Time) {
	a.reportAt = now.Add(roster.ReportInterval(len(a.balancers.Hosts())))
	a.sendReports(now, false)
}

func (a *Agent) runTicker(ctx context.Context) {
	ticker := time.NewTicker(admit.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		a.mutex.Lock()
		// Not before the lock: the agent may be frozen while it waits, and must notice.
		now := time.Now()
		a.execute(a.controller.Step(now, admit.Tick{}))
		if now.After(a.reportAt) {
			a.sendRegularReports(now)
		}
		a.mutex.Unlock()
	}
}
