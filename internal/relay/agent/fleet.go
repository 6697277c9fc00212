package agent

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/clementinewing/clementinewing/internal/board/retry"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/hold"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
)

const (
	// askSeedsEvery is how often balancers that the settings name are asked
	// until one answers.
	askSeedsEvery = 25 * time.Millisecond
	// storeAfter is how long they may take before the store is asked as well: a
	// few round trips; firstStoreAfter is the same when the whole system starts
	// and nothing waits.
	storeAfter      = 20 * time.Millisecond
	firstStoreAfter = 1500 * time.Millisecond
	storeTimeout    = 800 * time.Millisecond
	storeLeast      = 200 * time.Millisecond
	storeMost       = 1600 * time.Millisecond
)

// meet finds balancers: those of the settings, then those of the store.
func (a *Agent) meet(ctx context.Context) {
	backoff := retry.New(rand.Uint64(), storeLeast, storeMost)
	askAt := a.started.Add(storeAfter)
	if a.settings.FirstStart {
		askAt = a.started.Add(firstStoreAfter)
	}
	for ctx.Err() == nil {
		a.mutex.Lock()
		done := a.answered
		if !done {
			for _, s := range a.settings.Seeds {
				a.balancers.Name(frame.HostOf(s.Addr()))
			}
			a.report(time.Now(), true)
		}
		a.mutex.Unlock()
		if done {
			return
		}
		if time.Now().After(askAt) {
			a.askStore(ctx)
			askAt = backoff.Next(time.Now())
		}
		select {
		case <-ctx.Done():
		case <-time.After(askSeedsEvery):
		}
	}
}

func (a *Agent) askStore(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	asked := time.Now()
	list, err := a.store.Balancers(call)
	a.observe(TimeStore, time.Since(asked))
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.counts.storeCalls++
	if err != nil {
		a.counts.storeFailures++
		if !a.lost {
			a.log.Trouble.Warn().Err(err).Msg("store lost")
		}
		a.lost = true
		return
	}
	if a.lost {
		a.log.Trouble.Info().Msg("store regained")
	}
	a.lost = false
	for _, h := range list {
		a.balancers.Name(h)
	}
}

// greeted answers a balancer that asks for a report.
func (a *Agent) greeted(now time.Time, p frame.Pulse) {
	if a.balancers.Name(p.Host) {
		a.log.Trouble.Info().Str("balancer", p.Host.String()).Msg("balancer met")
	}
	a.sequence++
	a.send(p.Host, a.load(now, !a.answered))
}

// roll takes the balancers that one of them knows.
func (a *Agent) roll(now time.Time, r frame.Roll) {
	if !a.answered {
		a.answered = true
		a.log.Trouble.Info().
			Int("balancers", len(r.Balancers)).
			Int64("after_ms", now.Sub(a.started).Milliseconds()).
			Msg("a balancer answered")
	}
	added, forgotten := a.balancers.Named(now, r.Balancers)
	for _, h := range forgotten {
		a.log.Trouble.Info().Str("balancer", h.String()).Msg("balancer forgotten")
	}
	if r.State != 0 {
		a.act(a.hold.Step(now, hold.Told{
			State: r.State,
			Born:  r.Born,
		}))
	}
	for _, h := range added {
		a.log.Trouble.Info().Str("balancer", h.String()).Msg("balancer met")
		a.sequence++
		a.send(h, a.load(now, true))
	}
}

func (a *Agent) load(now time.Time, first bool) frame.Load {
	l := a.hold.Load(now)
	l.Process = a.process
	l.Zone = a.zone
	l.First = first
	l.Sequence = a.sequence
	l.Every = uint16(roster.LoadEvery(len(a.balancers.Hosts())).Milliseconds())
	return l
}

// report tells every balancer the load.
func (a *Agent) report(now time.Time, first bool) {
	a.sequence++
	l := a.load(now, first)
	a.balancers.NextRound()
	for _, h := range a.balancers.Hosts() {
		l.Balancers = frame.NoCheck
		if a.balancers.Checks(now, h) {
			l.Balancers = a.balancers.Digest()
		}
		a.send(h, l)
	}
}

// reportNow tells at once what has changed.
func (a *Agent) reportNow() {
	a.report(time.Now(), false)
}

func (a *Agent) tickEvery(ctx context.Context) {
	ticker := time.NewTicker(hold.TickEvery)
	defer ticker.Stop()
	var reportAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		a.mutex.Lock()
		a.act(a.hold.Step(now, hold.Tick{}))
		if now.After(reportAt) {
			reportAt = now.Add(roster.LoadEvery(len(a.balancers.Hosts())))
			a.report(now, false)
		}
		a.mutex.Unlock()
	}
}
