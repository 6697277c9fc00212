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

// Bounds of the platform's store and of the target size.
const (
	targetNodes = 18_000
	// maxReads is the reads a second that the store takes.
	maxReads = 2_000
	// maxWrites is the writes a second that the store takes.
	maxWrites = 300
	// changeEvery is the interval of 48,000 changes a day.
	changeEvery = 1_800 * time.Millisecond
)

// Lengths of the phases.
const (
	startFor   = 20 * time.Second
	steadyFor  = 60 * time.Second
	busyFor    = 18 * time.Second
	rollingFor = 60 * time.Second
	outageFor  = 120 * time.Second
	returnFor  = 60 * time.Second
)

var errBehind = eris.New("nodes without the newest revision at the end")

// size is a fleet and the number of its failure domains.
type size struct {
	nodes   int
	domains int
}

var sizes = []size{
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

// figures are the calls a second of one run, by phase.
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
	r.Rows = append(r.Rows, target(all[last-1], all[last])...)
	r.Rows = append(r.Rows, contentRows(seeds)...)
	return r, nil
}

// workers is how many seeds run at a time.
const workers = 3

func measureAll(seeds int, s size) (all []figures, err error) {
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

// measure runs the phases one after another on one fleet.
func measure(seed uint64, s size) (out figures, err error) {
	f := newFleet(seed, s.nodes, s.domains)
	o := newOperator()
	if err = o.apply(f); err != nil {
		return out, err
	}
	f.clock.Run(f.clock.Now().Add(time.Second))
	for place := range s.nodes {
		f.seat(place)
	}
	out.startPeak = f.phase(startFor, peak)
	out.steady = f.phase(steadyFor, mean)
	err = f.busy(o, &out)
	if err != nil {
		return out, err
	}
	for place := range s.nodes {
		f.clock.After(rollingFor*time.Duration(place)/time.Duration(s.nodes), func() { f.seat(place) })
	}
	out.rollingPeak = f.phase(rollingFor, peak)
	f.setDown(true)
	out.outage = f.phase(outageFor, mean)
	f.setDown(false)
	if err = o.apply(f); err != nil {
		return out, err
	}
	out.returnPeak = f.phase(returnFor, peak)
	out.returnBehind = float64(f.behind(o.applied))
	if out.returnBehind > 0 {
		return out, eris.Wrapf(errBehind, "seed %d, %d nodes", seed, s.nodes)
	}
	return out, nil
}

// busy changes the file at the pace of the target size.
func (f *fleet) busy(o *operator, out *figures) (err error) {
	from := f.clock.Now()
	for f.clock.Now().Before(from.Add(busyFor)) {
		if err = o.apply(f); err != nil {
			return err
		}
		f.clock.Run(f.clock.Now().Add(changeEvery))
	}
	out.busy = mean(f.meter.reads, from, f.clock.Now())
	out.busyWrites = mean(f.meter.writes, from, f.clock.Now())
	return nil
}

// phase runs the clock and gives a figure of the reads meanwhile.
func (f *fleet) phase(span time.Duration, figure func([]float64, time.Time, time.Time) float64) float64 {
	from := f.clock.Now()
	f.clock.Run(from.Add(span))
	return figure(f.meter.reads, from, f.clock.Now())
}

// kind is one figure, how it is read and named.
type kind struct {
	name  string
	read  func(figures) float64
	bound float64
}

var kinds = []kind{
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

func rowsOf(s size, all []figures) (rows []report.Row) {
	for _, k := range kinds {
		var values []float64
		for _, f := range all {
			values = append(values, k.read(f))
		}
		name := fmt.Sprintf("%d nodes: %s", s.nodes, k.name)
		rows = append(rows, report.Summarize(name, "calls/s", report.AtMost, k.bound, values))
	}
	return rows
}

// target extrapolates each figure from the slope between the two largest sizes,
// seed by seed, and gives the growth as the exponent of the fleet's size.
func target(smaller, larger []figures) (rows []report.Row) {
	small, large := sizes[len(sizes)-2].nodes, sizes[len(sizes)-1].nodes
	for _, k := range kinds {
		var values, growth []float64
		for i := range larger {
			a, b := k.read(smaller[i]), k.read(larger[i])
			slope := (b - a) / float64(large-small)
			values = append(values, b+slope*float64(targetNodes-large))
			growth = append(growth, math.Log(max(b, 1)/max(a, 1))/math.Log(float64(large)/float64(small)))
		}
		name := fmt.Sprintf("%d nodes, extrapolated: %s", targetNodes, k.name)
		rows = append(rows, report.Summarize(name, "calls/s", report.AtMost, k.bound, values))
		rows = append(rows, report.Summarize("growth: "+k.name, "exponent", report.AtMost, maxGrowth, growth))
	}
	return rows
}

// maxGrowth is the exponent below which calls grow more slowly than the fleet.
const maxGrowth = 0.99
