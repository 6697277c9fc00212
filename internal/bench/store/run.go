package store

import (
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/clementinewing/clementinewing/internal/bench/report"
)

// Limits of the platform's store, and the target size.
const (
	targetNodes = 18_000
	// maxReads is the number of reads per second that the store allows.
	maxReads = 2_000
	// maxWrites is the number of writes per second that the store allows.
	maxWrites = 300
	// changeInterval is the interval at 48,000 changes per day.
	changeInterval = 1_800 * time.Millisecond
)

// Durations of the phases.
const (
	startDuration   = 20 * time.Second
	steadyDuration  = 60 * time.Second
	busyDuration    = 18 * time.Second
	rollingDuration = 60 * time.Second
	outageDuration  = 120 * time.Second
	returnDuration  = 60 * time.Second
)

var errBehind = eris.New("nodes lack the newest revision at the end")

// fleetSize is the size of a fleet.
type fleetSize struct {
	nodes   int
	domains int
}

var sizes = []fleetSize{
	{
		nodes:   7,
		domains: 3,
	},
	{
		nodes:   100,
		domains: 21,
	},
	{
		nodes:   500,
		domains: 21,
	},
	{
		nodes:   2_000,
		domains: 21,
	},
}

// figures are the calls per second of one run, by phase.
type figures struct {
	startPeak    float64
	steady       float64
	busy         float64
	busyWrites   float64
	rollingPeak  float64
	outage       float64
	returnPeak   float64
	returnBehind float64
}

// Run measures every size with every seed.
func Run(seeds int) (r report.Result, err error) {
	defer func() { err = eris.Wrap(err, "measuring calls to the store") }()
	r = report.Result{
		Experiment: "store",
		Seeds:      seeds,
	}
	all := make([][]figures, len(sizes))
	for i, s := range sizes {
		all[i], err = measureAll(seeds, s)
		if err != nil {
			return r, err
		}
		r.Rows = append(r.Rows, rowsOf(s, all[i])...)
	}
	last := len(sizes) - 1
	r.Rows = append(r.Rows, extrapolate(all[last-1], all[last])...)
	r.Rows = append(r.Rows, contentRows(seeds)...)
	return r, nil
}

// workers is the number of seeds that run at the same time.
const workers = 3

func measureAll(seeds int, s fleetSize) (all []figures, err error) {
	all = make([]figures, seeds)
	faults := make([]error, workers)
	var group sync.WaitGroup
	for w := range workers {
		group.Go(func() {
			for i := w; i < seeds && faults[w] == nil; i += workers {
				all[i], faults[w] = measure(uint64(i+1), s)
			}
		})
	}
	group.Wait()
	return all, errors.Join(faults...)
}

// measure runs all phases in sequence on one fleet.
func measure(seed uint64, s fleetSize) (out figures, err error) {
	f := newFleet(seed, s.nodes, s.domains)
	o := newOperator()
	if err = o.applyNext(f); err != nil {
		return out, err
	}
	f.clock.Run(f.clock.Now().Add(time.Second))
	for place := range s.nodes {
		f.startNode(place)
	}
	out.startPeak = f.runPhase(startDuration, peak)
	out.steady = f.runPhase(steadyDuration, mean)
	err = f.runChanges(o, &out)
	if err != nil {
		return out, err
	}
	for place := range s.nodes {
		f.clock.After(rollingDuration*time.Duration(place)/time.Duration(s.nodes), func() { f.startNode(place) })
	}
	out.rollingPeak = f.runPhase(rollingDuration, peak)
	f.setDown(true)
	out.outage = f.runPhase(outageDuration, mean)
	f.setDown(false)
	if err = o.applyNext(f); err != nil {
		return out, err
	}
	out.returnPeak = f.runPhase(returnDuration, peak)
	out.returnBehind = float64(f.behind(o.applied))
	if out.returnBehind > 0 {
		return out, eris.Wrapf(errBehind, "seed %d, %d nodes", seed, s.nodes)
	}
	return out, nil
}

// runChanges changes the file at the rate of the target size.
func (f *fleet) runChanges(o *operator, out *figures) (err error) {
	from := f.clock.Now()
	for f.clock.Now().Before(from.Add(busyDuration)) {
		if err = o.applyNext(f); err != nil {
			return err
		}
		f.clock.Run(f.clock.Now().Add(changeInterval))
	}
	out.busy = mean(f.meter.reads, from, f.clock.Now())
	out.busyWrites = mean(f.meter.writes, from, f.clock.Now())
	return nil
}

// runPhase advances the clock and returns a figure of the reads in that time.
func (f *fleet) runPhase(span time.Duration, figure func([]float64, time.Time, time.Time) float64) float64 {
	from := f.clock.Now()
	f.clock.Run(from.Add(span))
	return figure(f.meter.reads, from, f.clock.Now())
}

// figure is one row: its name, value and bound.
type figure struct {
	name  string
	read  func(figures) float64
	bound float64
}

var figureList = []figure{
	{
		name:  "reads, all start at once, peak",
		read:  func(f figures) float64 { return f.startPeak },
		bound: maxReads,
	},
	{
		name:  "reads, no changes",
		read:  func(f figures) float64 { return f.steady },
		bound: maxReads,
	},
	{
		name:  "reads, 48,000 changes a day",
		read:  func(f figures) float64 { return f.busy },
		bound: maxReads,
	},
	{
		name:  "writes, 48,000 changes a day",
		read:  func(f figures) float64 { return f.busyWrites },
		bound: maxWrites,
	},
	{
		name:  "reads, all replaced in 60 s, peak",
		read:  func(f figures) float64 { return f.rollingPeak },
		bound: maxReads,
	},
	{
		name:  "reads, store down",
		read:  func(f figures) float64 { return f.outage },
		bound: maxReads,
	},
	{
		name:  "reads, store back, peak",
		read:  func(f figures) float64 { return f.returnPeak },
		bound: maxReads,
	},
}

func rowsOf(s fleetSize, all []figures) (rows []report.Row) {
	for _, k := range figureList {
		var values []float64
		for _, f := range all {
			values = append(values, k.read(f))
		}
		name := fmt.Sprintf("%d nodes: %s", s.nodes, k.name)
		rows = append(rows, report.Summarize(name, "calls/s", report.AtMost, k.bound, values))
	}
	return rows
}

// extrapolate extrapolates each figure to targetNodes from the slope between the two
// largest sizes, for each seed. Growth is the exponent of the fleet's size.
func extrapolate(smaller, larger []figures) (rows []report.Row) {
	small, large := sizes[len(sizes)-2].nodes, sizes[len(sizes)-1].nodes
	for _, k := range figureList {
		var values, growth []float64
		for i := range larger {
			a, b := k.read(smaller[i]), k.read(larger[i])
			slope := (b - a) / float64(large-small)
			values = append(values, b+slope*float64(targetNodes-large))
			growth = append(growth, math.Log(max(b, 1)/max(a, 1))/math.Log(float64(large)/float64(small)))
		}
		name := fmt.Sprintf("%d nodes, extrapolated: %s", targetNodes, k.name)
		rows = append(rows, report.Summarize(name, "calls/s", report.AtMost, k.bound, values))
		rows = append(rows, report.Summarize("growth: "+k.name, "exponent", report.AtMost, maxGrowthExponent, growth))
	}
	return rows
}

// maxGrowthExponent bounds the growth; below 1, calls grow more slowly than the fleet.
const maxGrowthExponent = 0.99
