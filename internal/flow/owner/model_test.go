package owner

import (
	"fmt"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/clementinewing/clementinewing/internal/flow/admit"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// An explicit-state search over the shipped Step: every order in which packets may
// arrive, be lost or repeated, connections succeed or fail, deadlines lapse and
// suspicions be wrong, up to a depth. The properties are checked in each state.

const (
	modelEndpoints = 3
	modelService   = 7
	requestBytes   = 10
)

// countGate is a gate with a plain count, so that it can be copied.
type countGate struct {
	room int
	held int
}

func (g *countGate) Ask(_ time.Time, a admit.Ask) admit.Answer {
	if g.held < g.room {
		return admit.Answer{
			Take:   true,
			Next:   admit.Taken,
			Reason: admit.Accepted,
		}
	}
	if a.Last {
		return admit.Answer{
			Next:   admit.Refuse,
			Reason: admit.SlotsFull,
		}
	}
	return admit.Answer{
		Next:   admit.HandOn,
		Reason: admit.SlotsFull,
	}
}

func (g *countGate) Take(time.Time)                            { g.held++ }
func (g *countGate) Wait(admit.Waiter)                         {}
func (g *countGate) Ready(time.Time) (w admit.Waiter, ok bool) { return w, false }
func (g *countGate) Forget(link.Key) bool                      { return false }
func (g *countGate) Busy(time.Time)                            {}
func (g *countGate) Idle(time.Time)                            {}
func (g *countGate) Answered(_, _ time.Time)                   {}
func (g *countGate) Release(time.Time, admit.Outcome)          { g.held-- }
func (g *countGate) Drain(_, _ time.Time)                      {}

// clone copies a table and its gate.
func (t *Table) clone() *Table {
	c := *t
	g := *t.gate.(*countGate)
	c.gate = &g
	c.flows = make(map[link.Key]*flow, len(t.flows))
	c.live = slices.Clone(t.live)
	c.ended = slices.Clone(t.ended)
	c.unowned.seen = maps.Clone(t.unowned.seen)
	for k, f := range t.flows {
		copied := *f
		c.flows[k] = &copied
		if f.state != lingering {
			c.live[f.index] = &copied
		}
		for i := range c.ended {
			if c.ended[i] == f {
				c.ended[i] = &copied
			}
		}
	}
	return &c
}

// message is one packet under way, to an endpoint or to a caller.
type message struct {
	toCaller bool
	caller   int
	from     int
	order    [modelEndpoints]int
	position int
	denied   uint16
	round    uint8
	packet   link.Packet
}

type callerStage int

const (
	opened callerStage = iota
	settled
	refused
	broken
)

type modelCaller struct {
	stage    callerStage
	peer     int
	expected uint32
	repeats  int
	runs     int
}

// server is a flow that an endpoint's stack holds.
type server struct {
	serial uint64
	served bool
}

type model struct {
	now     time.Time
	tables  [modelEndpoints]*Table
	callers []modelCaller
	servers map[[2]int]server
	asked   map[[2]int]uint64
	kept    map[[2]int]message
	flight  []message
	losses  int
	doubles int
	lapses  int
	plant   string
	fault   string
}

func newModel(callers int, plant string) *model {
	m := &model{
		now:     time.Unix(0, 0),
		servers: map[[2]int]server{},
		asked:   map[[2]int]uint64{},
		kept:    map[[2]int]message{},
		losses:  1,
		doubles: 1,
		lapses:  1,
		plant:   plant,
	}
	for i := range m.tables {
		m.tables[i] = New(
			WithIdentity(modelService, node.Incarnation(i+1)),
			WithGrace(0),
			WithGate(&countGate{
				room: modelEndpoints - 1 - i,
			}),
		)
	}
	m.callers = make([]modelCaller, callers)
	for c := range m.callers {
		m.callers[c].repeats = 1
		m.callers[c].peer = -1
	}
	return m
}

func (m *model) clone() *model {
	c := *m
	for i := range c.tables {
		c.tables[i] = m.tables[i].clone()
	}
	c.callers = slices.Clone(m.callers)
	c.servers = maps.Clone(m.servers)
	c.asked = maps.Clone(m.asked)
	c.kept = maps.Clone(m.kept)
	c.flight = slices.Clone(m.flight)
	return &c
}

func modelKey(caller int) link.Key {
	return link.Key{
		Caller:     uint32(caller + 1),
		Target:     9,
		CallerPort: 1000,
		TargetPort: 80,
		Protocol:   6,
	}
}

// Numbers of the two ends, far apart.
func initialOf(caller int) uint32 { return uint32(caller+1) << 28 }

func answerOf(endpoint int, serial uint64) uint32 {
	return uint32(endpoint+1)<<26 | uint32(serial)<<16
}

// orders are the two balancers' views: they rank the endpoints differently.
var orders = [][modelEndpoints]int{
	{0, 1, 2},
	{1, 2, 0},
}

// emit sends a packet of a caller through either balancer.
func (m *model) emit(balancer, caller int, p link.Packet) {
	m.flight = append(m.flight, message{
		caller: caller,
		order:  orders[balancer],
		packet: p,
	})
}

func opening(caller int) link.Packet {
	return link.Packet{
		Key:      modelKey(caller),
		Kind:     link.Opening,
		Flags:    flagSyn,
		Sequence: initialOf(caller),
	}
}

func (m *model) request(caller int) link.Packet {
	return link.Packet{
		Key:            modelKey(caller),
		Kind:           link.Continuing,
		Flags:          flagAck,
		Sequence:       initialOf(caller) + 1,
		Acknowledgment: m.callers[caller].expected,
		Payload:        requestBytes,
	}
}

const (
	flagReset = 0x04
	flagAck   = 0x10
)

// next gives every state that can follow.
func (m *model) next() (out []*model) {
	add := func(change func(*model)) {
		c := m.clone()
		change(c)
		out = append(out, c)
	}
	for i, g := range m.flight {
		if g.toCaller {
			for b := range orders {
				add(func(c *model) { c.take(i); c.atCaller(b, g) })
			}
		} else {
			for _, suspect := range []int{-1, 0} {
				add(func(c *model) { c.take(i); c.atEndpoint(g, suspect) })
			}
		}
		if m.losses > 0 {
			add(func(c *model) { c.take(i); c.losses-- })
		}
		if m.doubles > 0 {
			add(func(c *model) { c.flight = append(c.flight, g); c.doubles-- })
		}
	}
	for at, serial := range m.asked {
		add(func(c *model) { c.settle(at, serial, true) })
		add(func(c *model) { c.settle(at, serial, false) })
	}
	for i, caller := range m.callers {
		if caller.repeats > 0 && caller.stage <= settled {
			for b := range orders {
				add(func(c *model) { c.repeat(b, i) })
			}
		}
	}
	if m.lapses > 0 {
		add(func(c *model) { c.lapse() })
	}
	return out
}

func (m *model) take(i int) { m.flight = slices.Delete(m.flight, i, i+1) }

func (m *model) repeat(balancer, caller int) {
	m.callers[caller].repeats--
	if m.callers[caller].stage == opened {
		m.emit(balancer, caller, opening(caller))
		return
	}
	m.emit(balancer, caller, m.request(caller))
}

func (m *model) lapse() {
	m.lapses--
	m.now = m.now.Add(defaultOpeningTimeout)
	for i := range m.tables {
		m.step(i, message{}, Tick{})
	}
}

func (m *model) settle(at [2]int, serial uint64, works bool) {
	delete(m.asked, at)
	key := modelKey(at[1])
	if works {
		m.step(at[0], message{}, Connected{
			Key:    key,
			Serial: serial,
		})
		return
	}
	m.step(at[0], m.kept[at], Failed{
		Key:    key,
		Serial: serial,
	})
}

func (m *model) atEndpoint(g message, suspect int) {
	i := g.order[g.position]
	e := Arrived{
		Packet:      g.packet,
		Service:     modelService,
		Incarnation: node.Incarnation(i + 1),
		Position:    g.position,
		Candidates:  modelEndpoints,
		Denied:      g.denied,
		Round:       g.round,
		Balancer:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{1, 1, 1, 1}), 1),
	}
	for position, endpoint := range g.order {
		if endpoint == suspect && i != suspect {
			e.Silent = 1 << position
		}
	}
	if m.plant == "silence is a denial" {
		e.Denied |= e.Silent
	}
	m.step(i, g, e)
}

