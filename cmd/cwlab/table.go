package main

import (
	"github.com/clementinewing/clementinewing/internal/bench/fleet"
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
			Name:  "spread",
			Usage: "time until every balancer has a change, by size and loss",
			Run:   fleet.Spread,
		},
		{
			Name:  "control",
			Usage: "bytes, heap and processor time of membership for one balancer",
			Run:   fleet.Control,
		},
		{
			Name:  "detect",
			Usage: "time to stop using a dead upstream, and false suspicions",
			Run:   fleet.Detect,
		},
	}
}
