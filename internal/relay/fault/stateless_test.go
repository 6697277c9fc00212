package fault

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/relay/admit"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/place"
	"github.com/clementinewing/clementinewing/internal/relay/router"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// Stateless forwarding is the baseline: each balancer ranks the endpoints it knows by
// rendezvous hashing and sends every packet along that list. An agent delivers each
// packet to its endpoint and forwards what the endpoint sends.

// forwardStateless sends a packet along the ranked list.
func (b *balancer) forwardStateless(p router.Packet) {
	d := b.deployment
	list := place.OwnerCandidates(d.clock.Now(), p.Key.Hash(), false, b.members.ServiceAgents(spec.NewServiceID(service)), nil)
	if len(list) > 0 {
		d.offerToNext(list, p.Packet)
	}
}

// offerToNext delivers a packet to the first agent of a list, and to the next one if
// that endpoint does not own the flow.
func (d *deployment) offerToNext(list []frame.Host, p link.Packet) {
	d.sendDatagram(func() {
		s := d.agents[list[0]-1]
		if s.controller == nil || s.paused || s.endpoint == nil || s.service != service {
			return
		}
		_, hasFlow := s.endpoint.flows[p.Key]
		if p.Kind != link.Opening && !hasFlow {
			if len(list) > 1 {
				d.offerToNext(list[1:], p)
			}
			return
		}
		s.deliverToEndpoint(d.raw(p), 0)
	})
}

// forwardEndpointPacket sends a packet of the endpoint to the caller.
func (s *agent) forwardEndpointPacket(e admit.Event) {
	if a, ok := e.(admit.PacketFromEndpoint); ok {
		s.deployment.clock.After(hopDelay, func() { s.deployment.caller.receive(s.deployment.packet(a.Raw)) })
	}
}

// flowCompletes simulates one flow and reports whether it closed without a reset.
func flowCompletes(stateless bool, fault string, step int, seed uint64) bool {
	d := newDeployment(rand.New(rand.NewPCG(seed, 1)), fewOtherEndpoints)
	d.stateless = stateless
	injected := false
	d.startCaller(uint16(1000+seed), func(at int) {
		if at == step && !injected {
			injected = true
			d.injectFault(fault)
		}
	})
	d.clock.Run(d.clock.Now().Add(15 * time.Second))
	return d.caller.closed && len(d.caller.resets) == 0
}

var _ = Describe("A flow compared with stateless forwarding", func() {
	It("completes wherever it does without any state, and at least as often", func() {
		stateful, stateless := 0, 0
		for _, r := range readFaultCases() {
			for step := range steps {
				for seed := range uint64(seedsPerFault / 2) {
					kept, keptStateless := flowCompletes(false, r.fault, step, seed), flowCompletes(true, r.fault, step, seed)
					if keptStateless && r.want == "kept" {
						Expect(kept).To(BeTrue(), "%s, step %d, seed %d", r.fault, step, seed)
					}
					stateful += btoi(kept)
					stateless += btoi(keptStateless)
				}
			}
		}
		GinkgoWriter.Printf("completed flows: %d, without state %d\n", stateful, stateless)
		Expect(stateful).To(BeNumerically(">=", stateless))
	})
})

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
