package main

import (
	"github.com/clementinewing/clementinewing/internal/bench/load"
	"github.com/clementinewing/clementinewing/internal/bench/report"
	"github.com/clementinewing/clementinewing/internal/bench/store"
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
			Name:  "store",
			Usage: "calls a second to the store, against fleet size, changes, replacement and outage",
			Run:   store.Run,
		},
	}
}
