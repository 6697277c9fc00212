package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/fake/agent"
	"github.com/clementinewing/clementinewing/internal/fake/fleet"
	"github.com/clementinewing/clementinewing/internal/fake/stack"
	"github.com/clementinewing/clementinewing/internal/flow/admit"
	"github.com/clementinewing/clementinewing/internal/flow/owner"
	"github.com/clementinewing/clementinewing/internal/flow/rank"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

const (
	rota   = 0
	sheets = 1
)

// simulation is one run of the matrix: a fleet, an observed flow, and faults that are
// injected at steps of this flow.
type simulation struct {
	*fleet.Fleet
	observed   *stack.Caller
	injections []injection
	injected   int
	// initial are the agents at the start, killed those that were killed. drainStart is
	// the time at which each draining agent was told to drain.
	initial    []*agent.Agent
	killed     map[*agent.Agent]bool
	drainStart map[*agent.Agent]time.Time
	// cutFrom and cutTo drop the packets of the observed flow from and to its caller.
	// packetFault is applied to its next packet.
	cutFrom     bool
	cutTo       bool
	packetFault string
	lastKilled  *agent.Agent
	// forgotten are callers whose host lost their state.
	forgotten []*stack.Caller
}

func simulate(seed uint64, slots int, injections ...injection) *simulation {
	limits := admit.Limits{
		Slots:       slots,
		Connections: 50,
	}
	upstream := agent.Upstream{
		ConnectTime: 5 * time.Millisecond,
		WorkTime:    50 * time.Millisecond,
		Parts:       4,
	}
	w := &simulation{
		injections: injections,
		killed:     map[*agent.Agent]bool{},
		drainStart: map[*agent.Agent]time.Time{},
	}
	w.Fleet = fleet.New(seed, fleet.Settings{
		Balancers: 2,
		Services: []fleet.Service{
			{
				Name:      "rota",
				Endpoints: 3,
				Limits:    limits,
				Upstream:  upstream,
			},
			{
				Name:      "sheets",
				Endpoints: 2,
				Limits:    limits,
				Upstream:  upstream,
			},
		},
		Delay:        time.Millisecond,
		Jitter:       500 * time.Microsecond,
		MaxViewDelay: 3 * time.Second,
		LeaseTTL:     3 * time.Second,
		ListingTTL:   60 * time.Second,
	})
	w.initial = append(w.initial, w.Agents...)
	w.ObserveAction = w.observeAction
	w.FilterPacket = w.filterPacket
	w.startOtherCallers(rand.New(rand.NewPCG(seed, 9)))
	w.Clock.After(time.Second, w.startObserved)
	for range int(maxRunTime / time.Second) {
		w.Run(time.Second)
		if w.allEnded() {
			break
		}
	}
	return w
}

// startOtherCallers starts callers besides the observed one.
func (w *simulation) startOtherCallers(r *rand.Rand) {
	for i := range 10 {
		service := rota
		if i%4 == 3 {
			service = sheets
		}
		at := time.Duration(r.Int64N(int64(3 * time.Second)))
		w.Clock.After(at, func() {
			w.Call(stack.Workload{
				Key:          fleet.Key(service, i+1),
				FirstRequest: uint64(1000 * (i + 1)),
				Requests:     1 + i%3,
				Parts:        4,
				Pause:        100 * time.Millisecond,
			}, func(*stack.Caller) {})
		})
	}
}

func (w *simulation) startObserved() {
	w.reach("before_opening")
	w.observed = w.Call(stack.Workload{
		Key:          fleet.Key(rota, 0),
		FirstRequest: 1,
		Requests:     3,
		Parts:        4,
		Pause:        300 * time.Millisecond,
	}, func(*stack.Caller) {})
}

// reach injects the faults of a step, each once.
func (w *simulation) reach(step string) {
	for i, s := range w.injections {
		if s.step != step {
			continue
		}
		w.injections[i].step = ""
		w.injected++
		for _, operation := range s.fault.operations {
			w.apply(operation)
		}
	}
}

// observeAction detects the steps of the observed flow from the actions of agents.
func (w *simulation) observeAction(a *agent.Agent, m *agent.Message, action owner.Action) {
	observed := fleet.Key(rota, 0)
	switch x := action.(type) {
	case owner.Connect:
		if x.Key == observed {
			w.Clock.After(0, func() { w.reach("upstream_connecting") })
		}
	case owner.Accept:
		if x.Key == observed {
			w.Clock.After(0, func() { w.reach("handshake_half_done") })
		}
	case owner.Deliver:
		if x.Key == observed && m.Segment.Payload > 0 {
			w.reach("first_bytes")
		}
	}
}

