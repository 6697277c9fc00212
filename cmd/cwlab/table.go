package main

import (
	"github.com/clementinewing/clementinewing/internal/bench/load"
	"github.com/clementinewing/clementinewing/internal/bench/report"
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
	}
}
