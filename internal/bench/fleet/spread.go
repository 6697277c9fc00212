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
	"github.com/clementinewing/clementinewing/internal/world/spec"
	"github.com/clementinewing/clementinewing/internal/world/zone"
)

const (
	// spreadTodaySeconds bounds the time until every balancer has a change, at
	// today's size.
	spreadTodaySeconds = 3
	// spreadTargetSeconds is the same bound at the target size.
	spreadTargetSeconds = 17
	// spreadTimeout ends the wait for a change that does not arrive.
	spreadTimeout = time.Minute
	// largeSeeds is the number of seeds for the largest sizes.
	largeSeeds     = 3
	settleDuration = 6 * time.Second
	linkDelay      = time.Millisecond
	linkJitter     = 2 * time.Millisecond
)

var (
	spreadSizes  = []int{7, 100, 1000, 3000}
	spreadLosses = []int{0, 5, 20}
)

// Spread measures the time until a change reaches every balancer, and fits the
// largest times to the logarithm of the fleet's size.
func Spread(seeds int) (r report.Result, err error) {
	r = report.Result{
		Experiment: "spread",
		Seeds:      seeds,
	}
	for _, loss := range spreadLosses {
		var sizes, worst []float64
		for _, n := range spreadSizes {
			values := measureSpread(n, loss, seeds)
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

func measureSpread(n, loss, seeds int) []float64 {
	if n > 1000 {
		seeds = min(seeds, largeSeeds)
	}
	values := make([]float64, 0, seeds)
	for seed := range seeds {
		values = append(values, spreadSeconds(n, loss, uint64(seed+1)))
	}
	return values
}

// spreadSeconds measures one change in a fleet of n balancers.
func spreadSeconds(n, loss int, seed uint64) float64 {
	g := NewRig(seed,
		lossy.WithDelay(linkDelay, linkJitter),
		lossy.WithLoss(float64(loss)/100, 0),
	)
	g.AddConvergedBalancers(n)
	g.Run(settleDuration)
	a := g.AddAgent(node.Endpoint{
		Service: spec.NewServiceID("dienstplan"),
		Place:   g.Balancers[0].Self.Place,
		Weight:  1,
		State:   node.Serving,
	})
	key := lease.Key{
		Service:     a.Endpoint.Service,
		Incarnation: a.Endpoint.Incarnation,
	}
	return g.runUntil(func(b *Balancer) bool {
		_, ok := b.Machine.Table().Lookup(key)
		return ok
	}).Seconds()
}

// AddConvergedBalancers starts n balancers that already know each other.
func (g *Rig) AddConvergedBalancers(n int) {
	g.addConverged(n, nil)
}

// addConverged starts n balancers that already know each other and the given records.
func (g *Rig) addConverged(n int, known []lease.Record) {
	selves := make([]node.Endpoint, 0, n)
	for i := range n {
		self := g.NewBalancerEndpoint(placeFor(n, i))
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
		g.startWithRecords(self, known)
	}
}

// placeFor spreads machines over the places of a fleet of n balancers.
func placeFor(n, i int) zone.Place {
	if n <= 7 {
		return Oberbayern[i%len(Oberbayern)]
	}
	return placeOfMachine(i)
}

// startWithRecords starts a balancer with the records in its table.
func (g *Rig) startWithRecords(self node.Endpoint, known []lease.Record) {
	b := g.newBalancer(self)
	for _, r := range known {
		b.Machine.Table().Merge(g.Clock.Now(), r)
	}
	b.Step(member.EndpointUpdated{
		Endpoint: self,
	})
	g.startTicks(b)
}

// runUntil runs until every live balancer satisfies the condition, at most for
// spreadTimeout, and returns the time taken.
func (g *Rig) runUntil(holds func(b *Balancer) bool) time.Duration {
	start := g.Clock.Now()
	left := g.Balancers
	for g.Clock.Now().Sub(start) < spreadTimeout {
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

// extrapolate fits a straight line by least squares and evaluates it at x.
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
