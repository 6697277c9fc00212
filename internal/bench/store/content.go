package store

import (
	"fmt"
	"math/rand/v2"

	"github.com/clementinewing/clementinewing/internal/bench/report"
	"github.com/clementinewing/clementinewing/internal/board/file"
)

const (
	// changesADay is that of the target size.
	changesADay = 48_000
	secondsADay = 86_400
	// changesPerSeed is how many changes a seed's mean is taken over.
	changesPerSeed = 40
	// maxControl is what a node may spend on all control, in bytes a second.
	maxControl = 26_000
)

// fileSizes are lengths of operators' files, in services; the last is that of the
// target size.
var fileSizes = []int{12, 1_000, 8_000, 32_000}

// contentRows tells what one node fetches for each change of one service, and a
// second at the target's pace.
func contentRows(seeds int) (rows []report.Row) {
	o := newOperator()
	for _, services := range fileSizes {
		before := o.file(services)
		manifest, _ := before.Split()
		held := make(map[file.Hash]bool, len(manifest))
		for _, h := range manifest {
			held[h] = true
		}
		var each, pace []float64
		for seed := range seeds {
			random := rand.New(rand.NewPCG(uint64(seed+1), 0))
			bytes := 0.0
			for range changesPerSeed {
				bytes += float64(fetched(before, held, random)) / changesPerSeed
			}
			each = append(each, bytes)
			pace = append(pace, bytes*changesADay/secondsADay)
		}
		name := fmt.Sprintf("file of %d services: fetched for a change of one, mean", services)
		rows = append(rows, report.Summarize(name, "bytes", report.Info, 0, each))
		name = fmt.Sprintf("file of %d services: fetched at 48,000 changes a day", services)
		rows = append(rows, report.Summarize(name, "bytes/s", report.AtMost, maxControl, pace))
	}
	return rows
}

// fetched is the size of the manifest and of the pieces that are not held after a
// change of one service.
func fetched(before file.File, held map[file.Hash]bool, random *rand.Rand) int {
	after := before
	after.Base++
	after.Services = append([]file.Service(nil), before.Services...)
	after.Services[random.IntN(len(after.Services))].Slots++
	manifest, pieces := after.Split()
	sum := len(manifest.Bytes())
	for i := range pieces {
		if !held[manifest[i]] {
			sum += len(pieces[i])
		}
	}
	return sum
}
