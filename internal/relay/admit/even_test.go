package admit_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/relay/admit"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

var _ = Describe("Even placement", func() {
	const slots, self = 2, frame.Host(7)
	now := time.UnixMilli(0).UTC()

	// newBusy returns the controller of an endpoint that is given a number of SYNs.
	newBusy := func(openings int, options ...admit.Option) *admit.Controller {
		h := admit.New(self, service, options...)
		h.Step(now, admit.ReportReceived{
			Report: admit.Report{
				ID:        "a",
				Service:   service,
				StartedAt: 1,
				Sequence:  1,
				Slots:     slots,
			},
		})
		for i := range openings {
			h.Step(now, opening(uint32(i), frame.Chosen, self))
		}
		return h
	}
	forwards := func(actions []admit.Action) (list []*frame.Forward) {
		for _, a := range actions {
			if f, ok := a.(admit.ForwardToCandidate); ok {
				list = append(list, f.Forward)
			}
		}
		return list
	}
	delivers := func(actions []admit.Action) bool {
		return slices.ContainsFunc(actions, func(a admit.Action) bool {
			_, ok := a.(admit.Deliver)
			return ok
		})
	}

	// An endpoint that takes a SYN beyond its slots overloads itself while others are idle.
	It("passes a SYN on without a free slot", func() {
		Expect(delivers(newBusy(slots-1, admit.EvenPlacement()).Step(now, opening(90, 0, self, 8)))).To(BeTrue())
		passed := forwards(newBusy(slots, admit.EvenPlacement()).Step(now, opening(90, 0, self, 8)))
		Expect(passed).To(HaveLen(1))
		Expect(passed[0].BestLoad).To(Equal(uint16(roster.LoadUnit)))
	})

	It("takes a SYN beyond the slots once all candidates have been asked", func() {
		Expect(delivers(newBusy(slots, admit.EvenPlacement()).Step(now, opening(90, frame.Chosen, 8, self)))).To(BeTrue())
	})

	It("takes a SYN as the last and least loaded candidate", func() {
		e := opening(90, 0, 8, self)
		e.Forward.Position = 1
		e.Forward.Best = 0
		e.Forward.BestLoad = roster.LoadUnit
		Expect(delivers(newBusy(slots, admit.EvenPlacement()).Step(now, e))).To(BeTrue())
		e = opening(91, 0, 8, self)
		e.Forward.Position = 1
		e.Forward.Best = 0
		e.Forward.BestLoad = roster.LoadUnit - 1
		passed := forwards(newBusy(slots, admit.EvenPlacement()).Step(now, e))
		Expect(passed).To(HaveLen(1))
		Expect(passed[0].Position).To(BeZero())
	})

	It("announces the load with an accepted flow, and only under the option", func() {
		for _, on := range []bool{false, true} {
			var options []admit.Option
			if on {
				options = append(options, admit.EvenPlacement())
			}
			h := newBusy(1, options...)
			p := newPacket(0, false)
			p.Sequence = 500
			p.Flags = flagSyn | flagAck
			var owners []frame.Owner
			for _, a := range h.Step(now, admit.PacketFromEndpoint{
				Packet: p,
			}) {
				if o, ok := a.(admit.AnnounceOwner); ok {
					owners = append(owners, o.Owner)
				}
			}
			Expect(owners).To(HaveLen(1))
			Expect(owners[0].LoadKnown).To(Equal(on))
			if on {
				Expect(owners[0].Load).To(Equal(uint16(roster.LoadUnit / slots)))
			}
		}
	})

	It("takes one SYN more than the slots without the option", func() {
		Expect(delivers(newBusy(slots).Step(now, opening(90, 0, self, 8)))).To(BeTrue())
		Expect(forwards(newBusy(slots+1).Step(now, opening(90, 0, self, 8)))).To(HaveLen(1))
	})
})

// opening returns a SYN for the first of the candidates.
func opening(flow uint32, flags uint8, candidates ...frame.Host) admit.PacketForEndpoint {
	return admit.PacketForEndpoint{
		Packet: newPacket(flow, false),
		Forward: &frame.Forward{
			Flags:      flags,
			Best:       frame.NoBest,
			Service:    spec.NewServiceID(service),
			Balancer:   90,
			Candidates: candidates,
			Packet:     []byte{0, byte(flow >> 8), byte(flow)},
		},
	}
}