// filterPacket detects the other steps from packets and applies the packet faults.
func (w *simulation) filterPacket(g stack.Segment, toCaller bool) bool {
	if g.Key != fleet.Key(rota, 0) {
		return true
	}
	if toCaller && g.Body.Part == 1 {
		w.reach("answer_under_way")
	}
	if !toCaller && g.Kind == link.Opening {
		w.reach("opening_handed")
	}
	if !toCaller && g.Flags&1 != 0 {
		w.reach("closing")
	}
	if toCaller && w.cutTo || !toCaller && w.cutFrom {
		return false
	}
	return w.applyPacketFault(g, toCaller)
}

// applyPacketFault applies the pending packet fault and reports whether the packet is
// delivered now.
func (w *simulation) applyPacketFault(g stack.Segment, toCaller bool) bool {
	wait := map[string]time.Duration{
		"late":   4 * time.Second,
		"double": 4 * time.Second,
		"cross":  2 * time.Millisecond,
	}
	packetFault := w.packetFault
	w.packetFault = ""
	switch packetFault {
	case "":
		return true
	case "lose":
		return false
	}
	w.Clock.After(wait[packetFault], func() {
		if toCaller {
			w.DeliverToCaller(g)
			return
		}
		w.Replay(g)
	})
	return packetFault == "double"
}

// target returns the agent that holds the observed flow, or the first candidate of the
// flow if no agent holds it yet.
func (w *simulation) target() *agent.Agent {
	owners := w.Record.Owners[fleet.Key(rota, 0)]
	if len(owners) > 0 {
		return owners[len(owners)-1]
	}
	var endpoints []node.Endpoint
	var agents []*agent.Agent
	for _, a := range w.Agents {
		if !a.Dead && a.Endpoint.Service == w.ServiceID(rota) && a.Endpoint.State == node.Serving {
			endpoints = append(endpoints, a.Endpoint)
			agents = append(agents, a)
		}
	}
	if len(agents) == 0 {
		return w.Agents[0]
	}
	return agents[rank.List(fleet.Key(rota, 0).Hash(), endpoints, nil)[0]]
}

func (w *simulation) apply(operation string) {
	a := w.target()
	b := w.Balancers[0]
	switch operation {
	case "kill_balancer":
		for _, b := range w.Balancers {
			if !b.Dead && w.balancersAlive() > 1 {
				w.KillBalancer(b)
				break
			}
		}
	case "add_balancer":
		w.AddBalancer()
	case "kill_owner":
		w.killed[a] = true
		w.lastKilled = a
		w.Kill(a)
	case "drain_owner":
		w.drain(a)
	case "join":
		w.Join(rota)
	case "drain_all_old":
		for _, a := range w.initial {
			if a.Endpoint.Service == w.ServiceID(rota) && !a.Dead {
				w.drain(a)
			}
		}
	case "restart_other_service":
		w.Restart(w.lastKilled, sheets)
	case "limit_owner_1":
		fleet.SetLimits(a, 1, 50)
	case "limit_owner_0":
		fleet.SetLimits(a, 0, 50)
	case "refuse_owner":
		a.Upstream.Refuses = true
	case "report_owner_0":
		a.Admission.RecordReport(w.Now(), 0)
	case "report_owner_1000":
		a.Admission.RecordReport(w.Now(), 1000)
	case "pause_owner_2":
		w.Pause(a, 2*time.Second)
	case "pause_owner_20":
		w.Pause(a, 20*time.Second)
	case "forget_owner":
		w.HideEndpoint(b, a, 3*time.Second)
	case "forget_others":
		for _, other := range w.initial {
			if other != a {
				w.HideEndpoint(b, other, 3*time.Second)
			}
		}
	default:
		w.cut(operation, a, b)
	}
}

func (w *simulation) drain(a *agent.Agent) {
	// A paused process learns of the drain when it resumes.
	a.RunOrDefer(func() {
		if _, known := w.drainStart[a]; !known {
			w.drainStart[a] = w.Now()
		}
	})
	w.Drain(a)
}

func (w *simulation) cut(operation string, a *agent.Agent, b *fleet.Balancer) {
	at := a.Endpoint.Agent
	switch operation {
	case "cut_link_out":
		w.CutLink(b.Address, at)
	case "cut_link_back":
		w.CutLink(at, b.Address)
	case "cut_way_out":
		w.CutDirection(b.Address, at, true)
	case "cut_way_back":
		w.CutDirection(at, b.Address, true)
	case "cut_peers":
		for _, other := range w.Agents {
			w.CutDirection(other.Endpoint.Agent, at, true)
			w.CutDirection(at, other.Endpoint.Agent, true)
		}
	case "reborn":
		w.reuseCallerPort()
	case "spoof":
		w.spoofSYN()
	case "cut_from_caller":
		w.cutFrom = true
	case "cut_to_caller":
		w.cutTo = true
	case "lose", "late", "double", "cross":
		w.packetFault = operation
	default:
		panic(operation)
	}
}

