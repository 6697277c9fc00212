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

// The naive version is one map of all flows that sees everything at once. Random
// histories run against it and against three tables that see only their own.
type naive struct {
	stage  stage
	at     int
	serial uint64
	// initial and answer are the numbers of the opening and of its answer.
	initial uint32
	answer  uint32
}

type stage int

const (
	absent stage = iota
	kept
	asked
	answered
	running
	over
)

const endpoints = 3

type histories struct {
	t       *rapid.T
	now     time.Time
	tables  [endpoints]*owner.Table
	gates   [endpoints]*admit.Gate
	left    [endpoints]bool
	flows   map[link.Key]*naive
	numbers uint32
	// hand is the packet at hand, fate what became of it.
	hand owner.Arrived
	fate string
	at   int
}

func TestRandomHistoriesMatchTheNaiveVersion(t *testing.T) {
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
		flows: map[link.Key]*naive{},
	}
	for i := range h.tables {
		h.gates[i] = admit.New(admit.Limits{
			Slots:       2,
			Connections: 3,
		}, admit.WithBudget(limit.NewBudget(100, 1e6)))
		h.tables[i] = owner.New(
			owner.WithIdentity(service, node.Incarnation(life+i)),
			owner.WithGate(h.gates[i]),
			owner.WithDeadlines(time.Hour, time.Hour),
			owner.WithLinger(time.Hour, 1000),
		)
	}
	return h
}

