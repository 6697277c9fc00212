package owner_test

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/clementinewing/clementinewing/internal/flow/admit"
	"github.com/clementinewing/clementinewing/internal/flow/limit"
	"github.com/clementinewing/clementinewing/internal/flow/owner"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// referenceFlow is a flow in the reference model, a single map of all flows. Random
// histories run against this model and against three tables, each of which knows only
// its own flows.
type referenceFlow struct {
	stage    stage
	endpoint int
	serial   uint64
	// callerISN and endpointISN are the sequence numbers of the SYN and the SYN-ACK.
	callerISN   uint32
	endpointISN uint32
}

type stage int

const (
	absent stage = iota
	queued
	connecting
	synAcked
	established
	ended
)

const endpoints = 3

type histories struct {
	t           *rapid.T
	now         time.Time
	tables      [endpoints]*owner.Table
	controllers [endpoints]*admit.Controller
	draining    [endpoints]bool
	flows       map[link.Key]*referenceFlow
	isnCount    uint32
	// current is the packet being processed, outcome what became of it, and
	// lastEndpoint the endpoint that processed the last action.
	current      owner.PacketForEndpoint
	outcome      string
	lastEndpoint int
}

func TestRandomHistoriesMatchReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistories(t)
		t.Repeat(map[string]func(*rapid.T){
			"open":    h.open,
			"connect": h.connect,
			"ack":     h.acknowledge,
			"data":    h.data,
			"cancel":  h.cancel,
			"stray":   h.stray,
			"late":    h.late,
			"end":     h.end,
			"drain":   h.drain,
			"wait":    h.wait,
			"":        h.compare,
		})
	})
}

func newHistories(t *rapid.T) *histories {
	h := &histories{
		t:     t,
		now:   time.Unix(0, 0),
		flows: map[link.Key]*referenceFlow{},
	}
	for i := range h.tables {
		h.controllers[i] = admit.New(admit.Limits{
			Slots:       2,
			Connections: 3,
		}, admit.WithBudget(limit.NewBudget(100, 1e6)))
		h.tables[i] = owner.New(
			owner.WithIdentity(service, node.Incarnation(incarnation+i)),
			owner.WithAdmissionController(h.controllers[i]),
			owner.WithTimeouts(time.Hour, time.Hour),
			owner.WithLingerTTL(time.Hour, 1000),
		)
	}
	return h
}

