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
)

const (
	todayBytesBound  = 2000
	targetBytesBound = 26000
	targetCoreBound  = 1.3
	targetHeapBound  = 32
	// todayEndpoints are the endpoints of the smaller deployment.
	todayEndpoints = 10
	// measured is the time over which bytes are counted.
	measured = 40 * time.Second
	day      = 24 * time.Hour
	// replacedADay, failedADay and revisionsADay are the target's churn.
	replacedADay  = 24000
	failedADay    = 250
	revisionsADay = 48000
)

var controlSizes = []int{7, 100, 300, 1000}

// Control measures what membership costs a balancer: bytes on the wire, heap and
// processor time.
func Control(seeds int) (r report.Result, err error) {
	r = report.Result{
		Experiment: "control",
		Seeds:      seeds,
	}
	today := bytesSeeds(7, todayEndpoints, false, seeds)
	r.Rows = append(r.Rows, report.Summarize("bytes_7_steady", "B/s", report.AtMost, todayBytesBound, today))
	var sizes, medians []float64
	for _, n := range controlSizes {
		values := bytesSeeds(n, n*targetEndpoints/targetBalancers, true, seeds)
		name := fmt.Sprintf("bytes_%d_target_churn (%d seeds)", n, len(values))
		row := report.Summarize(name, "B/s", report.AtMost, targetBytesBound, values)
		r.Rows = append(r.Rows, row)
		if n > 7 {
			sizes = append(sizes, math.Log2(float64(n)))
			medians = append(medians, row.Worst)
		}
	}
	at, slope := extrapolate(sizes, medians, math.Log2(targetBalancers))
	r.Rows = append(r.Rows,
		report.Summarize("bytes_18000_extrapolated", "B/s", report.AtMost, targetBytesBound, []float64{at}),
		report.Summarize("bytes_slope_per_doubling", "B/s", report.Info, 0, []float64{slope}),
	)
	r.Rows = append(r.Rows, targetNode()...)
	rows, err := loopback()
	if err != nil {
		return r, err
	}
	r.Rows = append(r.Rows, rows...)
	return r, nil
}

func bytesSeeds(n, endpoints int, churn bool, seeds int) []float64 {
	if n >= 300 {
		seeds = min(seeds, largeSeeds)
	}
	values := make([]float64, 0, seeds)
	for seed := range seeds {
		values = append(values, bytesOnce(n, endpoints, churn, uint64(seed+1)))
	}
	return values
}

// bytesOnce gives the bytes a second that a balancer sends and receives, the mean
// over the fleet.
func bytesOnce(n, endpoints int, churn bool, seed uint64) float64 {
	g := NewRig(seed, lossy.WithDelay(linkDelay, linkJitter))
	g.SettledWith(n, endpoints)
	g.Run(3 * settle)
	if churn {
		g.churn(uint64(0))
	}
	g.Sizes = true
	g.Run(measured)
	total := 0
	for _, b := range g.Balancers {
		total += b.Bytes
	}
	return float64(total) / float64(n) / measured.Seconds()
}

// churn keeps replacing balancers' upstreams and moving the head at the absolute
// rates of the target, because every balancer hears of every change there.
func (g *Rig) churn(revision uint64) {
	every := func(perDay int, run func()) {
		interval := day / time.Duration(perDay)
		var again func()
		again = func() {
			run()
			g.Clock.After(interval, again)
		}
		g.Clock.After(interval, again)
	}
	every(revisionsADay, func() {
		revision++
		g.Balancers[g.Random.IntN(len(g.Balancers))].Step(member.HeadAdopted{
			Head: member.Head{
				Revision: revision,
				Hash:     "0123456789abcdef0123456789abcdef",
			},
		})
	})
	every(replacedADay, g.replace)
	every(failedADay, func() {
		g.Agents[g.Random.IntN(len(g.Agents))].Kill()
	})
}

// replace drains and ends one side process and starts another in its place.
func (g *Rig) replace() {
	old := g.Agents[g.Random.IntN(len(g.Agents))]
	if old.dead {
		return
	}
	e := old.Endpoint
	e.State = node.Draining
	old.Update(e)
	g.Clock.After(time.Second, func() {
		e.State = node.Gone
		old.Update(e)
		g.Clock.After(time.Second, old.Kill)
	})
	e.State = node.Serving
	e.Incarnation = 0
	e.Agent = g.address()
	g.AddAgent(e)
}

// SettledWith starts n balancers and side processes that all know each other.
func (g *Rig) SettledWith(n, endpoints int) {
	known := make([]lease.Record, 0, endpoints)
	for i := range endpoints {
		e := node.Endpoint{
			Service:     pact.Identify(fmt.Sprintf("service-%d", i/5)),
			Upstream:    fmt.Sprintf("upstream-%d", i),
			Agent:       g.address(),
			Incarnation: node.Incarnation(g.Random.Uint64()),
			Place:       placeFor(n, i),
			Weight:      1,
			State:       node.Serving,
			Sequence:    1,
		}
		known = append(known, lease.Record{
			Endpoint: e,
			Health:   lease.Live,
		})
	}
	g.settled(n, known)
	for _, r := range known {
		g.AddAgent(r.Endpoint)
	}
}