func (m *model) step(i int, g message, e Event) {
	for _, a := range m.tables[i].Step(m.now, e, nil) {
		m.do(i, g, a)
	}
}

func (m *model) do(i int, g message, a Action) {
	switch a := a.(type) {
	case Connect:
		m.connect(i, g, a)
	case Accept:
		m.accept(i, a)
	case Deliver:
		m.deliver(i, g)
	case Pass:
		g.position = a.Position
		g.denied = a.Denied
		g.round = a.Round
		m.flight = append(m.flight, g)
	case Refuse:
		c := int(a.Key.Caller) - 1
		m.toCaller(i, c, link.Packet{
			Key:            a.Key,
			Flags:          flagReset | flagAck,
			Acknowledgment: initialOf(c) + 1,
		})
	case Reset:
		m.toCaller(i, g.caller, link.Packet{
			Key:      a.Key,
			Flags:    flagReset,
			Sequence: g.packet.Acknowledgment,
		})
	case Abort:
		at := [2]int{i, int(a.Key.Caller) - 1}
		delete(m.asked, at)
		delete(m.servers, at)
	}
}

func (m *model) connect(i int, g message, a Connect) {
	at := [2]int{i, int(a.Key.Caller) - 1}
	m.kept[at] = g
	m.asked[at] = a.Serial
	if m.plant == "accept before connect" {
		m.step(i, g, Connected(a))
		m.asked[at] = a.Serial
	}
}

