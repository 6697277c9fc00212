package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"time"

	"github.com/clementinewing/clementinewing/internal/bench/report"
	"github.com/clementinewing/clementinewing/internal/fleet/lease"
	"github.com/clementinewing/clementinewing/internal/fleet/member"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

const (
	megabyte = 1 << 20
	// targetSeconds is the simulated time, at the target's rate of events.
	targetSeconds = 20
)

// measureTargetNode loads one balancer's state machine with the records of the target
// size and measures its heap and its processor time for ticks, renewals and changes.
// The cost of the calls themselves is measured by measureLoopback.
func measureTargetNode() []report.Row {
	before := heapBytes()
	random := rand.New(rand.NewPCG(1, 1))
	n, others := loadTarget(random)
	used := float64(heapBytes()-before) / megabyte
	busy := driveTarget(n, random, others)
	runtime.KeepAlive(n)
	return []report.Row{
		report.Summarize("heap_18000_balancers_160000_endpoints", "MB", report.AtMost, targetHeapBound, []float64{used}),
		report.Summarize("machine_core_share_at_target", "%", report.AtMost, targetCoreBound, []float64{100 * busy}),
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func targetRecord(random *rand.Rand, service string, i int) lease.Record {
	r := lease.Record{
		Endpoint: node.Endpoint{
			Service:     lease.BalancerService,
			Agent:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000),
			Incarnation: node.Incarnation(random.Uint64()),
			Place:       placeOfMachine(i),
			Weight:      1,
			State:       node.Serving,
			Sequence:    1,
		},
		Health: lease.Live,
	}
	if service != "" {
		r.Endpoint.Service = spec.NewServiceID(service)
		r.Endpoint.Upstream = fmt.Sprintf("upstream-%d", i)
	}
	return r
}

func loadTarget(random *rand.Rand) (*member.Node, []lease.Record) {
	now := time.Unix(0, 0)
	self := targetRecord(random, "", 0)
	n := member.New(self.Endpoint, random)
	var own []lease.Record
	for i := range targetEndpoints {
		r := targetRecord(random, fmt.Sprintf("service-%d", i/5), targetBalancers+i)
		n.Table().Merge(now, r)
		if i < targetEndpoints/targetBalancers*lease.HomeCount {
			own = append(own, r)
		}
	}
	for i := range targetBalancers - 1 {
		n.Table().Merge(now, targetRecord(random, "", i+1))
	}
	n.Step(now, member.EndpointUpdated{
		Endpoint: self.Endpoint,
	})
	return n, own
}

// driveTarget returns the share of a core that the state machine needs.
func driveTarget(n *member.Node, random *rand.Rand, own []lease.Record) float64 {
	now := time.Unix(1, 0)
	next := 0
	perTick := func(perDay float64) bool {
		return random.Float64() < perDay/day.Seconds()*member.TickInterval.Seconds()
	}
	step := func(e member.Event) {
		for _, a := range n.Step(now, e) {
			if c, ok := a.(member.Call); ok {
				n.Step(now, member.ReplyReceived{
					ID:       c.ID,
					Renew:    &lease.RenewReply{},
					Exchange: &member.ExchangeReply{},
				})
			}
		}
	}
	start := time.Now()
	for range targetSeconds * int(time.Second/member.TickInterval) {
		now = now.Add(member.TickInterval)
		step(member.Tick{})
		for range 2 {
			next++
			step(member.RenewReceived{
				Renew: lease.Renew{
					Records: []lease.Record{own[next%len(own)]},
				},
			})
		}
		if perTick(3 * (replacedPerDay + failedPerDay)) {
			step(newRecordPush(random, next))
		}
		if perTick(revisionsPerDay) {
			step(member.HeadAdopted{
				Head: member.Head{
					Revision: uint64(next),
				},
			})
		}
	}
	return time.Since(start).Seconds() / targetSeconds
}

// newRecordPush returns an exchange with one new record; every ninth is a balancer's.
func newRecordPush(random *rand.Rand, i int) member.Event {
	service := "service-1"
	if i%9 == 0 {
		service = ""
	}
	e := member.ExchangeReceived{
		Exchange: member.Exchange{
			From: netip.MustParseAddrPort("10.9.9.9:7000"),
		},
	}
	e.Exchange.Message.Records = []lease.Record{targetRecord(random, service, 1<<20+i)}
	return e
}
