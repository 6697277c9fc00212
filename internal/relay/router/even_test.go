package router_test

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/place"
	"github.com/clementinewing/clementinewing/internal/relay/plan"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
	"github.com/clementinewing/clementinewing/internal/relay/router"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

var _ = Describe("Even placement", func() {
	const agents = 4
	now := time.UnixMilli(1000).UTC()
	service := spec.NewServiceID("rota")
	var members *roster.Roster
	var g *router.Router

	report := func(h frame.Host, sequence uint32, inUse uint16) {
		members.ApplyReport(now, frame.LoadReport{
			Host:     h,
			Process:  1,
			Service:  service,
			Zone:     1,
			State:    node.Serving,
			Proven:   true,
			Sequence: sequence,
			Slots:    2,
			InUse:    inUse,
			Average:  roster.LoadUnit,
		})
	}
	syn := func(port uint16) router.Packet {
		return router.Packet{
			Packet: link.Packet{
				Key: link.Key{
					Caller:     7,
					CallerPort: port,
					Target:     8,
					TargetPort: 443,
				},
				Kind:     link.Opening,
				Sequence: 1000,
				Flags:    flagSyn,
			},
		}
	}
	// place places a flow and returns its candidates.
	placed := func(port uint16) []frame.Host {
		for _, a := range g.Step(now, syn(port)) {
			if s, ok := a.(router.Send); ok {
				return s.Forward.Candidates
			}
		}
		return nil
	}
	announce := func(port uint16, h frame.Host, load uint16) {
		g.Step(now, router.Hint{
			Owner: frame.Owner{
				Key:       syn(port).Key,
				Host:      h,
				Known:     true,
				Load:      load,
				LoadKnown: true,
			},
		})
	}

	BeforeEach(func() {
		members = roster.New(self)
		active := &plan.Active{}
		active.Adopt(&plan.Plan{
			Version: 1,
			Routes: map[plan.Target]*plan.Route{
				{
					Address: 8,
					Port:    443,
				}: {
					Address: netip.AddrFrom4([4]byte{0, 0, 0, 8}),
					Port:    443,
					Backends: []plan.Backend{
						{
							Name:    "rota",
							Service: service,
							Weight:  1,
						},
					},
				},
			},
		})
		g = router.New(self, 1, now, members, active, router.WithFeatures(place.Features{
			Even: true,
		}))
		for i := range agents {
			report(frame.Host(i+1), 1, 1)
		}
	})

	// Otherwise the next SYN is sent to endpoints that have just shown that they are full.
	It("learns the load of the owner and that the candidates before it were full", func() {
		list := placed(1)
		Expect(list).To(HaveLen(agents))
		announce(1, list[2], roster.LoadUnit/2)
		estimate := func(i int) float64 { return members.Agent(list[i]).Load.Estimate(now) }
		Expect(estimate(0)).To(Equal(2.0))
		Expect(estimate(1)).To(Equal(2.0))
		Expect(estimate(2)).To(Equal(1.0))
		Expect(estimate(3)).To(Equal(1.0))
		Expect(g.EvenCounts()).To(Equal(router.EvenCounts{
			Announced: 1,
		}))
	})

	It("learns that all candidates were full from an owner beyond its slots", func() {
		list := placed(1)
		announce(1, list[0], 3*roster.LoadUnit/2)
		for _, h := range list[1:] {
			Expect(members.Agent(h).Load.Estimate(now)).To(Equal(2.0))
		}
		Expect(members.Agent(list[0]).Load.Estimate(now)).To(Equal(3.0))
	})

	It("counts SYNs taken beyond the slots, and those while a newer report shows a free slot", func() {
		announce(1, placed(1)[0], 3*roster.LoadUnit/2)
		Expect(g.EvenCounts()).To(Equal(router.EvenCounts{
			Announced:   1,
			BeyondSlots: 1,
			WhileFree:   1,
		}))
		now = now.Add(time.Millisecond)
		announce(2, placed(2)[0], 3*roster.LoadUnit/2)
		Expect(g.EvenCounts()).To(Equal(router.EvenCounts{
			Announced:   2,
			BeyondSlots: 2,
			WhileFree:   1,
		}))
	})
})