func (m *model) accept(i int, a Accept) {
	caller := int(a.Key.Caller) - 1
	at := [2]int{i, caller}
	if _, waits := m.asked[at]; waits {
		m.fault = "a handshake was completed before the upstream was connected"
	}
	m.servers[at] = server{
		serial: a.Serial,
	}
	answer := link.Packet{
		Key:            a.Key,
		Kind:           link.Continuing,
		Flags:          flagSyn | flagAck,
		Sequence:       answerOf(i, a.Serial),
		Acknowledgment: initialOf(caller) + 1,
	}
	m.step(i, message{}, Answered{
		Packet: answer,
	})
	m.toCaller(i, caller, answer)
}

func (m *model) toCaller(from, caller int, p link.Packet) {
	m.flight = append(m.flight, message{
		toCaller: true,
		caller:   caller,
		from:     from,
		packet:   p,
	})
}

func (m *model) deliver(i int, g message) {
	at := [2]int{i, g.caller}
	s, held := m.servers[at]
	if !held {
		m.fault = "the stack was given a packet of a flow that it does not hold"
		return
	}
	if g.packet.Payload > 0 && !s.served {
		s.served = true
		m.servers[at] = s
		m.callers[g.caller].runs++
	}
	if g.packet.IsReset() {
		delete(m.servers, at)
		m.step(i, g, Ended{
			Key: g.packet.Key,
		})
	}
}

