package router_test

import (
	"fmt"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/plan"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
	"github.com/clementinewing/clementinewing/internal/relay/router"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// Guards against excess owner queries after a route has moved: many callers then have
// flows that no endpoint holds, and 100 endpoints of four services may hold them.
var _ = Describe("an owner lookup among 100 endpoints of four services", func() {
	It("queries each endpoint once, the home first, and resets once the member record has been read", func() {
		const endpoints, services = 100, 4
		start := time.UnixMilli(0).UTC()
		members := roster.New(self)
		active := &plan.Active{}
		active.Adopt(&plan.Plan{
			Version:  1,
			Revision: 1,
			Routes: map[plan.Target]*plan.Route{
				{
					Address: 8,
					Port:    443,
				}: {
					Address: netip.AddrFrom4([4]byte{0, 0, 0, 8}),
					Port:    443,
					Backends: []plan.Backend{
						{
							Name:    "0",
							Service: spec.NewServiceID("0"),
							Weight:  1,
						},
					},
				},
			},
		})
		g := router.New(self, 1, start, members, active)
		now := start.Add(2 * time.Second)
		var hosts []frame.Host
		for i := range endpoints {
			hosts = append(hosts, frame.Host(i+1))
			members.ApplyReport(now.Add(-time.Second), frame.LoadReport{
				Host:       frame.Host(i + 1),
				Service:    spec.NewServiceID(fmt.Sprint(i % services)),
				State:      node.Serving,
				Sequence:   1,
				IntervalMS: 750,
				Slots:      2,
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
		queries := map[frame.Host]int{}
		rounds, resets := 0, 0
		events := []router.Event{
			router.Packet{
				Packet: p,
				Raw:    []byte("packet"),
			},
		}
		for step := 0; step < 1000 && resets == 0; step++ {
			var next []router.Event
			for _, e := range events {
				for _, a := range append([]router.Action(nil), g.Step(now, e)...) {
					switch a := a.(type) {
					case router.Send:
						rounds++
						Expect(a.Forward.Candidates).To(HaveLen(1))
						next = append(next, router.Returned{
							Packet: p,
							Return: frame.Return{
								Host:          a.To,
								ListExhausted: true,
								LookupStage:   a.Forward.LookupStage,
								Packet:        []byte("packet"),
							},
						})
					case router.OwnerQuery:
						Expect(a.ListComplete).To(BeTrue())
						for _, h := range a.To {
							queries[h]++
							next = append(next, router.Denied{
								Denial: frame.Denial{
									QueryID:    a.Query.QueryID,
									Host:       h,
									Key:        a.Query.Key,
									Conclusive: true,
								},
							})
						}
					case router.ReadRecord:
						members.ApplyRecord(now, roster.RecordContent{
							Agents:   hosts,
							CalledAt: now.Add(time.Microsecond),
							Complete: true,
						})
					case router.Reset:
						resets++
					}
				}
			}
			now = now.Add(time.Millisecond)
			events = append(next, router.Tick{})
		}
		Expect(resets).To(Equal(1))
		Expect(rounds).To(Equal(1))
		Expect(queries).To(HaveLen(endpoints))
		for _, n := range queries {
			Expect(n).To(Equal(rounds))
		}
	})
})
