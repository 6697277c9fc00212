package admit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/relay/admit"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
)

// During a release, long flows return from draining endpoints, and until the next
// reports every balancer takes the new endpoint for the least loaded.
var _ = Describe("An endpoint that joins without flows", func() {
	It("accepts its share of the long flows and forwards the others", func() {
		const slots, perSlot, returning = 3, 28, 400
		h := admit.New(self, service)
		now := time.Unix(0, 0).UTC()
		h.Step(now, admit.ReportReceived{
			Report: admit.Report{
				ID:        "new",
				Service:   service,
				StartedAt: 1,
				Sequence:  1,
				Slots:     slots,
			},
		})
		taken := 0
		for i := range uint16(returning) {
			now = now.Add(time.Millisecond)
			p := newPacket(uint32(i), false)
			for _, a := range h.Step(now, admit.PacketForEndpoint{
				Packet:  p,
				Forward: newForward(perSlot),
			}) {
				if _, ok := a.(admit.Deliver); ok {
					taken++
					p.Flags = flagSyn | flagAck
					h.Step(now, admit.PacketFromEndpoint{
						Packet: p,
					})
					// The request is answered at once, so that slots are not the limit.
					q := newPacket(uint32(i), true)
					q.Sequence = p.Sequence + 1
					q.Flags = flagAck
					h.Step(now, admit.PacketFromEndpoint{
						Packet: q,
					})
				}
			}
			h.Step(now, admit.Tick{})
		}
		Expect(taken).To(BeNumerically(">=", slots*perSlot))
		Expect(taken).To(BeNumerically("<=", slots*perSlot*3/2))
	})
})

func newForward(perSlot uint16) *frame.Forward {
	return &frame.Forward{
		Best:            frame.NoBest,
		FlowsPerSlot:    perSlot * 16,
		LatencyTargetMS: 400,
		Service:         admit.New(self, service).Load(time.Time{}).Service,
		Balancer:        90,
		Candidates:      []frame.Host{self, 2},
		Packet:          []byte{0, 0, 0},
	}
}
