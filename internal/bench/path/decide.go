package path

import (
	"math/rand/v2"
	"net/netip"
	"runtime"
	"time"

	"github.com/clementinewing/clementinewing/internal/flow/steer"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

const (
	decisions     = 1_000_000
	decisionBatch = 64
)

// decide times decisions, in batches as the packet threads make them, with
// cachedFlows owners in the cache.
func decide(seed uint64) (cached, uncached, opening, allocs float64, err error) {
	random := rand.New(rand.NewPCG(seed, 0))
	snapshot := service(random, netip.MustParseAddrPort("127.0.0.1:1"))
	s := steer.New(steer.WithFlows(cachedFlows))
	s.SetServices(snapshot)
	now := time.Now()
	known := packets(random, link.Continuing)
	for i := range known {
		owner := snapshot.Services[0].Endpoints[random.IntN(endpoints)].Incarnation
		if err = s.Hint(now, known[i].Key, owner); err != nil {
			return 0, 0, 0, 0, err
		}
	}
	unknown := packets(random, link.Continuing)
	fresh := packets(random, link.Opening)
	before := mallocs()
	cached, err = each(s, known)
	if err != nil {
		return 0, 0, 0, 0, err
	}
	uncached, err = each(s, unknown)
	if err != nil {
		return 0, 0, 0, 0, err
	}
	opening, err = each(s, fresh)
	allocs = float64(mallocs()-before) / (3 * decisions)
	// A trial allocates its batch and its decision once.
	const setup = 100.0 / (3 * decisions)
	if allocs < setup {
		allocs = 0
	}
	return cached, uncached, opening, allocs, err
}

func packets(random *rand.Rand, kind link.Kind) []link.Packet {
	list := make([]link.Packet, cachedFlows)
	for i := range list {
		list[i].Key = flow(random)
		list[i].Kind = kind
		list[i].Sequence = random.Uint32()
	}
	return list
}

func mallocs() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Mallocs
}

// each gives the mean time of a decision in nanoseconds.
func each(s *steer.Steerer, list []link.Packet) (nanoseconds float64, err error) {
	var d steer.Decision
	batch := make([]steer.Arrival, decisionBatch)
	next := 0
	start := time.Now()
	for done := 0; done < decisions; done += decisionBatch {
		for i := range batch {
			batch[i].Packet = list[next]
			next = (next + 1) % len(list)
		}
		s.Prepare(batch)
		for i := range batch {
			if err = s.Decide(start, &batch[i], &d); err != nil {
				return 0, err
			}
		}
	}
	return float64(time.Since(start).Nanoseconds()) / decisions, nil
}
