package churn

import (
	"net/netip"
	"runtime"
	"time"

	"github.com/clementinewing/clementinewing/internal/bench/report"
	"github.com/clementinewing/clementinewing/internal/flow/admit"
	"github.com/clementinewing/clementinewing/internal/flow/owner"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

const (
	runDuration = 10 * time.Second
	// tableFlows is the number of flows in the table whose cost is measured.
	tableFlows = 100_000
)

// Hops measures the forwards per packet after its first delivery, in steady state
// and under change, and the memory and time that a flow costs its owner.
func Hops(seeds int) (report.Result, error) {
	r := report.Result{
		Experiment: "hops",
		Seeds:      seeds,
	}
	for _, d := range deployments {
		var steady, changing, probes []float64
		for seed := range uint64(seeds) {
			s := d.runForwards(seed+1, false)
			steady = append(steady, s.forwardsPerPacket())
			probes = append(probes, float64(s.Record.ProbesSent)/runDuration.Seconds()/float64(len(s.Agents)+len(s.Balancers)))
			changing = append(changing, d.runForwards(seed+1, true).forwardsPerPacket())
		}
		r.Rows = append(r.Rows,
			report.Summarize(d.name+"_steady", "hand_overs/packet", report.Info, 0, steady),
			report.Summarize(d.name+"_under_change", "hand_overs/packet", report.Info, 0, changing),
			report.Summarize(d.name+"_probes", "1/s/process", report.Info, 0, probes),
		)
	}
	var memory, deliver []float64
	for range seeds {
		bytes, each := flowCost()
		memory = append(memory, bytes)
		deliver = append(deliver, each)
	}
	r.Rows = append(r.Rows,
		report.Summarize("flow_memory", "bytes", report.Info, 0, memory),
		report.Summarize("deliver_time", "ns/packet", report.Info, 0, deliver),
	)
	return r, nil
}

func (d deployment) runForwards(seed uint64, changing bool) *traffic {
	t := d.start(seed)
	t.startLoad(d, int(runDuration/requestInterval))
	if changing {
		t.After(time.Second, t.changePlanned)
	}
	t.Run(runDuration)
	return t
}

func (t *traffic) forwardsPerPacket() float64 {
	return float64(t.Record.ForwardedPackets) / float64(t.Record.FabricPackets)
}

// flowCost fills a table with open flows. It returns the bytes per flow and the
// nanoseconds per packet.
func flowCost() (bytes, each float64) {
	before := heapBytes()
	table := owner.New(owner.WithAdmissionController(admit.New(admit.Limits{
		Slots:       tableFlows,
		Connections: tableFlows,
	})))
	now := time.Unix(0, 0)
	var out []owner.Action
	for i := range uint32(tableFlows) {
		out = openFlow(table, now, i, out)
	}
	bytes = float64(heapBytes()-before) / tableFlows
	e := packetEvent(0, link.Continuing, 0x10)
	start := time.Now()
	for i := range uint32(tableFlows) {
		n := i * 7919 % tableFlows
		e.Packet.Key.Caller = n
		e.Packet.Key.CallerPort = uint16(n)
		out = table.Step(now, &e, out[:0])
	}
	each = float64(time.Since(start).Nanoseconds()) / tableFlows
	runtime.KeepAlive(table)
	return bytes, each
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func openFlow(t *owner.Table, now time.Time, i uint32, out []owner.Action) []owner.Action {
	out = t.Step(now, packetEvent(i, link.Opening, 0x02), out[:0])
	key := packetEvent(i, link.Opening, 0).Packet.Key
	out = t.Step(now, owner.UpstreamConnected{
		Key: key,
	}, out[:0])
	out = t.Step(now, owner.PacketFromEndpoint{
		Packet: link.Packet{
			Key:            key,
			Kind:           link.Continuing,
			Flags:          0x12,
			Sequence:       7,
			Acknowledgment: 1,
		},
	}, out[:0])
	return t.Step(now, packetEvent(i, link.Continuing, 0x10), out[:0])
}

func packetEvent(i uint32, kind link.Kind, flags uint8) owner.PacketForEndpoint {
	e := owner.PacketForEndpoint{
		Packet: link.Packet{
			Key: link.Key{
				Caller:     i,
				Target:     1,
				CallerPort: uint16(i),
				TargetPort: 80,
				Protocol:   6,
			},
			Kind:  kind,
			Flags: flags,
		},
		Candidates: 3,
		Balancer:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), 1),
	}
	if kind == link.Continuing {
		e.Packet.Sequence = 1
		e.Packet.Acknowledgment = 8
	}
	return e
}
