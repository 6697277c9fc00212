// Package path measures the packet path of a balancer on real loopback sockets: the
// cost of a decision, the packet rate relative to a bare relay, and the memory of a
// balancer's flows. The figures come from real clocks and depend on the machine and
// its other load.
package path

import (
	"math/rand/v2"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/clementinewing/clementinewing/internal/bench/report"
	"github.com/clementinewing/clementinewing/internal/flow/steer"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// Bounds set by the users.
const (
	decisionNanoseconds = 200
	relayRatio          = 0.8
	memoryMegabytes     = 256
	newFlowsPerSecond   = 5000
)

// Sizes of the trials.
const (
	cachedFlows = 500_000
	hintedFlows = 300_000
	endpoints   = 7
)

// figures are the results of one seed.
type figures struct {
	cached   float64
	uncached float64
	opening  float64
	allocs   float64
	small    float64
	large    float64
	memory   float64
	newFlows float64
}

// Run measures once for each seed.
func Run(seeds int) (r report.Result, err error) {
	defer func() { err = eris.Wrap(err, "measuring the packet path") }()
	all := make([]figures, seeds)
	for i := range all {
		all[i], err = measure(uint64(i + 1))
		if err != nil {
			return r, err
		}
	}
	return report.Result{
		Experiment: "path",
		Seeds:      seeds,
		Rows:       rows(all),
	}, nil
}

func measure(seed uint64) (f figures, err error) {
	f.memory, f.newFlows, err = measureCapacity(seed)
	if err != nil {
		return f, err
	}
	f.cached, f.uncached, f.opening, f.allocs, err = measureDecisions(seed)
	if err != nil {
		return f, err
	}
	f.small, err = relayRatioOf(seed, smallPacket)
	if err != nil {
		return f, err
	}
	f.large, err = relayRatioOf(seed, largePacket)
	return f, err
}

func rows(all []figures) []report.Row {
	column := func(pick func(figures) float64) (values []float64) {
		for _, f := range all {
			values = append(values, pick(f))
		}
		return values
	}
	return []report.Row{
		report.Summarize("decision_ns", "ns", report.AtMost, decisionNanoseconds,
			column(func(f figures) float64 { return f.cached })),
		report.Summarize("decision_uncached_ns", "ns", report.AtMost, decisionNanoseconds,
			column(func(f figures) float64 { return f.uncached })),
		report.Summarize("decision_opening_ns", "ns", report.Info, 0,
			column(func(f figures) float64 { return f.opening })),
		report.Summarize("allocs", "allocations/packet", report.AtMost, 0,
			column(func(f figures) float64 { return f.allocs })),
		report.Summarize("relay_ratio", "64 B packets", report.AtLeast, relayRatio,
			column(func(f figures) float64 { return f.small })),
		report.Summarize("relay_ratio_large", "1400 B packets", report.AtLeast, relayRatio,
			column(func(f figures) float64 { return f.large })),
		report.Summarize("memory", "MB at 300,000 flows", report.AtMost, memoryMegabytes,
			column(func(f figures) float64 { return f.memory })),
		report.Summarize("new_flows", "flows/s", report.AtLeast, newFlowsPerSecond,
			column(func(f figures) float64 { return f.newFlows })),
	}
}

var serviceAddress = netip.MustParseAddrPort("10.0.0.1:80")

// newSnapshot returns a service with as many endpoints as the larger services of the
// deployments. The endpoints use the given addresses in turn.
func newSnapshot(random *rand.Rand, agents ...netip.AddrPort) steer.Snapshot {
	s := steer.Service{
		ID:       1,
		Address:  serviceAddress,
		Protocol: spec.TCP,
	}
	for i := range endpoints {
		s.Endpoints = append(s.Endpoints, node.Endpoint{
			Service:     1,
			Agent:       agents[i%len(agents)],
			Incarnation: node.Incarnation(random.Uint64()),
			Weight:      uint32(1 + random.IntN(3)),
			State:       node.Serving,
		})
	}
	return steer.Snapshot{
		Services: []steer.Service{s},
	}
}

// randomKey returns the key of a random flow of the service.
func randomKey(random *rand.Rand) link.Key {
	return link.Key{
		Caller:     random.Uint32(),
		CallerPort: uint16(random.Uint32()),
		Target:     0x0a000001,
		TargetPort: serviceAddress.Port(),
		Protocol:   uint8(spec.TCP),
	}
}
