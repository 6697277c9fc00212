package main

import (
	"github.com/clementinewing/clementinewing/internal/bench/broken"
	"github.com/clementinewing/clementinewing/internal/bench/fleet"
	"github.com/clementinewing/clementinewing/internal/bench/load"
	"github.com/clementinewing/clementinewing/internal/bench/path"
	"github.com/clementinewing/clementinewing/internal/bench/report"
	"github.com/clementinewing/clementinewing/internal/bench/store"
)

// defaultSeeds is how many seeds each figure is taken over.
const defaultSeeds = 20

type experiment struct {
	Name  string
	Usage string
	Run   func(seeds int) (report.Result, error)
	// Plot draws the result into a file; nil if the experiment has no picture.
	Plot func(r report.Result, path string) error
}

// experiments is the table of every experiment; each has a package of its own
// under internal/bench.
func experiments() []experiment {
	return []experiment{
		{
			Name:  "balance",
			Usage: "spread of work over the upstreams, against other policies and a central queue",
			Run:   load.Run,
			Plot:  load.Plot,
		},
		{
			Name:  "spread",
			Usage: "time until every balancer has a change, by size and loss",
			Run:   fleet.Spread,
		},
		{
			Name:  "broken",
			Usage: "flows broken while balancers and upstreams are replaced at random",
			Run:   broken.Run,
		},
		{
			Name:  "drain",
			Usage: "time from an upstream's notice to its last new flow, and what is cut",
			Run:   broken.Drain,
		},
		{
			Name:  "hops",
			Usage: "hand-overs a packet, memory and time a flow",
			Run:   broken.Hops,
		},
		{
			Name:  "path",
			Usage: "the balancer's packet path: decision, throughput against a bare relay, memory",
			Run:   path.Run,
		},
		{
			Name:  "store",
			Usage: "calls a second to the store, against fleet size, changes, replacement and outage",
			Run:   store.Run,
		},
	}
}
