package steer_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/clementinewing/clementinewing/internal/flow/steer"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

const (
	benchFlows     = 500_000
	benchEndpoints = 7
	benchBatch     = 32
)

// benchPackets returns one packet for each of count flows of one service.
func benchPackets(random *rand.Rand, kind link.Kind, count int) []link.Packet {
	list := make([]link.Packet, count)
	for i := range list {
		list[i] = link.Packet{
			Key: link.Key{
				Caller:     random.Uint32(),
				CallerPort: uint16(random.Uint32()),
				Target:     0x0a000001,
				TargetPort: 80,
				Protocol:   uint8(spec.TCP),
			},
			Kind:     kind,
			Sequence: random.Uint32(),
		}
	}
	return list
}

func benchSnapshot(random *rand.Rand) steer.Snapshot {
	s := steer.Service{
		ID:       1,
		Address:  netip.MustParseAddrPort("10.0.0.1:80"),
		Protocol: spec.TCP,
	}
	for range benchEndpoints {
		s.Endpoints = append(s.Endpoints, node.Endpoint{
			Agent:       netip.MustParseAddrPort("10.1.0.1:4000"),
			Incarnation: node.Incarnation(random.Uint64()),
			Weight:      uint32(1 + random.IntN(3)),
			State:       node.Serving,
		})
	}
	return steer.Snapshot{
		Services: []steer.Service{s},
	}
}

func BenchmarkDecide(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 0))
	snapshot := benchSnapshot(random)
	s := steer.New()
	s.SetServices(snapshot)
	now := time.Unix(1000, 0)
	cached := benchPackets(random, link.Continuing, benchFlows)
	for i := range cached {
		owner := snapshot.Services[0].Endpoints[random.IntN(benchEndpoints)].Incarnation
		if err := s.Hint(now, cached[i].Key, owner); err != nil {
			b.Fatal(err)
		}
	}
	run := func(packets []link.Packet) func(*testing.B) {
		return func(b *testing.B) {
			var d steer.Decision
			var batch [benchBatch]steer.Arrival
			next := 0
			b.ReportAllocs()
			for done := 0; done < b.N; done += benchBatch {
				for i := range batch {
					batch[i].Packet = packets[next]
					next = (next + 1) % len(packets)
				}
				s.Prepare(batch[:])
				for i := range batch {
					if err := s.Decide(now, &batch[i], &d); err != nil {
						b.Fatal(err)
					}
				}
			}
		}
	}
	b.Run("cached", run(cached))
	b.Run("uncached", run(benchPackets(random, link.Continuing, benchFlows)))
	b.Run("opening", run(benchPackets(random, link.Opening, benchFlows)))
}
