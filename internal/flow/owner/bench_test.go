package owner_test

import (
	"testing"
	"time"

	"github.com/clementinewing/clementinewing/internal/flow/admit"
	"github.com/clementinewing/clementinewing/internal/flow/owner"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

const benchFlows = 2000

// held is a table with open flows and a packet of each.
func held(b testing.TB) (*owner.Table, []owner.Arrived) {
	b.Helper()
	t := owner.New(
		owner.WithIdentity(service, life),
		owner.WithGate(admit.New(admit.Limits{
			Slots:       benchFlows,
			Connections: benchFlows,
		})),
	)
	packets := make([]owner.Arrived, benchFlows)
	for i := range packets {
		e := arrivedOf("syn", parse([]string{"seq=100"}))
		e.Packet.Key.Caller = uint32(i)
		t.Step(time.Unix(0, 0), e, nil)
		t.Step(time.Unix(0, 0), owner.Connected{
			Key: e.Packet.Key,
		}, nil)
		t.Step(time.Unix(0, 0), owner.Answered{
			Packet: link.Packet{
				Key:            e.Packet.Key,
				Kind:           link.Continuing,
				Flags:          syn | ack,
				Sequence:       500,
				Acknowledgment: 101,
			},
		}, nil)
		e = arrivedOf("ack", parse([]string{"seq=101", "ack=501", "len=100"}))
		e.Packet.Key.Caller = uint32(i)
		packets[i] = e
	}
	return t, packets
}

func BenchmarkDeliver(b *testing.B) {
	t, packets := held(b)
	out := make([]owner.Action, 0, 4)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		out = t.Step(time.Unix(0, 0), &packets[n%benchFlows], out[:0])
	}
	if _, ok := out[0].(owner.Deliver); !ok {
		b.Fatalf("%T", out[0])
	}
}

func BenchmarkPass(b *testing.B) {
	t, packets := held(b)
	for i := range packets {
		packets[i].Packet.Key.Target = 1
	}
	out := make([]owner.Action, 0, 4)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		out = t.Step(time.Unix(0, 0), &packets[n%benchFlows], out[:0])
	}
	if _, ok := out[0].(owner.Pass); !ok {
		b.Fatalf("%T", out[0])
	}
}

func BenchmarkTick(b *testing.B) {
	t, _ := held(b)
	out := make([]owner.Action, 0, 4)
	b.ReportAllocs()
	for b.Loop() {
		out = t.Step(time.Unix(0, 0), owner.Tick{}, out[:0])
	}
}

// A packet of a flow held here costs no allocation.
func TestDeliverAllocatesNothing(t *testing.T) {
	table, packets := held(t)
	out := make([]owner.Action, 0, 4)
	n := 0
	allocations := testing.AllocsPerRun(benchFlows, func() {
		out = table.Step(time.Unix(0, 0), &packets[n%benchFlows], out[:0])
		n++
	})
	if allocations != 0 {
		t.Fatalf("%v allocations a packet", allocations)
	}
}
