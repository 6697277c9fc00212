package guide_test

import (
	"fmt"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/guide"
	"github.com/clementinewing/clementinewing/internal/relay/plan"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/pact"
)

// The load of a route that moves: many callers whose flows nobody holds any more, and
// 100 endpoints of four services that may hold them.
var _ = Describe("a search among 100 endpoints of four services", func() {
	It("asks each of them once a round, the home first, and resets after two", func() {
		const endpoints, services = 100, 4
		start := time.UnixMilli(0).UTC()
		members := roster.New(self)
		held := &plan.Held{}
		held.Adopt(&plan.Plan{
			Version:  1,
			Revision: 1,
			Routes: map[plan.Target]*plan.Route{
				{
					Address: 8,
					Port:    443,
				}: {
					Address: netip.AddrFrom4([4]byte{0, 0, 0, 8}),
					Port:    443,
					Parts: []plan.Part{
						{
							Name:    "0",
							Service: pact.Identify("0"),
							Weight:  1,
						},
					},
				},
			},
		})
		g := guide.New(self, 1, start, members, held)
		now := start.Add(2 * time.Second)
		for i := range endpoints {
			members.Hear(now.Add(-time.Second), frame.Load{
				Host:     frame.Host(i + 1),
				Service:  pact.Identify(fmt.Sprint(i % services)),
				State:    node.Serving,
				Sequence: 1,
				Every:    750,
				Slots:    2,
			})
		}
		p := link.Packet{
			Key: link.Key{
				Caller:     7,
				CallerPort: 1,
				Target:     8,
				TargetPort: 443,
				Protocol:   6,
			},
			Kind:           link.Continuing,
			Sequence:       1000,
			Acknowledgment: 501,
			Payload:        10,
			Flags:          flagAck,
		}
		asked := map[frame.Host]int{}
		rounds, resets := 0, 0
		events := []guide.Event{
			guide.Packet{
				Packet: p,
				Raw:    []byte("packet"),
			},
		}
		for step := 0; step < 1000 && resets == 0; step++ {
			var next []guide.Event
			for _, e := range events {
				for _, a := range append([]guide.Action(nil), g.Step(now, e)...) {
					switch a := a.(type) {
					case guide.Send:
						rounds++
						Expect(a.Carry.List).To(HaveLen(1))
						next = append(next, guide.Return{
							Packet: p,
							Stray: frame.Stray{
								Host:   a.To,
								Walked: true,
								Leg:    a.Carry.Leg,
								Packet: []byte("packet"),
							},
						})
					case guide.Ask:
						Expect(a.Settled).To(BeTrue())
						for _, h := range a.To {
							asked[h]++
							next = append(next, guide.Denied{
								Denial: frame.Denial{
									Number: a.Ask.Number,
									Host:   h,
									Key:    a.Ask.Key,
									Sure:   true,
								},
							})
						}
					case guide.Reset:
						resets++
					}
				}
			}
			now = now.Add(time.Millisecond)
			events = append(next, guide.Tick{})
		}
		Expect(resets).To(Equal(1))
		Expect(rounds).To(Equal(2))
		Expect(asked).To(HaveLen(endpoints))
		for _, n := range asked {
			Expect(n).To(Equal(rounds))
		}
	})
})
