package main

import (
	"github.com/clementinewing/clementinewing/internal/bench/churn"
	"github.com/clementinewing/clementinewing/internal/bench/fleet"
	"github.com/clementinewing/clementinewing/internal/bench/load"
	"github.com/clementinewing/clementinewing/internal/bench/path"
	"github.com/clementinewing/clementinewing/internal/bench/report"
	"github.com/clementinewing/clementinewing/internal/bench/store"
)

// defaultSeeds is the number of seeds for each figure.
const defaultSeeds = 20

type experiment struct {
	Name  string
	Usage string
	Run   func(seeds int) (report.Result, error)
	// Plot draws the result into a file; nil if the experiment has no plot.
	Plot func(r report.Result, path string) error
}

// experiments lists every experiment; their code is in the packages under
// internal/bench.
func experiments() []experiment {
	return []experiment{
		{
			Name:  "balance",
			Usage: "balance of work over the upstreams, compared with other policies and a central queue",
			Run:   load.Run,
			Plot:  load.Plot,
		},
		{
			Name:  "even",
			Usage: "the part of balance that runs the relay path: new flows given beyond the slots while others are free",
			Run:   load.RunRelay,
		},
		{
			Name:  "spread",
			Usage: "time until every balancer has a change, by fleet size and packet loss",
			Run:   fleet.Spread,
		},
		{
			Name:  "broken",
			Usage: "flows broken while balancers and upstreams are replaced at random",
			Run:   churn.Run,
		},
		{
			Name:  "drain",
			Usage: "time from the start of an upstream's drain to its last new flow, and requests cut off",
			Run:   churn.Drain,
		},
		{
			Name:  "hops",
			Usage: "forwards per packet, memory and time per flow",
			Run:   churn.Hops,
		},
		{
			Name:  "path",
			Usage: "packet path of a balancer: decision time, throughput relative to a bare relay, memory",
			Run:   path.Run,
		},
		{
			Name:  "store",
			Usage: "calls per second to the store, by fleet size, under changes, replacement and outage",
			Run:   store.Run,
		},
		{
			Name:  "control",
			Usage: "bytes, heap and processor time of membership for one balancer",
			Run:   fleet.Control,
		},
		{
			Name:  "detect",
			Usage: "time until a dead upstream is no longer used, and false suspicions",
			Run:   fleet.Detect,
		},
	}
}