// reuseCallerPort replaces the observed caller, whose host forgets its flow, by a new one
// with the same address and port.
func (w *simulation) reuseCallerPort() {
	if w.observed == nil {
		w.Clock.After(time.Millisecond, w.reuseCallerPort)
		return
	}
	if len(w.forgotten) > 0 {
		return
	}
	w.forgotten = append(w.forgotten, w.observed)
	w.observed.Forget()
	w.Call(stack.Workload{
		Key:          fleet.Key(rota, 0),
		FirstRequest: 500,
		Requests:     2,
		Parts:        4,
		Pause:        300 * time.Millisecond,
	}, func(*stack.Caller) {})
}

// spoofSYN sends a SYN with the key of the observed flow that its caller never sent.
func (w *simulation) spoofSYN() {
	w.Replay(stack.Segment{
		Packet: link.Packet{
			Key:      fleet.Key(rota, 0),
			Kind:     link.Opening,
			Flags:    2,
			Sequence: w.Random.Uint32(),
		},
	})
}

func (w *simulation) balancersAlive() (n int) {
	for _, b := range w.Balancers {
		if !b.Dead {
			n++
		}
	}
	return n
}

// allEnded reports whether all flows have ended and no agent has work left.
func (w *simulation) allEnded() bool {
	if w.observed == nil || len(w.Callers) < 11 {
		return false
	}
	for _, c := range w.Callers {
		if c.Alive() {
			return false
		}
	}
	for _, a := range w.Agents {
		if !a.Dead && (a.Flows() > 0 || a.Paused() || a.Admission.Flows() > 0 || a.Admission.QueueLength() > 0) {
			return false
		}
	}
	return true
}

// failures lists the violated guarantees.
func (w *simulation) failures() (out []string) {
	fail := func(format string, args ...any) {
		out = append(out, fmt.Sprintf(format, args...))
	}
	for _, c := range w.Callers {
		w.check(c, fail)
	}
	if w.Record.Misrouted > 0 {
		fail("right_service: %d requests ran at the wrong service", w.Record.Misrouted)
	}
	for request, runs := range w.Record.Runs {
		if runs > 1 {
			fail("at_most_once: request %d ran %d times", request, runs)
		}
	}
	for a, start := range w.drainStart {
		if last := w.Record.LastAdmitted[a]; last.Sub(start) > 0 {
			fail("leaving_gets_no_new: new flow admitted %v after the start of the drain", last.Sub(start))
		}
	}
	if w.Record.CutByDrain > 0 {
		fail("graceful_stop: %d flows reset at the drain deadline", w.Record.CutByDrain)
	}
	for _, a := range w.Agents {
		if !a.Dead && (a.Flows() > 0 || a.Admission.Flows() > 0 || a.Admission.ActiveFlows() > 0 || a.Admission.QueueLength() > 0) {
			fail("room_given_back: %d flows in the stack, %d admitted, %d active, %d queued at %v",
				a.Flows(), a.Admission.Flows(), a.Admission.ActiveFlows(), a.Admission.QueueLength(), a.Endpoint.Agent)
		}
	}
	return out
}

// finished reports whether the observed caller, or the one that replaced it, got all its
// answers.
func (w *simulation) finished() bool {
	return slices.ContainsFunc(w.Callers, func(c *stack.Caller) bool {
		return c.Workload.Key == fleet.Key(rota, 0) && c.Outcome == stack.Finished
	})
}

// check compares the outcome of one caller with the runs of its requests.
func (w *simulation) check(c *stack.Caller, fail func(string, ...any)) {
	ran := 0
	for i := range c.Workload.Requests {
		ran += w.Record.Runs[c.Workload.FirstRequest+uint64(i)]
	}
	switch {
	case c.ForeignParts > 0:
		fail("own_whole_answer: %d parts of other answers", c.ForeignParts)
	case c.Outcome == stack.Refused && ran > 0:
		fail("not_run_means_not_run: refused after its requests ran %d times", ran)
	case c.Outcome == stack.Broken && !w.isExcused(c):
		fail("flow_survives: flow %d broke at %v, established at %v", c.Workload.FirstRequest, c.EndedAt, c.EstablishedAt)
	case c.Outcome == stack.Unanswered && !w.isExcused(c):
		fail("answered: flow %d got no answer to its SYN", c.Workload.FirstRequest)
	case c.Outcome == stack.Finished && ran != c.Workload.Requests:
		fail("own_whole_answer: finished after %d runs of %d requests", ran, c.Workload.Requests)
	case c.Alive():
		fail("answered: flow %d has not ended", c.Workload.FirstRequest)
	}
}

// isExcused reports whether the flow may break: its caller was cut off or forgot it, or
// the upstream that held it was killed.
func (w *simulation) isExcused(c *stack.Caller) bool {
	if c.Workload.Key == fleet.Key(rota, 0) && (w.cutFrom || w.cutTo) {
		return true
	}
	if slices.Contains(w.forgotten, c) {
		return true
	}
	return w.HeldByAny(c.Workload.Key, w.killed)
}
