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

// This file is an explicit-state model checker for Table.Step. It explores, up to a
// depth, every order in which packets arrive, are lost or duplicated, connections
// succeed or fail, deadlines pass and responsive candidates are taken for silent. The
// properties are checked in every state.

const (
	modelEndpoints = 3
	modelService   = 7
	requestBytes   = 10
)

// countingController is an admission controller with a single counter, so that it can be
// copied.
type countingController struct {
	limit int
	used  int
}

func (g *countingController) Decide(_ time.Time, a admit.Request) admit.Decision {
	if g.used < g.limit {
		return admit.Decision{
			Admitted: true,
			Action:   admit.Admit,
			Reason:   admit.Accepted,
		}
	}
	if a.Last {
		return admit.Decision{
			Action: admit.Reject,
			Reason: admit.SlotsFull,
		}
	}
	return admit.Decision{
		Action: admit.Forward,
		Reason: admit.SlotsFull,
	}
}

func (g *countingController) Admit(time.Time)                                  { g.used++ }
func (g *countingController) Enqueue(admit.Waiter)                             {}
func (g *countingController) DequeueReady(time.Time) (w admit.Waiter, ok bool) { return w, false }
func (g *countingController) RemoveWaiter(link.Key) bool                       { return false }
func (g *countingController) BeginWork(time.Time)                              {}
func (g *countingController) EndWork(time.Time)                                {}
func (g *countingController) RecordAnswer(_, _ time.Time)                      {}
func (g *countingController) Release(time.Time, admit.Outcome)                 { g.used-- }
func (g *countingController) Drain(_, _ time.Time)                             {}

// clone returns a deep copy of a table and its admission controller.
func (t *Table) clone() *Table {
	c := *t
	g := *t.controller.(*countingController)
	c.controller = &g
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

// message is a packet in flight to an endpoint or to a caller.
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
	synSent callerStage = iota
	established
	rejected
	reset
)

type modelCaller struct {
	stage               callerStage
	endpoint            int
	receiveNext         uint32
	retransmissionsLeft int
	runs                int
}

// stackFlow is a flow that an endpoint's stack knows.
type stackFlow struct {
	serial uint64
	served bool
}

type model struct {
	now            time.Time
	tables         [modelEndpoints]*Table
	callers        []modelCaller
	stackFlows     map[[2]int]stackFlow
	connecting     map[[2]int]uint64
	openings       map[[2]int]message
	inFlight       []message
	lossesLeft     int
	duplicatesLeft int
	timeoutsLeft   int
	injected       string
	violation      string
}

func newModel(callers int, injected string) *model {
	m := &model{
		now:            time.Unix(0, 0),
		stackFlows:     map[[2]int]stackFlow{},
		connecting:     map[[2]int]uint64{},
		openings:       map[[2]int]message{},
		lossesLeft:     1,
		duplicatesLeft: 1,
		timeoutsLeft:   1,
		injected:       injected,
	}
	for i := range m.tables {
		m.tables[i] = New(
			WithIdentity(modelService, node.Incarnation(i+1)),
			WithResetDelay(0),
			WithAdmissionController(&countingController{
				limit: modelEndpoints - 1 - i,
			}),
		)
	}
	m.callers = make([]modelCaller, callers)
	for c := range m.callers {
		m.callers[c].retransmissionsLeft = 1
		m.callers[c].endpoint = -1
	}
	return m
}

