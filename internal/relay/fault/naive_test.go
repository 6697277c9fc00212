package fault

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/guide"
	"github.com/clementinewing/clementinewing/internal/relay/hold"
	"github.com/clementinewing/clementinewing/internal/relay/place"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/pact"
)

// The naive version has no state: each balancer ranks the endpoints that it hears
// by rendezvous hashing and sends every packet along that list, and a side process
// gives each packet to its endpoint and sends on what comes back.

// walk sends a packet along the ranked list.
func (b *balancer) walk(p guide.Packet) {
	w := b.world
	list := place.Lookup(w.clock.Now(), p.Key.Hash(), false, b.members.Service(pact.Identify(service)), nil)
	if len(list) > 0 {
		w.step(list, p.Packet)
	}
}

// step gives a packet to the first of a list, and to the next if it comes back.
func (w *world) step(list []frame.Host, p link.Packet) {
	w.datagram(func() {
		s := w.sides[list[0]-1]
		if s.hold == nil || s.pauses || s.end == nil || s.service != service {
			return
		}
		_, holds := s.end.flows[p.Key]
		if p.Kind != link.Opening && !holds {
			if len(list) > 1 {
				w.step(list[1:], p)
			}
			return
		}
		s.endpointTakes(w.raw(p), 0)
	})
}

// passes sends what the endpoint sends to the caller.
func (s *side) passes(e hold.Event) {
	if a, ok := e.(hold.Answered); ok {
		s.world.clock.After(hop, func() { s.world.caller.takes(s.world.packet(a.Raw)) })
	}
}

// finished plays one flow and tells whether it came to its end.
func finished(naive bool, fault string, step int, seed uint64) bool {
	w := newWorld(rand.New(rand.NewPCG(seed, 1)), few)
	w.naive = naive
	struck := false
	w.call(uint16(1000+seed), func(at int) {
		if at == step && !struck {
			struck = true
			w.strike(fault)
		}
	})
	w.clock.Run(w.clock.Now().Add(15 * time.Second))
	return w.caller.closed && len(w.caller.resets) == 0
}

var _ = Describe("a flow against the naive version", func() {
	It("comes to its end wherever it does without any state, and more often", func() {
		ours, naive := 0, 0
		for _, r := range readRows() {
			for step := range steps {
				for seed := range uint64(seeds / 2) {
					kept, keptNaive := finished(false, r.fault, step, seed), finished(true, r.fault, step, seed)
					if keptNaive && r.want == "kept" {
						Expect(kept).To(BeTrue(), "%s, step %d, seed %d", r.fault, step, seed)
					}
					ours += btoi(kept)
					naive += btoi(keptNaive)
				}
			}
		}
		GinkgoWriter.Printf("flows that came to their ends: %d, without state %d\n", ours, naive)
		Expect(ours).To(BeNumerically(">=", naive))
	})
})

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