// pick draws a flow of a stage, or skips the step.
func (h *histories) pick(s stage) (link.Key, *naive) {
	var keys []link.Key
	for port := range uint16(12) {
		k := portKey(port)
		if f := h.flows[k]; f != nil && f.stage == s {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		h.t.Skip("no flow of that stage")
	}
	k := rapid.SampledFrom(keys).Draw(h.t, "key")
	return k, h.flows[k]
}

// number gives the next initial sequence number; stacks draw them so that they lie
// far apart.
func (h *histories) number() uint32 {
	h.numbers++
	return h.numbers * 0x9e3779b1
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

// room tells whether any endpoint takes an opening now.
func (h *histories) room() bool {
	for i, g := range h.gates {
		if !h.left[i] && g.Flows() < 3 && g.InHand()+g.Waiting() < g.Slots(h.now) {
			return true
		}
	}
	return false
}

// send walks a packet along the tables from a drawn one and gives its fate.
func (h *histories) send(p link.Packet) string {
	start := rapid.IntRange(0, endpoints-1).Draw(h.t, "start")
	h.walk(owner.Arrived{
		Packet:     p,
		Service:    service,
		Position:   start,
		Candidates: endpoints,
		Balancer:   netip.MustParseAddrPort("10.0.0.1:1"),
	})
	return h.fate
}

func (h *histories) walk(e owner.Arrived) {
	e.Incarnation = node.Incarnation(life + e.Position)
	h.hand = e
	h.fate = ""
	h.step(e.Position, e)
}

func (h *histories) step(i int, e owner.Event) {
	for _, a := range h.tables[i].Step(h.now, e, nil) {
		h.do(i, a)
	}
}

func (h *histories) do(i int, a owner.Action) {
	h.at = i
	switch a := a.(type) {
	case owner.Connect:
		h.fate = "taken"
		h.place(a.Key, i, a.Serial, asked)
	case owner.Keep:
		h.fate = "kept"
		h.place(a.Key, i, a.Serial, kept)
	case owner.Deliver:
		h.fate = "delivered"
	case owner.Pass:
		next := h.hand
		if a.Serial != 0 {
			next.Packet = opening(a.Key, h.flows[a.Key].initial)
		}
		next.Position = a.Position
		next.Denied = a.Denied
		next.Round = a.Round
		h.walk(next)
	case owner.Refuse:
		h.fate = "refused"
		h.flows[a.Key].stage = absent
	case owner.Reset:
		h.fate = "reset"
	case owner.Drop:
		h.fate = "dropped"
		if h.hand.Packet.Kind == link.Opening && a.Reason == owner.Draining {
			h.flows[h.hand.Packet.Key].stage = absent
		}
	case owner.Abort:
		if a.Reason != owner.Cancelled || !a.Silent {
			h.t.Fatalf("flow %v aborted without cause: %v", a.Key, a.Reason)
		}
		h.flows[a.Key].stage = absent
	}
}

func (h *histories) place(k link.Key, i int, serial uint64, s stage) {
	f := h.flows[k]
	f.at = i
	f.serial = serial
	f.stage = s
}

func opening(k link.Key, initial uint32) link.Packet {
	return link.Packet{
		Key:      k,
		Kind:     link.Opening,
		Flags:    syn,
		Sequence: initial,
	}
}

func (h *histories) open(t *rapid.T) {
	k := portKey(rapid.Uint16Range(0, 11).Draw(t, "port"))
	if f := h.flows[k]; f != nil && f.stage != absent && f.stage != over {
		t.Skip("key in use")
	}
	h.flows[k] = &naive{
		initial: h.number(),
	}
	room := h.room()
	fate := h.send(opening(k, h.flows[k].initial))
	dropped := fate == "dropped" && h.left != [endpoints]bool{}
	if room != (fate == "taken") || !room && fate != "kept" && fate != "refused" && !dropped {
		t.Fatalf("room %v, but the opening was %s", room, fate)
	}
}

func (h *histories) connect(t *rapid.T) {
	k, f := h.pick(asked)
	if rapid.IntRange(0, 3).Draw(t, "fails") == 0 {
		h.hand = owner.Arrived{
			Service:    service,
			Candidates: endpoints,
		}
		h.step(f.at, owner.Failed{
			Key:    k,
			Serial: f.serial,
		})
		return
	}
	h.step(f.at, owner.Connected{
		Key:    k,
		Serial: f.serial,
	})
	f.stage = answered
	f.answer = h.number()
	h.step(f.at, owner.Answered{
		Packet: link.Packet{
			Key:            k,
			Kind:           link.Continuing,
			Flags:          syn | ack,
			Sequence:       f.answer,
			Acknowledgment: f.initial + 1,
		},
	})
}

// after is a packet of the caller of a flow once the handshake is answered.
func (f *naive) after(k link.Key, payload int) link.Packet {
	return link.Packet{
		Key:            k,
		Kind:           link.Continuing,
		Flags:          ack,
		Sequence:       f.initial + 1,
		Acknowledgment: f.answer + 1,
		Payload:        payload,
	}
}

func (h *histories) acknowledge(t *rapid.T) {
	k, f := h.pick(answered)
	h.reaches(t, f.after(k, 0), f)
	f.stage = running
}

// cancel is a caller that gives up before it is answered.
func (h *histories) cancel(t *rapid.T) {
	k, f := h.pick(rapid.SampledFrom([]stage{kept, asked}).Draw(t, "stage"))
	p := link.Packet{
		Key:      k,
		Kind:     link.Closing,
		Flags:    rst,
		Sequence: f.initial + 1,
	}
	if h.send(p); f.stage != absent {
		t.Fatalf("a flow that was given up is still held")
	}
}

func (h *histories) data(t *rapid.T) {
	k, f := h.pick(running)
	h.reaches(t, f.after(k, rapid.IntRange(0, 100).Draw(t, "bytes")), f)
}

func (h *histories) reaches(t *rapid.T, p link.Packet, f *naive) {
	if fate := h.send(p); fate != "delivered" || h.at != f.at {
		t.Fatalf("a packet for endpoint %d was %s at %d", f.at, fate, h.at)
	}
}

// stray sends what acknowledges nothing that was ever sent under the key.
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
	if f != nil && p.Acknowledgment-f.answer < 1<<24 {
		t.Skip("may belong to the flow")
	}
	if f != nil && rapid.Bool().Draw(t, "near") {
		p.Sequence = f.initial + 1
	}
	if fate := h.send(p); fate != "dropped" {
		t.Fatalf("a stray packet was %s", fate)
	}
}

func (h *histories) late(t *rapid.T) {
	k, f := h.pick(over)
	p := f.after(k, 10)
	if rapid.Bool().Draw(t, "opening") {
		p = opening(k, f.initial)
		p.Kind = link.Continuing
	}
	if fate := h.send(p); fate != "dropped" {
		t.Fatalf("a late packet was %s", fate)
	}
}

func (h *histories) end(*rapid.T) {
	k, f := h.pick(running)
	f.stage = over
	h.step(f.at, owner.Ended{
		Key:    k,
		Serial: f.serial,
	})
}

func (h *histories) drain(t *rapid.T) {
	i := rapid.IntRange(0, endpoints-1).Draw(t, "endpoint")
	h.left[i] = true
	h.hand = owner.Arrived{
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

// compare counts the flows of every stage on both sides.
func (h *histories) compare(t *rapid.T) {
	var expected, found [endpoints][over]int
	for _, f := range h.flows {
		if f.stage != absent && f.stage != over {
			expected[f.at][f.stage]++
		}
	}
	for i, table := range h.tables {
		c := table.Counts()
		found[i][kept] = c.Waiting
		found[i][asked] = c.Connecting
		found[i][answered] = c.Half
		found[i][running] = c.Open
		if h.gates[i].Flows() != c.Connecting+c.Half+c.Open {
			t.Fatalf("endpoint %d holds %+v, its gate %d", i, c, h.gates[i].Flows())
		}
	}
	if expected != found {
		t.Fatalf("naive %v, tables %v", expected, found)
	}
}