// atCaller is the caller's stack (RFC 9293, section 3.10.7).
func (m *model) atCaller(balancer int, g message) {
	c := &m.callers[g.caller]
	p := g.packet
	switch {
	case p.IsReset() && c.stage == opened && p.Acknowledgment == initialOf(g.caller)+1:
		c.stage = refused
	case p.IsReset() && c.stage == settled && p.Sequence == c.expected:
		c.stage = broken
		m.fault = "an open flow was reset"
	case p.IsReset():
	case c.stage == opened:
		c.stage = settled
		c.peer = g.from
		c.expected = p.Sequence + 1
		m.emit(balancer, g.caller, m.request(g.caller))
	case c.stage == settled && p.Sequence+1 != c.expected:
		challenge := m.request(g.caller)
		challenge.Payload = 0
		challenge.Sequence += requestBytes
		m.emit(balancer, g.caller, challenge)
	case c.stage == refused:
		m.emit(balancer, g.caller, link.Packet{
			Key:      p.Key,
			Kind:     link.Closing,
			Flags:    flagReset,
			Sequence: initialOf(g.caller) + 1,
		})
	}
}

// broke names the promise that a state breaks.
func (m *model) broke() string {
	for i, c := range m.callers {
		if c.stage == refused && c.runs > 0 {
			return fmt.Sprintf("caller %d was told that it was not run, but it was", i)
		}
		if c.runs > 1 {
			return fmt.Sprintf("caller %d ran %d times", i, c.runs)
		}
	}
	return m.fault
}

// id is equal for equal states.
func (m *model) id() string {
	var b strings.Builder
	for _, t := range m.tables {
		for c := range m.callers {
			if f := t.flows[modelKey(c)]; f != nil {
				fmt.Fprint(&b, f.state, f.serial, f.synAckSent, f.sendUnacked, f.forwardState.position, f.forwardState.denied, f.forwardState.round, f.deadline.Unix(), ";")
			}
			_, seen := t.unowned.seen[modelKey(c)]
			fmt.Fprint(&b, seen)
		}
		fmt.Fprint(&b, t.gate.(*countGate).held, t.silentTurn&3, "|")
	}
	flight := make([]string, 0, len(m.flight))
	for _, g := range m.flight {
		flight = append(flight, fmt.Sprint(g.toCaller, g.caller, g.from, g.order, g.position, g.denied, g.round, g.packet))
	}
	slices.Sort(flight)
	fmt.Fprint(&b, m.callers, m.servers, m.asked, flight, m.losses, m.doubles, m.lapses)
	return b.String()
}

// search explores every state up to a depth and gives the first broken promise.
func search(start *model, depth int) (states, reached int, broke string) {
	seen := map[string]bool{}
	frontier := []*model{start}
	for reached = 0; reached < depth && len(frontier) > 0; reached++ {
		var following []*model
		for _, m := range frontier {
			for _, n := range m.next() {
				if broke = n.broke(); broke != "" {
					return len(seen), reached + 1, broke
				}
				id := n.id()
				if !seen[id] {
					seen[id] = true
					following = append(following, n)
				}
			}
		}
		frontier = following
	}
	return len(seen), reached, ""
}

// begin opens every caller through a balancer of its own.
func begin(callers int, plant string) *model {
	m := newModel(callers, plant)
	for c := range callers {
		m.emit(c%len(orders), c, opening(c))
	}
	return m
}

func depths() (one, two int) {
	if os.Getenv("MODEL") == "deep" {
		return 14, 10
	}
	return 8, 5
}

func TestNoInterleavingBreaksNotRunOrAtMostOnce(t *testing.T) {
	one, two := depths()
	for callers, depth := range map[int]int{1: one, 2: two} {
		states, reached, broke := search(begin(callers, ""), depth)
		t.Logf("%d callers: %d states to depth %d", callers, states, reached)
		if broke != "" {
			t.Errorf("%d callers: %s", callers, broke)
		}
	}
}

func TestTheSearchFindsPlantedFaults(t *testing.T) {
	for _, plant := range []string{"accept before connect", "silence is a denial"} {
		states, reached, broke := search(begin(1, plant), 14)
		t.Logf("%s: found %q after %d states at depth %d", plant, broke, states, reached)
		if broke == "" {
			t.Errorf("%s was not found in %d states", plant, states)
		}
	}
}
