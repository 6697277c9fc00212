package fleet

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/bench/report"
	"github.com/clementinewing/clementinewing/internal/fake/lossy"
	"github.com/clementinewing/clementinewing/internal/fleet/lease"
	"github.com/clementinewing/clementinewing/internal/fleet/member"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

const (
	detectBalancers = 4
	// maxUsedSeconds bounds how long a dead upstream that is in use gets new flows;
	// maxLeasedSeconds is the bound if only its expired lease shows the death.
	maxUsedSeconds   = 4
	maxLeasedSeconds = 20
	// maxFalsePerHour bounds the false suspicions by lease per hour in the fleet.
	maxFalsePerHour     = 1
	useInterval         = 500 * time.Millisecond
	pauseInterval       = 10 * time.Second
	pauseDuration       = 2 * time.Second
	observationDuration = 20 * time.Minute
	detectLoss          = 0.05
)

// Detect measures how soon a dead upstream gets no new flows, and how often a live
// one is suspected.
func Detect(seeds int) (r report.Result, err error) {
	var used, leased, lossOnly, lossLinks, paused, pausedLinks []float64
	for seed := range seeds {
		s := uint64(seed + 1)
		used = append(used, detectionSeconds(s, true))
		leased = append(leased, detectionSeconds(s, false))
		leases, links := falseSuspicions(s, false)
		lossOnly = append(lossOnly, leases)
		lossLinks = append(lossLinks, links)
		leases, links = falseSuspicions(s, true)
		paused = append(paused, leases)
		pausedLinks = append(pausedLinks, links)
	}
	return report.Result{
		Experiment: "detect",
		Seeds:      seeds,
		Rows: []report.Row{
			report.Summarize("dead_in_use", "s", report.AtMost, maxUsedSeconds, used),
			report.Summarize("dead_by_lease_only", "s", report.AtMost, maxLeasedSeconds, leased),
			report.Summarize("false_by_lease_loss_5", "1/h", report.AtMost, maxFalsePerHour, lossOnly),
			report.Summarize("false_by_link_loss_5", "1/h", report.Info, 0, lossLinks),
			report.Summarize("false_by_lease_loss_5_paused_2s", "1/h", report.AtMost, maxFalsePerHour, paused),
			report.Summarize("false_by_link_loss_5_paused_2s", "1/h", report.Info, 0, pausedLinks),
		},
	}, nil
}

func detectRig(seed uint64) *Rig {
	g := NewRig(seed,
		lossy.WithDelay(linkDelay, linkJitter),
		lossy.WithLoss(detectLoss, 0),
	)
	g.AddConvergedFleet(detectBalancers, todayEndpoints)
	g.Run(2 * settleDuration)
	return g
}

// usePeriodically makes every balancer send packets to every endpoint, again and
// again.
func (g *Rig) usePeriodically() {
	for _, b := range g.Balancers {
		if b.dead || b.paused {
			continue
		}
		for _, a := range g.Agents {
			b.Step(member.EndpointUsed{
				Key: a.key(),
			})
		}
	}
	g.Clock.After(useInterval, g.usePeriodically)
}

func (a *Agent) key() lease.Key {
	return lease.Key{
		Service:     a.Endpoint.Service,
		Incarnation: a.Endpoint.Incarnation,
	}
}

// usesEndpoint reports whether the balancer would send new flows to the endpoint.
func (b *Balancer) usesEndpoint(a *Agent) bool {
	for _, e := range b.Machine.Endpoints() {
		if e.Incarnation == a.Endpoint.Incarnation {
			return e.State == node.Serving
		}
	}
	return false
}

// detectionSeconds measures how long a dead endpoint still gets new flows from any
// balancer.
func detectionSeconds(seed uint64, inUse bool) float64 {
	g := detectRig(seed)
	if inUse {
		g.usePeriodically()
	}
	g.Run(settleDuration + time.Duration(g.Random.Int64N(int64(settleDuration))))
	a := g.Agents[g.Random.IntN(len(g.Agents))]
	a.Kill()
	return g.runUntil(func(b *Balancer) bool { return !b.usesEndpoint(a) }).Seconds()
}

// falseSuspicions counts suspicions of live endpoints per hour: by lease once for the
// whole fleet, by link once for each balancer.
func falseSuspicions(seed uint64, pauses bool) (leases, links float64) {
	g := detectRig(seed)
	g.usePeriodically()
	if pauses {
		g.pausePeriodically()
	}
	suspect := map[*Agent]bool{}
	doubted := map[*Balancer]map[*Agent]bool{}
	for _, b := range g.Balancers {
		doubted[b] = map[*Agent]bool{}
	}
	end := g.Clock.Now().Add(observationDuration)
	for g.Clock.Now().Before(end) {
		g.Run(member.TickInterval)
		leases += g.countLeases(suspect)
		for b, seen := range doubted {
			links += b.countLinks(g.Agents, seen)
		}
	}
	hours := observationDuration.Hours()
	return leases / hours, links / hours
}

// countLeases counts the endpoints that have become suspect at any balancer.
func (g *Rig) countLeases(suspect map[*Agent]bool) (began float64) {
	for _, a := range g.Agents {
		doubt := false
		for _, b := range g.Balancers {
			r, ok := b.Machine.Table().Lookup(a.key())
			doubt = doubt || !ok || r.Health != lease.Live
		}
		if doubt && !suspect[a] {
			began++
		}
		suspect[a] = doubt
	}
	return began
}

func (b *Balancer) countLinks(agents []*Agent, seen map[*Agent]bool) (began float64) {
	for _, a := range agents {
		doubt := b.Machine.SuspectsEndpoint(a.key())
		if doubt && !seen[a] {
			began++
		}
		seen[a] = doubt
	}
	return began
}

// pausePeriodically pauses one random process after another for pauseDuration.
func (g *Rig) pausePeriodically() {
	var p *process
	if i := g.Random.IntN(len(g.Agents) + len(g.Balancers)); i < len(g.Agents) {
		p = &g.Agents[i].process
	} else {
		p = &g.Balancers[i-len(g.Agents)].process
	}
	p.Pause()
	g.Clock.After(pauseDuration, p.Resume)
	g.Clock.After(pauseInterval, g.pausePeriodically)
}
