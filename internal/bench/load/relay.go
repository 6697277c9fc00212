package load

import (
	"fmt"
	"slices"
	"sync"

	"github.com/clementinewing/clementinewing/internal/bench/report"
	"github.com/clementinewing/clementinewing/internal/relay/admit"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/place"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// demand is the pattern of the callers of the relay path.
type demand string

const (
	steady demand = "steady"
	bursts demand = "bursts"
	// moving demand moves between failure domains.
	moving demand = "moving"
	// longFlows carry all requests, and their demand moves.
	longFlows demand = "long_flows"
)

// relayFault is what fails in the middle of a run.
type relayFault uint8

const (
	// reportsLost: no report arrives for relayFaultTime.
	reportsLost relayFault = iota + 1
	// balancersRestart: a third of the balancers restart and know nothing.
	balancersRestart
	// agentsRestart: a tenth of the agents restart and know nothing, while their endpoints
	// go on.
	agentsRestart
)

// relayTrial is one run of the relay path.
type relayTrial struct {
	Load   float64
	Demand demand
	Policy relayPolicy
	Seed   uint64
	Fault  relayFault
}

// relayPolicy places new flows.
type relayPolicy struct {
	name string
	// features and agent configure the state machines of balancers and agents.
	features place.Features
	agent    []admit.Option
	open     func(s *relaySim, c *relayCall)
	// finished is called when a flow has ended.
	finished func(s *relaySim, a *relayAgent)
}

// Names of the relay path's policies.
const (
	policyToday   = "today"
	policyEven    = "even"
	policyCentral = "central"
)

func relayPolicies() []relayPolicy {
	ignore := func(*relaySim, *relayAgent) {}
	return []relayPolicy{
		{
			name:     policyToday,
			open:     openByRelay,
			finished: ignore,
		},
		{
			name: policyEven,
			features: place.Features{
				Even: true,
			},
			agent:    []admit.Option{admit.EvenPlacement()},
			open:     openByRelay,
			finished: ignore,
		},
		{
			name:     "random",
			open:     openAtRandom,
			finished: ignore,
		},
		{
			name:     "two_choices",
			open:     openByTwoChoices,
			finished: ignore,
		},
		{
			name:     policyCentral,
			open:     openCentrally,
			finished: func(_ *relaySim, a *relayAgent) { a.held-- },
		},
	}
}

// give sends the SYN to one endpoint, which takes it whatever its load.
func (s *relaySim) give(c *relayCall, a *relayAgent) {
	s.send(c.balancer.zone, a.host, &frame.Forward{
		Flags:      frame.Chosen,
		Best:       frame.NoBest,
		Service:    spec.NewServiceID(relayService),
		Balancer:   c.balancer.host,
		Candidates: []frame.Host{a.host},
		Packet:     rawSYN(c.number, 0),
	})
}

func openAtRandom(s *relaySim, c *relayCall) {
	s.give(c, s.agents[c.random.IntN(relayAgents)])
}

// openByTwoChoices takes the less loaded of two random endpoints, by the last reports.
func openByTwoChoices(s *relaySim, c *relayCall) {
	a, b := s.agents[c.random.IntN(relayAgents)], s.agents[c.random.IntN(relayAgents)]
	if c.balancer.members.Agent(b.host).InUse < c.balancer.members.Agent(a.host).InUse {
		a = b
	}
	s.give(c, a)
}

// openCentrally takes the endpoint with the least work, which the queue knows exactly; among
// equals one in the failure domain of the caller.
func openCentrally(s *relaySim, c *relayCall) {
	best := slices.MinFunc(s.agents, func(a, b *relayAgent) int {
		if a.held != b.held {
			return a.held - b.held
		}
		return int(wayDelay(c.balancer.zone, a.zone) - wayDelay(c.balancer.zone, b.zone))
	})
	best.held++
	s.give(c, best)
}

// runRelayTrial runs one trial and returns its figures.
func runRelayTrial(t relayTrial) relayFigures {
	s := newRelaySim(t)
	s.startCalls()
	s.clock.At(s.meter.startAt, s.meter.begin)
	s.clock.At(s.meter.startAt.Add(relayMeasure/4), s.startFault)
	s.clock.Run(s.meter.startAt.Add(relayMeasure))
	return s.meter.figures()
}

// relayScenarios returns the trials without policy and seed.
func relayScenarios() (list []relayTrial) {
	for _, d := range []demand{steady, bursts, moving, longFlows} {
		for _, l := range []float64{0.5, 0.7, 0.9} {
			list = append(list, relayTrial{
				Load:   l,
				Demand: d,
			})
		}
	}
	return list
}

// Bounds of the even policy, relative to today's on the same arrivals.
const (
	unevenBound  = 1.0 / 3
	waitP99Bound = 1.0
)

// RunRelay measures every policy of the relay path over the given number of seeds.
func RunRelay(seeds int) (report.Result, error) {
	return report.Result{
		Experiment: "even",
		Seeds:      seeds,
		Rows:       relayRows(seeds),
	}, nil
}

func relayRows(seeds int) (rows []report.Row) {
	for _, t := range relayScenarios() {
		var today []relayFigures
		for _, p := range relayPolicies() {
			t.Policy = p
			got := t.runSeeds(seeds)
			rows = append(rows, t.rows(got)...)
			switch p.name {
			case policyToday:
				today = got
			case policyEven:
				rows = append(rows, t.compare(got, today)...)
			}
		}
	}
	return rows
}

func (t relayTrial) runSeeds(seeds int) []relayFigures {
	out := make([]relayFigures, seeds)
	var group sync.WaitGroup
	running := make(chan struct{}, workers)
	for i := range seeds {
		group.Go(func() {
			running <- struct{}{}
			defer func() { <-running }()
			seeded := t
			seeded.Seed = uint64(i + 1)
			out[i] = runRelayTrial(seeded)
		})
	}
	group.Wait()
	return out
}

func (t relayTrial) name(figure string) string {
	return fmt.Sprintf("relay/%s/%.0f/%s/%s", t.Demand, 100*t.Load, t.Policy.name, figure)
}

// compare returns the figures relative to today's.
func (t relayTrial) compare(got, today []relayFigures) []report.Row {
	uneven, wait := make([]float64, len(got)), make([]float64, len(got))
	for i := range got {
		uneven[i] = got[i].Uneven / today[i].Uneven
		wait[i] = got[i].WaitP99 / today[i].WaitP99
	}
	return []report.Row{
		report.Summarize(t.name("uneven_of_today"), "x today", report.AtMost, unevenBound, uneven),
		report.Summarize(t.name("wait_p99_of_today"), "x today", report.AtMost, waitP99Bound, wait),
	}
}

// relayFigure is one row of a trial.
type relayFigure struct {
	name string
	unit string
	of   func(f relayFigures) float64
}

func relayFigureList() []relayFigure {
	return []relayFigure{
		{
			name: "uneven",
			unit: "% of SYNs",
			of:   func(f relayFigures) float64 { return f.Uneven },
		},
		{
			name: "beyond",
			unit: "% of SYNs",
			of:   func(f relayFigures) float64 { return f.Beyond },
		},
		{
			name: "uneven_requests",
			unit: "% of requests",
			of:   func(f relayFigures) float64 { return f.UnevenRequests },
		},
		{
			name: "wait_p50",
			unit: "ms",
			of:   func(f relayFigures) float64 { return f.WaitP50 },
		},
		{
			name: "wait_p99",
			unit: "ms",
			of:   func(f relayFigures) float64 { return f.WaitP99 },
		},
		{
			name: "passes",
			unit: "1/SYN",
			of:   func(f relayFigures) float64 { return f.Passes },
		},
		{
			name: "bytes",
			unit: "1/SYN",
			of:   func(f relayFigures) float64 { return f.Bytes },
		},
		{
			name: "report_bytes",
			unit: "1/s",
			of:   func(f relayFigures) float64 { return f.ReportBytes },
		},
		{
			name: "spread",
			unit: "max/mean",
			of:   func(f relayFigures) float64 { return f.Spread },
		},
		{
			name: "remote",
			unit: "% of SYNs",
			of:   func(f relayFigures) float64 { return f.Remote },
		},
		{
			name: "refused",
			unit: "1/run",
			of:   func(f relayFigures) float64 { return f.Refused },
		},
	}
}

func (t relayTrial) rows(list []relayFigures) (rows []report.Row) {
	for _, f := range relayFigureList() {
		values := make([]float64, len(list))
		for i := range list {
			values[i] = f.of(list[i])
		}
		rows = append(rows, report.Summarize(t.name(f.name), f.unit, report.Info, 0, values))
	}
	return rows
}
