package owner_test

import (
	"testing"
	"time"

	"github.com/clementinewing/clementinewing/internal/flow/admit"
	"github.com/clementinewing/clementinewing/internal/flow/owner"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

const benchFlows = 2000

// newTableWithFlows returns a table with open flows and one packet of each.
func newTableWithFlows(b testing.TB) (*owner.Table, []owner.PacketForEndpoint) {
	b.Helper()
	t := owner.New(
		owner.WithIdentity(service, incarnation),
		owner.WithAdmissionController(admit.New(admit.Limits{
			Slots:       benchFlows,
			Connections: benchFlows,
		})),
	)
	packets := make([]owner.PacketForEndpoint, benchFlows)
	for i := range packets {
		e := newPacketForEndpoint("syn", parseArgs([]string{"seq=100"}))
		e.Packet.Key.Caller = uint32(i)
		t.Step(time.Unix(0, 0), e, nil)
		t.Step(time.Unix(0, 0), owner.UpstreamConnected{
			Key: e.Packet.Key,
		}, nil)
		t.Step(time.Unix(0, 0), owner.PacketFromEndpoint{
			Packet: link.Packet{
				Key:            e.Packet.Key,
				Kind:           link.Continuing,
				Flags:          syn | ack,
				Sequence:       500,
				Acknowledgment: 101,
			},
		}, nil)
		e = newPacketForEndpoint("ack", parseArgs([]string{"seq=101", "ack=501", "len=100"}))
		e.Packet.Key.Caller = uint32(i)
		packets[i] = e
	}
	return t, packets
}

func BenchmarkDeliver(b *testing.B) {
	t, packets := newTableWithFlows(b)
	out := make([]owner.Action, 0, 4)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		out = t.Step(time.Unix(0, 0), &packets[n%benchFlows], out[:0])
	}
	if _, ok := out[0].(owner.Deliver); !ok {
		b.Fatalf("%T", out[0])
	}
}

func BenchmarkForward(b *testing.B) {
	t, packets := newTableWithFlows(b)
	for i := range packets {
		packets[i].Packet.Key.Target = 1
	}
	out := make([]owner.Action, 0, 4)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		out = t.Step(time.Unix(0, 0), &packets[n%benchFlows], out[:0])
	}
	if _, ok := out[0].(owner.ForwardToCandidate); !ok {
		b.Fatalf("%T", out[0])
	}
}

func BenchmarkTick(b *testing.B) {
	t, _ := newTableWithFlows(b)
	out := make([]owner.Action, 0, 4)
	b.ReportAllocs()
	for b.Loop() {
		out = t.Step(time.Unix(0, 0), owner.Tick{}, out[:0])
	}
}

// The delivery of a packet to the stack must not allocate.
func TestDeliverAllocatesNothing(t *testing.T) {
	table, packets := newTableWithFlows(t)
	out := make([]owner.Action, 0, 4)
	n := 0
	allocations := testing.AllocsPerRun(benchFlows, func() {
		out = table.Step(time.Unix(0, 0), &packets[n%benchFlows], out[:0])
		n++
	})
	if allocations != 0 {
		t.Fatalf("%v allocations per packet", allocations)
	}
}
