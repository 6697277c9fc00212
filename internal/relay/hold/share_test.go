package hold_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/hold"
)

// The load of a release: long flows come back from endpoints that leave, and until
// the next reports every balancer thinks the new endpoint the idlest.
var _ = Describe("an endpoint that joins empty", func() {
	It("takes its share of the long flows and hands the others on", func() {
		const slots, perSlot, returning = 3, 28, 400
		h := hold.New(self, service)
		now := time.Unix(0, 0).UTC()
		h.Step(now, hold.Reported{
			Report: hold.Report{
				ID:       "new",
				Service:  service,
				Born:     1,
				Sequence: 1,
				Slots:    slots,
			},
		})
		taken := 0
		for i := range uint16(returning) {
			now = now.Add(time.Millisecond)
			p := loadPacket(i, false)
			for _, a := range h.Step(now, hold.Arrived{
				Packet: p,
				Carry:  shareCarry(perSlot),
			}) {
				if _, ok := a.(hold.Deliver); ok {
					taken++
					p.Flags = flagSyn | flagAck
					h.Step(now, hold.Answered{
						Packet: p,
					})
					// The request is answered at once: slots do not bind here.
					q := loadPacket(i, true)
					q.Sequence = p.Sequence + 1
					q.Flags = flagAck
					h.Step(now, hold.Answered{
						Packet: q,
					})
				}
			}
			h.Step(now, hold.Tick{})
		}
		Expect(taken).To(BeNumerically(">=", slots*perSlot))
		Expect(taken).To(BeNumerically("<=", slots*perSlot*3/2))
	})
})

func shareCarry(perSlot uint16) *frame.Carry {
	return &frame.Carry{
		Best:     frame.NoBest,
		Share:    perSlot * 16,
		Aim:      400,
		Service:  hold.New(self, service).Load(time.Time{}).Service,
		Balancer: 90,
		List:     []frame.Host{self, 2},
		Packet:   []byte{0, 0, 0},
	}
}
