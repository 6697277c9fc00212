package store

import (
	"fmt"
	"math/rand/v2"

	"github.com/clementinewing/clementinewing/internal/bench/report"
	"github.com/clementinewing/clementinewing/internal/board/file"
)

const (
	// changesPerDay is the number of changes at the target size.
	changesPerDay = 48_000
	secondsPerDay = 86_400
	// changesPerSeed is the number of changes in the mean of a seed.
	changesPerSeed = 40
	// maxControlBytes bounds all control traffic of a node, in bytes per second.
	maxControlBytes = 26_000
)

// fileSizes are numbers of services in an operators' file; the last is the target
// size.
var fileSizes = []int{12, 1_000, 8_000, 32_000}

// contentRows returns the bytes that one node fetches for each change of one service,
// and per second at the target's rate of changes.
func contentRows(seeds int) (rows []report.Row) {
	o := newOperator()
	for _, services := range fileSizes {
		before := o.nextFile(services)
		manifest, _ := before.Split()
		known := make(map[file.Hash]bool, len(manifest))
		for _, h := range manifest {
			known[h] = true
		}
		var each, pace []float64
		for seed := range seeds {
			random := rand.New(rand.NewPCG(uint64(seed+1), 0))
			bytes := 0.0
			for range changesPerSeed {
				bytes += float64(fetchedBytes(before, known, random)) / changesPerSeed
			}
			each = append(each, bytes)
			pace = append(pace, bytes*changesPerDay/secondsPerDay)
		}
		name := fmt.Sprintf("file of %d services: fetched for a change of one, mean", services)
		rows = append(rows, report.Summarize(name, "bytes", report.Info, 0, each))
		name = fmt.Sprintf("file of %d services: fetched at 48,000 changes a day", services)
		rows = append(rows, report.Summarize(name, "bytes/s", report.AtMost, maxControlBytes, pace))
	}
	return rows
}

// fetchedBytes returns the size of the manifest and of the missing pieces after a
// change of one service.
func fetchedBytes(before file.File, known map[file.Hash]bool, random *rand.Rand) int {
	after := before
	after.Base++
	after.Services = append([]file.Service(nil), before.Services...)
	after.Services[random.IntN(len(after.Services))].Slots++
	manifest, pieces := after.Split()
	sum := len(manifest.Bytes())
	for i := range pieces {
		if !known[manifest[i]] {
			sum += len(pieces[i])
		}
	}
	return sum
}
