package fleet

import (
	"fmt"
	"math"
	"time"

	"github.com/clementinewing/clementinewing/internal/bench/report"
	"github.com/clementinewing/clementinewing/internal/fake/lossy"
	"github.com/clementinewing/clementinewing/internal/fleet/lease"
	"github.com/clementinewing/clementinewing/internal/fleet/member"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/pact"
	"github.com/clementinewing/clementinewing/internal/world/zone"
)

const (
	// spreadTodaySeconds bounds the spread of a change at today's size.
	spreadTodaySeconds = 3
	// spreadTargetSeconds bounds it at the target size.
	spreadTargetSeconds = 17
	// spreadLimit ends the wait for a change that does not arrive.
	spreadLimit = time.Minute
	// largeSeeds is how many seeds the largest size runs with.
	largeSeeds = 3
	settle     = 6 * time.Second
	linkDelay  = time.Millisecond
	linkJitter = 2 * time.Millisecond
)

var (
	spreadSizes  = []int{7, 100, 1000, 3000}
	spreadLosses = []int{0, 5, 20}
)

// Spread measures how long a change takes to reach every balancer, and fits the
// largest times to the logarithm of the fleet's size.
func Spread(seeds int) (r report.Result, err error) {
	r = report.Result{
		Experiment: "spread",
		Seeds:      seeds,
	}
	for _, loss := range spreadLosses {
		var sizes, worst []float64
		for _, n := range spreadSizes {
			values := spreadSeeds(n, loss, seeds)
			bound := float64(spreadTargetSeconds)
			if n <= 7 {
				bound = spreadTodaySeconds
			}
			name := fmt.Sprintf("spread_%d_loss_%d (%d seeds)", n, loss, len(values))
			row := report.Summarize(name, "s", report.AtMost, bound, values)
			r.Rows = append(r.Rows, row)
			sizes = append(sizes, math.Log2(float64(n)))
			worst = append(worst, row.Worst)
		}
		at, slope := extrapolate(sizes, worst, math.Log2(targetBalancers))
		name := fmt.Sprintf("spread_%d_loss_%d_extrapolated", targetBalancers, loss)
		r.Rows = append(r.Rows,
			report.Summarize(name, "s", report.AtMost, spreadTargetSeconds, []float64{at}),
			report.Summarize(fmt.Sprintf("slope_per_doubling_loss_%d", loss), "s", report.Info, 0, []float64{slope}),
		)
	}
	return r, nil
}

func spreadSeeds(n, loss, seeds int) []float64 {
	if n > 1000 {
		seeds = min(seeds, largeSeeds)
	}
	values := make([]float64, 0, seeds)
	for seed := range seeds {
		values = append(values, spreadOnce(n, loss, uint64(seed+1)))
	}
	return values
}

// spreadOnce times one change in a fleet of n balancers.
func spreadOnce(n, loss int, seed uint64) float64 {
	g := NewRig(seed,
		lossy.WithDelay(linkDelay, linkJitter),
		lossy.WithLoss(float64(loss)/100, 0),
	)
	g.Settled(n)
	g.Run(settle)
	a := g.AddAgent(node.Endpoint{
		Service: pact.Identify("dienstplan"),
		Place:   g.Balancers[0].Self.Place,
		Weight:  1,
		State:   node.Serving,
	})
	key := lease.Key{
		Service:     a.Endpoint.Service,
		Incarnation: a.Endpoint.Incarnation,
	}
	return g.until(func(b *Balancer) bool {
		_, ok := b.Machine.Table().Lookup(key)
		return ok
	}).Seconds()
}

// Settled starts n balancers that know each other already.
func (g *Rig) Settled(n int) {
	g.settled(n, nil)
}

// settled starts n balancers that know each other and further records.
func (g *Rig) settled(n int, known []lease.Record) {
	selves := make([]node.Endpoint, 0, n)
	for i := range n {
		self := g.Describe(placeFor(n, i))
		self.Sequence = 1
		selves = append(selves, self)
		known = append(known, lease.Record{
			Endpoint: self,
			Health:   lease.Live,
		})
	}
	for i, self := range selves {
		if i < seedCount {
			g.seeds = append(g.seeds, self.Agent)
		}
		g.prepare(self, known)
	}
}

// placeFor spreads machines over the places of a fleet of n balancers.
func placeFor(n, i int) zone.Place {
	if n <= 7 {
		return Oberbayern[i%len(Oberbayern)]
	}
	return placeOf(i)
}

// prepare starts a balancer with the records in its table.
func (g *Rig) prepare(self node.Endpoint, known []lease.Record) {
	b := g.build(self)
	for _, r := range known {
		b.Machine.Table().Merge(g.Clock.Now(), r)
	}
	b.Step(member.EndpointUpdated{
		Endpoint: self,
	})
	g.schedule(b)
}

// until runs until every living balancer satisfies a condition and gives the time
// that took.
func (g *Rig) until(holds func(b *Balancer) bool) time.Duration {
	start := g.Clock.Now()
	left := g.Balancers
	for g.Clock.Now().Sub(start) < spreadLimit {
		var still []*Balancer
		for _, b := range left {
			if !b.dead && !holds(b) {
				still = append(still, b)
			}
		}
		if len(still) == 0 {
			break
		}
		left = still
		g.Run(member.TickInterval / 5)
	}
	return g.Clock.Now().Sub(start)
}

// extrapolate fits a straight line by least squares and reads it at x.
func extrapolate(xs, ys []float64, x float64) (y, slope float64) {
	var sx, sy, sxx, sxy float64
	n := float64(len(xs))
	for i := range xs {
		sx += xs[i]
		sy += ys[i]
		sxx += xs[i] * xs[i]
		sxy += xs[i] * ys[i]
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return (sy-slope*sx)/n + slope*x, slope
}
