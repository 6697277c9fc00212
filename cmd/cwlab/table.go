package main

import (
	"github.com/clementinewing/clementinewing/internal/bench/load"
	"github.com/clementinewing/clementinewing/internal/bench/path"
	"github.com/clementinewing/clementinewing/internal/bench/report"
)

// defaultSeeds is how many seeds each figure is taken over.
const defaultSeeds = 20

type experiment struct {
	Name  string
	Usage string
	Run   func(seeds int) (report.Result, error)
}

// experiments is the table of every experiment; each has a package of its own
// under internal/bench.
func experiments() []experiment {
	return []experiment{
		{
			Name:  "balance",
			Usage: "spread of work over the upstreams, against other policies and a central queue",
			Run:   load.Run,
		},
		{
			Name:  "path",
			Usage: "the balancer's packet path: decision, throughput against a bare relay, memory",
			Run:   path.Run,
		},
	}
}