// drawFlow draws a flow in the given stage, or skips the step.
func (h *histories) drawFlow(s stage) (link.Key, *referenceFlow) {
	var keys []link.Key
	for port := range uint16(12) {
		k := portKey(port)
		if f := h.flows[k]; f != nil && f.stage == s {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		h.t.Skip("no flow in that stage")
	}
	k := rapid.SampledFrom(keys).Draw(h.t, "key")
	return k, h.flows[k]
}

// newISN returns the next initial sequence number. The numbers are far apart, as those
// of real stacks.
func (h *histories) newISN() uint32 {
	h.isnCount++
	return h.isnCount * 0x9e3779b1
}

func portKey(port uint16) link.Key {
	return link.Key{
		Caller:     1,
		Target:     2,
		CallerPort: port,
		TargetPort: 80,
		Protocol:   6,
	}
}

// slotAvailable reports whether any endpoint admits an opening now.
func (h *histories) slotAvailable() bool {
	for i, g := range h.controllers {
		if !h.draining[i] && g.Flows() < 3 && g.ActiveFlows()+g.QueueLength() < g.Slots(h.now) {
			return true
		}
	}
	return false
}

// send forwards a packet through the tables, starting at a drawn one, and returns its
// outcome.
func (h *histories) send(p link.Packet) string {
	start := rapid.IntRange(0, endpoints-1).Draw(h.t, "start")
	h.deliverTo(owner.PacketForEndpoint{
		Packet:     p,
		Service:    service,
		Position:   start,
		Candidates: endpoints,
		Balancer:   netip.MustParseAddrPort("10.0.0.1:1"),
	})
	return h.outcome
}

func (h *histories) deliverTo(e owner.PacketForEndpoint) {
	e.Incarnation = node.Incarnation(incarnation + e.Position)
	h.current = e
	h.outcome = ""
	h.step(e.Position, e)
}

func (h *histories) step(i int, e owner.Event) {
	for _, a := range h.tables[i].Step(h.now, e, nil) {
		h.perform(i, a)
	}
}

func (h *histories) perform(i int, a owner.Action) {
	h.lastEndpoint = i
	switch a := a.(type) {
	case owner.Connect:
		h.outcome = "taken"
		h.setFlow(a.Key, i, a.Serial, connecting)
	case owner.Queue:
		h.outcome = "kept"
		h.setFlow(a.Key, i, a.Serial, queued)
	case owner.Deliver:
		h.outcome = "delivered"
	case owner.ForwardToCandidate:
		next := h.current
		if a.Serial != 0 {
			next.Packet = opening(a.Key, h.flows[a.Key].callerISN)
		}
		next.Position = a.Position
		next.Denied = a.Denied
		next.Round = a.Round
		h.deliverTo(next)
	case owner.Reject:
		h.outcome = "refused"
		h.flows[a.Key].stage = absent
	case owner.Reset:
		h.outcome = "reset"
	case owner.Drop:
		h.outcome = "dropped"
		if h.current.Packet.Kind == link.Opening && a.Reason == owner.Draining {
			h.flows[h.current.Packet.Key].stage = absent
		}
	case owner.Abort:
		if a.Reason != owner.Cancelled || !a.Silent {
			h.t.Fatalf("flow %v aborted with reason %v", a.Key, a.Reason)
		}
		h.flows[a.Key].stage = absent
	}
}

func (h *histories) setFlow(k link.Key, i int, serial uint64, s stage) {
	f := h.flows[k]
	f.endpoint = i
	f.serial = serial
	f.stage = s
}

func opening(k link.Key, isn uint32) link.Packet {
	return link.Packet{
		Key:      k,
		Kind:     link.Opening,
		Flags:    syn,
		Sequence: isn,
	}
}

func (h *histories) open(t *rapid.T) {
	k := portKey(rapid.Uint16Range(0, 11).Draw(t, "port"))
	if f := h.flows[k]; f != nil && f.stage != absent && f.stage != ended {
		t.Skip("key in use")
	}
	h.flows[k] = &referenceFlow{
		callerISN: h.newISN(),
	}
	available := h.slotAvailable()
	outcome := h.send(opening(k, h.flows[k].callerISN))
	dropped := outcome == "dropped" && h.draining != [endpoints]bool{}
	if available != (outcome == "taken") || !available && outcome != "kept" && outcome != "refused" && !dropped {
		t.Fatalf("slot available: %v, but the opening was %s", available, outcome)
	}
}

func (h *histories) connect(t *rapid.T) {
	k, f := h.drawFlow(connecting)
	if rapid.IntRange(0, 3).Draw(t, "fails") == 0 {
		h.current = owner.PacketForEndpoint{
			Service:    service,
			Candidates: endpoints,
		}
		h.step(f.endpoint, owner.UpstreamFailed{
			Key:    k,
			Serial: f.serial,
		})
		return
	}
	h.step(f.endpoint, owner.UpstreamConnected{
		Key:    k,
		Serial: f.serial,
	})
	f.stage = synAcked
	f.endpointISN = h.newISN()
	h.step(f.endpoint, owner.PacketFromEndpoint{
		Packet: link.Packet{
			Key:            k,
			Kind:           link.Continuing,
			Flags:          syn | ack,
			Sequence:       f.endpointISN,
			Acknowledgment: f.callerISN + 1,
		},
	})
}

// callerPacket returns a packet of the caller after it received the SYN-ACK.
func (f *referenceFlow) callerPacket(k link.Key, payload int) link.Packet {
	return link.Packet{
		Key:            k,
		Kind:           link.Continuing,
		Flags:          ack,
		Sequence:       f.callerISN + 1,
		Acknowledgment: f.endpointISN + 1,
		Payload:        payload,
	}
}

func (h *histories) acknowledge(t *rapid.T) {
	k, f := h.drawFlow(synAcked)
	h.expectDelivered(t, f.callerPacket(k, 0), f)
	f.stage = established
}

// cancel resets a flow before its SYN-ACK is sent.
func (h *histories) cancel(t *rapid.T) {
	k, f := h.drawFlow(rapid.SampledFrom([]stage{queued, connecting}).Draw(t, "stage"))
	p := link.Packet{
		Key:      k,
		Kind:     link.Closing,
		Flags:    rst,
		Sequence: f.callerISN + 1,
	}
	if h.send(p); f.stage != absent {
		t.Fatalf("a cancelled flow is still in the table")
	}
}

func (h *histories) data(t *rapid.T) {
	k, f := h.drawFlow(established)
	h.expectDelivered(t, f.callerPacket(k, rapid.IntRange(0, 100).Draw(t, "bytes")), f)
}

func (h *histories) expectDelivered(t *rapid.T, p link.Packet, f *referenceFlow) {
	if outcome := h.send(p); outcome != "delivered" || h.lastEndpoint != f.endpoint {
		t.Fatalf("a packet of a flow at endpoint %d was %s at %d", f.endpoint, outcome, h.lastEndpoint)
	}
}

// stray sends a packet that acknowledges nothing that was ever sent for the key.
func (h *histories) stray(t *rapid.T) {
	k := portKey(rapid.Uint16Range(0, 11).Draw(t, "port"))
	p := link.Packet{
		Key:            k,
		Kind:           link.Continuing,
		Flags:          ack,
		Sequence:       rapid.Uint32().Draw(t, "sequence"),
		Acknowledgment: rapid.Uint32().Draw(t, "acknowledgment"),
	}
	f := h.flows[k]
	if f != nil && p.Acknowledgment-f.endpointISN < 1<<24 {
		t.Skip("may match the flow")
	}
	if f != nil && rapid.Bool().Draw(t, "near") {
		p.Sequence = f.callerISN + 1
	}
	if outcome := h.send(p); outcome != "dropped" {
		t.Fatalf("a stray packet was %s", outcome)
	}
}

func (h *histories) late(t *rapid.T) {
	k, f := h.drawFlow(ended)
	p := f.callerPacket(k, 10)
	if rapid.Bool().Draw(t, "opening") {
		p = opening(k, f.callerISN)
		p.Kind = link.Continuing
	}
	if outcome := h.send(p); outcome != "dropped" {
		t.Fatalf("a late packet was %s", outcome)
	}
}

func (h *histories) end(*rapid.T) {
	k, f := h.drawFlow(established)
	f.stage = ended
	h.step(f.endpoint, owner.FlowEnded{
		Key:    k,
		Serial: f.serial,
	})
}

func (h *histories) drain(t *rapid.T) {
	i := rapid.IntRange(0, endpoints-1).Draw(t, "endpoint")
	h.draining[i] = true
	h.current = owner.PacketForEndpoint{
		Service:    service,
		Candidates: endpoints,
	}
	h.step(i, owner.Drain{
		Deadline: h.now.Add(time.Hour),
	})
}

func (h *histories) wait(t *rapid.T) {
	ms := rapid.IntRange(1, 500).Draw(t, "ms")
	h.now = h.now.Add(time.Duration(ms) * time.Millisecond)
	for i := range h.tables {
		h.step(i, owner.Tick{})
	}
}

// compare compares the number of flows in every stage with the reference model.
func (h *histories) compare(t *rapid.T) {
	var expected, actual [endpoints][ended]int
	for _, f := range h.flows {
		if f.stage != absent && f.stage != ended {
			expected[f.endpoint][f.stage]++
		}
	}
	for i, table := range h.tables {
		c := table.Counts()
		actual[i][queued] = c.Queued
		actual[i][connecting] = c.Connecting
		actual[i][synAcked] = c.HalfOpen
		actual[i][established] = c.Open
		if h.controllers[i].Flows() != c.Connecting+c.HalfOpen+c.Open {
			t.Fatalf("endpoint %d counts %+v, its controller %d flows", i, c, h.controllers[i].Flows())
		}
	}
	if expected != actual {
		t.Fatalf("reference has %v, tables have %v", expected, actual)
	}
}
