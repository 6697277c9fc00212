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
)

const (
	todayBytesBound  = 2000
	targetBytesBound = 26000
	targetCoreBound  = 1.3
	targetHeapBound  = 32
	// todayEndpoints is the number of endpoints of the smaller deployment.
	todayEndpoints = 10
	// measureDuration is the time over which bytes are counted.
	measureDuration = 40 * time.Second
	day             = 24 * time.Hour
	// replacedPerDay, failedPerDay and revisionsPerDay are the churn at the target
	// size.
	replacedPerDay  = 24000
	failedPerDay    = 250
	revisionsPerDay = 48000
)

var controlSizes = []int{7, 100, 300, 1000}

// Control measures the cost of membership for a balancer: bytes on the wire, heap
// and processor time.
func Control(seeds int) (r report.Result, err error) {
	r = report.Result{
		Experiment: "control",
		Seeds:      seeds,
	}
	today := measureBytes(7, todayEndpoints, false, seeds)
	r.Rows = append(r.Rows, report.Summarize("bytes_7_steady", "B/s", report.AtMost, todayBytesBound, today))
	var sizes, medians []float64
	for _, n := range controlSizes {
		values := measureBytes(n, n*targetEndpoints/targetBalancers, true, seeds)
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
	r.Rows = append(r.Rows, measureTargetNode()...)
	rows, err := measureLoopback()
	if err != nil {
		return r, err
	}
	r.Rows = append(r.Rows, rows...)
	return r, nil
}

func measureBytes(n, endpoints int, churn bool, seeds int) []float64 {
	if n >= 300 {
		seeds = min(seeds, largeSeeds)
	}
	values := make([]float64, 0, seeds)
	for seed := range seeds {
		values = append(values, bytesPerSecond(n, endpoints, churn, uint64(seed+1)))
	}
	return values
}

// bytesPerSecond returns the bytes per second that a balancer sends and receives, as
// the mean over the fleet.
func bytesPerSecond(n, endpoints int, churn bool, seed uint64) float64 {
	g := NewRig(seed, lossy.WithDelay(linkDelay, linkJitter))
	g.AddConvergedFleet(n, endpoints)
	g.Run(3 * settleDuration)
	if churn {
		g.churn(uint64(0))
	}
	g.CountBytes = true
	g.Run(measureDuration)
	total := 0
	for _, b := range g.Balancers {
		total += b.Bytes
	}
	return float64(total) / float64(n) / measureDuration.Seconds()
}

// churn keeps replacing upstreams and changing the head at the absolute rates of the
// target size, because every balancer learns of every change there.
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
	every(revisionsPerDay, func() {
		revision++
		g.Balancers[g.Random.IntN(len(g.Balancers))].Step(member.HeadAdopted{
			Head: member.Head{
				Revision: revision,
				Hash:     "0123456789abcdef0123456789abcdef",
			},
		})
	})
	every(replacedPerDay, g.replaceAgent)
	every(failedPerDay, func() {
		g.Agents[g.Random.IntN(len(g.Agents))].Kill()
	})
}

// replaceAgent drains and stops one agent and starts another in its place.
func (g *Rig) replaceAgent() {
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
	e.Agent = g.nextAddress()
	g.AddAgent(e)
}

// AddConvergedFleet starts n balancers and the given number of agents that all know
// each other.
func (g *Rig) AddConvergedFleet(n, endpoints int) {
	known := make([]lease.Record, 0, endpoints)
	for i := range endpoints {
		e := node.Endpoint{
			Service:     spec.NewServiceID(fmt.Sprintf("service-%d", i/5)),
			Upstream:    fmt.Sprintf("upstream-%d", i),
			Agent:       g.nextAddress(),
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
	g.addConverged(n, known)
	for _, r := range known {
		g.AddAgent(r.Endpoint)
	}
}