func (m *model) clone() *model {
	c := *m
	for i := range c.tables {
		c.tables[i] = m.tables[i].clone()
	}
	c.callers = slices.Clone(m.callers)
	c.stackFlows = maps.Clone(m.stackFlows)
	c.connecting = maps.Clone(m.connecting)
	c.openings = maps.Clone(m.openings)
	c.inFlight = slices.Clone(m.inFlight)
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

// callerISNOf and endpointISNOf return initial sequence numbers that are far apart.
func callerISNOf(caller int) uint32 { return uint32(caller+1) << 28 }

func endpointISNOf(endpoint int, serial uint64) uint32 {
	return uint32(endpoint+1)<<26 | uint32(serial)<<16
}

// balancerOrders are the candidate lists of the two balancers, which rank the endpoints
// differently.
var balancerOrders = [][modelEndpoints]int{
	{0, 1, 2},
	{1, 2, 0},
}

// sendFromCaller sends a packet of a caller through the given balancer.
func (m *model) sendFromCaller(balancer, caller int, p link.Packet) {
	m.inFlight = append(m.inFlight, message{
		caller: caller,
		order:  balancerOrders[balancer],
		packet: p,
	})
}

func opening(caller int) link.Packet {
	return link.Packet{
		Key:      modelKey(caller),
		Kind:     link.Opening,
		Flags:    flagSyn,
		Sequence: callerISNOf(caller),
	}
}

func (m *model) request(caller int) link.Packet {
	return link.Packet{
		Key:            modelKey(caller),
		Kind:           link.Continuing,
		Flags:          flagAck,
		Sequence:       callerISNOf(caller) + 1,
		Acknowledgment: m.callers[caller].receiveNext,
		Payload:        requestBytes,
	}
}

const (
	flagReset = 0x04
	flagAck   = 0x10
)

// successors returns every possible next state.
func (m *model) successors() (out []*model) {
	add := func(change func(*model)) {
		c := m.clone()
		change(c)
		out = append(out, c)
	}
	for i, g := range m.inFlight {
		if g.toCaller {
			for b := range balancerOrders {
				add(func(c *model) { c.removeInFlight(i); c.receiveAtCaller(b, g) })
			}
		} else {
			for _, silent := range []int{-1, 0} {
				add(func(c *model) { c.removeInFlight(i); c.receiveAtEndpoint(g, silent) })
			}
		}
		if m.lossesLeft > 0 {
			add(func(c *model) { c.removeInFlight(i); c.lossesLeft-- })
		}
		if m.duplicatesLeft > 0 {
			add(func(c *model) { c.inFlight = append(c.inFlight, g); c.duplicatesLeft-- })
		}
	}
	for at, serial := range m.connecting {
		add(func(c *model) { c.finishConnect(at, serial, true) })
		add(func(c *model) { c.finishConnect(at, serial, false) })
	}
	for i, caller := range m.callers {
		if caller.retransmissionsLeft > 0 && caller.stage <= established {
			for b := range balancerOrders {
				add(func(c *model) { c.retransmit(b, i) })
			}
		}
	}
	if m.timeoutsLeft > 0 {
		add(func(c *model) { c.expireConnects() })
	}
	return out
}

func (m *model) removeInFlight(i int) { m.inFlight = slices.Delete(m.inFlight, i, i+1) }

func (m *model) retransmit(balancer, caller int) {
	m.callers[caller].retransmissionsLeft--
	if m.callers[caller].stage == synSent {
		m.sendFromCaller(balancer, caller, opening(caller))
		return
	}
	m.sendFromCaller(balancer, caller, m.request(caller))
}

func (m *model) expireConnects() {
	m.timeoutsLeft--
	m.now = m.now.Add(defaultConnectTimeout)
	for i := range m.tables {
		m.step(i, message{}, Tick{})
	}
}

func (m *model) finishConnect(at [2]int, serial uint64, ok bool) {
	delete(m.connecting, at)
	key := modelKey(at[1])
	if ok {
		m.step(at[0], message{}, UpstreamConnected{
			Key:    key,
			Serial: serial,
		})
		return
	}
	m.step(at[0], m.openings[at], UpstreamFailed{
		Key:    key,
		Serial: serial,
	})
}

// receiveAtEndpoint passes a packet to its endpoint, to which the endpoint with the index
// silent did not answer; -1 means that all did.
func (m *model) receiveAtEndpoint(g message, silent int) {
	i := g.order[g.position]
	e := PacketForEndpoint{
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
		if endpoint == silent && i != silent {
			e.Silent = 1 << position
		}
	}
	if m.injected == "silent counts as denied" {
		e.Denied |= e.Silent
	}
	m.step(i, g, e)
}

func (m *model) step(i int, g message, e Event) {
	for _, a := range m.tables[i].Step(m.now, e, nil) {
		m.perform(i, g, a)
	}
}

func (m *model) perform(i int, g message, a Action) {
	switch a := a.(type) {
	case Connect:
		m.connect(i, g, a)
	case Accept:
		m.accept(i, a)
	case Deliver:
		m.deliver(i, g)
	case ForwardToCandidate:
		g.position = a.Position
		g.denied = a.Denied
		g.round = a.Round
		m.inFlight = append(m.inFlight, g)
	case Reject:
		c := int(a.Key.Caller) - 1
		m.sendToCaller(i, c, link.Packet{
			Key:            a.Key,
			Flags:          flagReset | flagAck,
			Acknowledgment: callerISNOf(c) + 1,
		})
	case Reset:
		m.sendToCaller(i, g.caller, link.Packet{
			Key:      a.Key,
			Flags:    flagReset,
			Sequence: g.packet.Acknowledgment,
		})
	case Abort:
		at := [2]int{i, int(a.Key.Caller) - 1}
		delete(m.connecting, at)
		delete(m.stackFlows, at)
	}
}

func (m *model) connect(i int, g message, a Connect) {
	at := [2]int{i, int(a.Key.Caller) - 1}
	m.openings[at] = g
	m.connecting[at] = a.Serial
	if m.injected == "accept before connect" {
		m.step(i, g, UpstreamConnected(a))
		m.connecting[at] = a.Serial
	}
}

func (m *model) accept(i int, a Accept) {
	caller := int(a.Key.Caller) - 1
	at := [2]int{i, caller}
	if _, waits := m.connecting[at]; waits {
		m.violation = "a handshake was accepted before the upstream was connected"
	}
	m.stackFlows[at] = stackFlow{
		serial: a.Serial,
	}
	answer := link.Packet{
		Key:            a.Key,
		Kind:           link.Continuing,
		Flags:          flagSyn | flagAck,
		Sequence:       endpointISNOf(i, a.Serial),
		Acknowledgment: callerISNOf(caller) + 1,
	}
	m.step(i, message{}, PacketFromEndpoint{
		Packet: answer,
	})
	m.sendToCaller(i, caller, answer)
}

func (m *model) sendToCaller(from, caller int, p link.Packet) {
	m.inFlight = append(m.inFlight, message{
		toCaller: true,
		caller:   caller,
		from:     from,
		packet:   p,
	})
}

func (m *model) deliver(i int, g message) {
	at := [2]int{i, g.caller}
	s, known := m.stackFlows[at]
	if !known {
		m.violation = "a packet was delivered to a stack that does not know its flow"
		return
	}
	if g.packet.Payload > 0 && !s.served {
		s.served = true
		m.stackFlows[at] = s
		m.callers[g.caller].runs++
	}
	if g.packet.IsReset() {
		delete(m.stackFlows, at)
		m.step(i, g, FlowEnded{
			Key: g.packet.Key,
		})
	}
}

// receiveAtCaller implements the caller's stack (RFC 9293, section 3.10.7).
func (m *model) receiveAtCaller(balancer int, g message) {
	c := &m.callers[g.caller]
	p := g.packet
	switch {
	case p.IsReset() && c.stage == synSent && p.Acknowledgment == callerISNOf(g.caller)+1:
		c.stage = rejected
	case p.IsReset() && c.stage == established && p.Sequence == c.receiveNext:
		c.stage = reset
		m.violation = "an open flow was reset"
	case p.IsReset():
	case c.stage == synSent:
		c.stage = established
		c.endpoint = g.from
		c.receiveNext = p.Sequence + 1
		m.sendFromCaller(balancer, g.caller, m.request(g.caller))
	case c.stage == established && p.Sequence+1 != c.receiveNext:
		challenge := m.request(g.caller)
		challenge.Payload = 0
		challenge.Sequence += requestBytes
		m.sendFromCaller(balancer, g.caller, challenge)
	case c.stage == rejected:
		m.sendFromCaller(balancer, g.caller, link.Packet{
			Key:      p.Key,
			Kind:     link.Closing,
			Flags:    flagReset,
			Sequence: callerISNOf(g.caller) + 1,
		})
	}
}

// violatedProperty returns the property that a state violates, or an empty string.
func (m *model) violatedProperty() string {
	for i, c := range m.callers {
		if c.stage == rejected && c.runs > 0 {
			return fmt.Sprintf("caller %d was rejected, but its request was run", i)
		}
		if c.runs > 1 {
			return fmt.Sprintf("the request of caller %d was run %d times", i, c.runs)
		}
	}
	return m.violation
}

// stateKey returns a string that is equal for equal states.
func (m *model) stateKey() string {
	var b strings.Builder
	for _, t := range m.tables {
		for c := range m.callers {
			if f := t.flows[modelKey(c)]; f != nil {
				fmt.Fprint(&b, f.state, f.serial, f.synAckSent, f.sendUnacked, f.forwardState.position, f.forwardState.denied, f.forwardState.round, f.deadline.Unix(), ";")
			}
			_, unowned := t.unowned.seen[modelKey(c)]
			fmt.Fprint(&b, unowned)
		}
		fmt.Fprint(&b, t.controller.(*countingController).used, t.silentTurn&3, "|")
	}
	inFlight := make([]string, 0, len(m.inFlight))
	for _, g := range m.inFlight {
		inFlight = append(inFlight, fmt.Sprint(g.toCaller, g.caller, g.from, g.order, g.position, g.denied, g.round, g.packet))
	}
	slices.Sort(inFlight)
	fmt.Fprint(&b, m.callers, m.stackFlows, m.connecting, inFlight, m.lossesLeft, m.duplicatesLeft, m.timeoutsLeft)
	return b.String()
}

// search explores every state up to a depth and returns the first violated property.
func search(start *model, depth int) (states, reached int, violation string) {
	seen := map[string]bool{}
	frontier := []*model{start}
	for reached = 0; reached < depth && len(frontier) > 0; reached++ {
		var next []*model
		for _, m := range frontier {
			for _, n := range m.successors() {
				if violation = n.violatedProperty(); violation != "" {
					return len(seen), reached + 1, violation
				}
				id := n.stateKey()
				if !seen[id] {
					seen[id] = true
					next = append(next, n)
				}
			}
		}
		frontier = next
	}
	return len(seen), reached, ""
}

// newOpenedModel returns a model in which each caller has sent a SYN, alternating
// between the balancers.
func newOpenedModel(callers int, injected string) *model {
	m := newModel(callers, injected)
	for c := range callers {
		m.sendFromCaller(c%len(balancerOrders), c, opening(c))
	}
	return m
}

func searchDepths() (one, two int) {
	if os.Getenv("MODEL") == "deep" {
		return 14, 10
	}
	return 8, 5
}

func TestRequestsRunAtMostOnceAndRejectedOnesNever(t *testing.T) {
	one, two := searchDepths()
	for callers, depth := range map[int]int{1: one, 2: two} {
		states, reached, violation := search(newOpenedModel(callers, ""), depth)
		t.Logf("%d callers: %d states to depth %d", callers, states, reached)
		if violation != "" {
			t.Errorf("%d callers: %s", callers, violation)
		}
	}
}

func TestSearchFindsInjectedFaults(t *testing.T) {
	for _, injected := range []string{"accept before connect", "silent counts as denied"} {
		states, reached, violation := search(newOpenedModel(1, injected), 14)
		t.Logf("injected fault: %s: found %q after %d states at depth %d", injected, violation, states, reached)
		if violation == "" {
			t.Errorf("injected fault: %s was not found in %d states", injected, states)
		}
	}
}
