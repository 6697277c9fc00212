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
	// usedLimitSeconds bounds how long a dead upstream that is in use gets new
	// flows; leasedLimitSeconds bounds it where only its lease shows the death.
	usedLimitSeconds   = 4
	leasedLimitSeconds = 20
	// falseLimit bounds the false suspicions of leases an hour in the fleet.
	falseLimit    = 1
	useInterval   = 500 * time.Millisecond
	pauseInterval = 10 * time.Second
	pauseLife     = 2 * time.Second
	observed      = 20 * time.Minute
	lossDetect    = 0.05
)

// Detect measures how soon a dead upstream gets no new flows, and how often a
// living one is suspected.
func Detect(seeds int) (r report.Result, err error) {
	var used, leased, lossOnly, lossLinks, paused, pausedLinks []float64
	for seed := range seeds {
		s := uint64(seed + 1)
		used = append(used, detectOnce(s, true))
		leased = append(leased, detectOnce(s, false))
		leases, links := falseOnce(s, false)
		lossOnly = append(lossOnly, leases)
		lossLinks = append(lossLinks, links)
		leases, links = falseOnce(s, true)
		paused = append(paused, leases)
		pausedLinks = append(pausedLinks, links)
	}
	return report.Result{
		Experiment: "detect",
		Seeds:      seeds,
		Rows: []report.Row{
			report.Summarize("dead_in_use", "s", report.AtMost, usedLimitSeconds, used),
			report.Summarize("dead_by_lease_only", "s", report.AtMost, leasedLimitSeconds, leased),
			report.Summarize("false_by_lease_loss_5", "1/h", report.AtMost, falseLimit, lossOnly),
			report.Summarize("false_by_link_loss_5", "1/h", report.Info, 0, lossLinks),
			report.Summarize("false_by_lease_loss_5_paused_2s", "1/h", report.AtMost, falseLimit, paused),
			report.Summarize("false_by_link_loss_5_paused_2s", "1/h", report.Info, 0, pausedLinks),
		},
	}, nil
}

func detectRig(seed uint64) *Rig {
	g := NewRig(seed,
		lossy.WithDelay(linkDelay, linkJitter),
		lossy.WithLoss(lossDetect, 0),
	)
	g.SettledWith(detectBalancers, todayEndpoints)
	g.Run(2 * settle)
	return g
}

// use keeps handing packets of every balancer to every endpoint.
func (g *Rig) use() {
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
	g.Clock.After(useInterval, g.use)
}

func (a *Agent) key() lease.Key {
	return lease.Key{
		Service:     a.Endpoint.Service,
		Incarnation: a.Endpoint.Incarnation,
	}
}

// takes tells whether the balancer would give the endpoint new flows.
func (b *Balancer) takes(a *Agent) bool {
	for _, e := range b.Machine.Endpoints() {
		if e.Incarnation == a.Endpoint.Incarnation {
			return e.State == node.Serving
		}
	}
	return false
}

// detectOnce times how long a dead endpoint still gets new flows anywhere.
func detectOnce(seed uint64, inUse bool) float64 {
	g := detectRig(seed)
	if inUse {
		g.use()
	}
	g.Run(settle + time.Duration(g.Random.Int64N(int64(settle))))
	a := g.Agents[g.Random.IntN(len(g.Agents))]
	a.Kill()
	return g.until(func(b *Balancer) bool { return !b.takes(a) }).Seconds()
}

// falseOnce counts suspicions of living endpoints: by leases once for the fleet,
// by links once for each balancer.
func falseOnce(seed uint64, pauses bool) (leases, links float64) {
	g := detectRig(seed)
	g.use()
	if pauses {
		g.pauses()
	}
	suspect := map[*Agent]bool{}
	doubted := map[*Balancer]map[*Agent]bool{}
	for _, b := range g.Balancers {
		doubted[b] = map[*Agent]bool{}
	}
	end := g.Clock.Now().Add(observed)
	for g.Clock.Now().Before(end) {
		g.Run(member.TickInterval)
		leases += g.countLeases(suspect)
		for b, seen := range doubted {
			links += b.countLinks(g.Agents, seen)
		}
	}
	hours := observed.Hours()
	return leases / hours, links / hours
}

// countLeases counts the endpoints that have become suspect anywhere.
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

// pauses stops one process after another for pauseLife.
func (g *Rig) pauses() {
	var p *process
	if i := g.Random.IntN(len(g.Agents) + len(g.Balancers)); i < len(g.Agents) {
		p = &g.Agents[i].process
	} else {
		p = &g.Balancers[i-len(g.Agents)].process
	}
	p.Pause()
	g.Clock.After(pauseLife, p.Wake)
	g.Clock.After(pauseInterval, g.pauses)
}
