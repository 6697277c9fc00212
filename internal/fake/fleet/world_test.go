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

// world is one play of the matrix: a fleet, a watched flow, and faults that strike
// at its steps.
type world struct {
	*fleet.Fleet
	watched *stack.Caller
	strikes []strike
	struck  int
	// old are the agents that were there at the start, killed those that died.
	old    []*agent.Agent
	killed map[*agent.Agent]bool
	left   map[*agent.Agent]time.Time
	// cutFrom and cutTo silence the watched flow, trick is done to its next packet.
	cutFrom bool
	cutTo   bool
	trick   string
	last    *agent.Agent
	// vanished are callers whose host forgot them.
	vanished []*stack.Caller
}

func play(seed uint64, slots int, strikes ...strike) *world {
	limits := admit.Limits{
		Slots:       slots,
		Connections: 50,
	}
	upstream := agent.Upstream{
		ConnectTime: 5 * time.Millisecond,
		WorkTime:    50 * time.Millisecond,
		Parts:       4,
	}
	w := &world{
		strikes: strikes,
		killed:  map[*agent.Agent]bool{},
		left:    map[*agent.Agent]time.Time{},
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
		Delay:  time.Millisecond,
		Jitter: 500 * time.Microsecond,
		Lag:    3 * time.Second,
		Lease:  3 * time.Second,
		Keep:   60 * time.Second,
	})
	w.old = append(w.old, w.Agents...)
	w.ObserveAction = w.saw
	w.FilterPacket = w.filter
	w.others(rand.New(rand.NewPCG(seed, 9)))
	w.Clock.After(time.Second, w.begin)
	for range int(longest / time.Second) {
		w.Run(time.Second)
		if w.over() {
			break
		}
	}
	return w
}

// others are callers beside the watched one.
func (w *world) others(r *rand.Rand) {
	for i := range 10 {
		service := rota
		if i%4 == 3 {
			service = sheets
		}
		at := time.Duration(r.Int64N(int64(3 * time.Second)))
		w.Clock.After(at, func() {
			w.Call(stack.Plan{
				Key:      fleet.Key(service, i+1),
				First:    uint64(1000 * (i + 1)),
				Requests: 1 + i%3,
				Parts:    4,
				Pause:    100 * time.Millisecond,
			}, func(*stack.Caller) {})
		})
	}
}

func (w *world) begin() {
	w.reach("before_opening")
	w.watched = w.Call(stack.Plan{
		Key:      fleet.Key(rota, 0),
		First:    1,
		Requests: 3,
		Parts:    4,
		Pause:    300 * time.Millisecond,
	}, func(*stack.Caller) {})
}

// reach lets the faults of a step strike, once.
func (w *world) reach(step string) {
	for i, s := range w.strikes {
		if s.step != step {
			continue
		}
		w.strikes[i].step = ""
		w.struck++
		for _, does := range s.fault.does {
			w.do(does)
		}
	}
}

// saw finds the steps of the watched flow among the actions of side processes.
func (w *world) saw(a *agent.Agent, m *agent.Message, action owner.Action) {
	watched := fleet.Key(rota, 0)
	switch x := action.(type) {
	case owner.Connect:
		if x.Key == watched {
			w.Clock.After(0, func() { w.reach("upstream_connecting") })
		}
	case owner.Accept:
		if x.Key == watched {
			w.Clock.After(0, func() { w.reach("handshake_half_done") })
		}
	case owner.Deliver:
		if x.Key == watched && m.Segment.Payload > 0 {
			w.reach("first_bytes")
		}
	}
}

// filter finds the other steps among packets and does the tricks.
func (w *world) filter(g stack.Segment, toCaller bool) bool {
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
	return w.play(g, toCaller)
}

// play does the pending trick to a packet.
func (w *world) play(g stack.Segment, toCaller bool) bool {
	wait := map[string]time.Duration{
		"late":   4 * time.Second,
		"double": 4 * time.Second,
		"cross":  2 * time.Millisecond,
	}
	trick := w.trick
	w.trick = ""
	switch trick {
	case "":
		return true
	case "lose":
		return false
	}
	w.Clock.After(wait[trick], func() {
		if toCaller {
			w.DeliverToCaller(g)
			return
		}
		w.Replay(g)
	})
	return trick == "double"
}

// target is the endpoint that the watched flow is at, or will be offered to first.
func (w *world) target() *agent.Agent {
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

func (w *world) do(what string) {
	a := w.target()
	b := w.Balancers[0]
	switch what {
	case "kill_balancer":
		for _, b := range w.Balancers {
			if !b.Dead && w.alive() > 1 {
				w.KillBalancer(b)
				break
			}
		}
	case "add_balancer":
		w.AddBalancer()
	case "kill_owner":
		w.killed[a] = true
		w.last = a
		w.Kill(a)
	case "drain_owner":
		w.leave(a)
	case "join":
		w.Join(rota)
	case "drain_all_old":
		for _, a := range w.old {
			if a.Endpoint.Service == w.ServiceID(rota) && !a.Dead {
				w.leave(a)
			}
		}
	case "restart_other_service":
		w.Restart(w.last, sheets)
	case "limit_owner_1":
		fleet.SetLimits(a, 1, 50)
	case "limit_owner_0":
		fleet.SetLimits(a, 0, 50)
	case "refuse_owner":
		a.Upstream.Refuses = true
	case "report_owner_0":
		a.Gate.RecordReport(w.Now(), 0)
	case "report_owner_1000":
		a.Gate.RecordReport(w.Now(), 1000)
	case "pause_owner_2":
		w.Pause(a, 2*time.Second)
	case "pause_owner_20":
		w.Pause(a, 20*time.Second)
	case "forget_owner":
		w.HideEndpoint(b, a, 3*time.Second)
	case "forget_others":
		for _, other := range w.old {
			if other != a {
				w.HideEndpoint(b, other, 3*time.Second)
			}
		}
	default:
		w.cut(what, a, b)
	}
}

func (w *world) leave(a *agent.Agent) {
	// A process that stands still hears of it once it wakes.
	a.RunOrDefer(func() {
		if _, known := w.left[a]; !known {
			w.left[a] = w.Now()
		}
	})
	w.Drain(a)
}

func (w *world) cut(what string, a *agent.Agent, b *fleet.Balancer) {
	at := a.Endpoint.Agent
	switch what {
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
		w.reborn()
	case "spoof":
		w.spoof()
	case "cut_from_caller":
		w.cutFrom = true
	case "cut_to_caller":
		w.cutTo = true
	case "lose", "late", "double", "cross":
		w.trick = what
	default:
		panic(what)
	}
}

// reborn forgets the watched caller and starts a new one at its address and port.
func (w *world) reborn() {
	if w.watched == nil {
		w.Clock.After(time.Millisecond, w.reborn)
		return
	}
	if len(w.vanished) > 0 {
		return
	}
	w.vanished = append(w.vanished, w.watched)
	w.watched.Forget()
	w.Call(stack.Plan{
		Key:      fleet.Key(rota, 0),
		First:    500,
		Requests: 2,
		Parts:    4,
		Pause:    300 * time.Millisecond,
	}, func(*stack.Caller) {})
}

// spoof sends an opening under the watched flow's key that its caller never sent.
func (w *world) spoof() {
	w.Replay(stack.Segment{
		Packet: link.Packet{
			Key:      fleet.Key(rota, 0),
			Kind:     link.Opening,
			Flags:    2,
			Sequence: w.Random.Uint32(),
		},
	})
}

func (w *world) alive() (n int) {
	for _, b := range w.Balancers {
		if !b.Dead {
			n++
		}
	}
	return n
}

// over tells whether nobody wants anything any more.
func (w *world) over() bool {
	if w.watched == nil || len(w.Callers) < 11 {
		return false
	}
	for _, c := range w.Callers {
		if c.Alive() {
			return false
		}
	}
	for _, a := range w.Agents {
		if !a.Dead && (a.Flows() > 0 || a.Paused() || a.Gate.Flows() > 0 || a.Gate.QueueLength() > 0) {
			return false
		}
	}
	return true
}

// failures names every promise that was not kept.
func (w *world) failures() (out []string) {
	fail := func(format string, args ...any) {
		out = append(out, fmt.Sprintf(format, args...))
	}
	for _, c := range w.Callers {
		w.check(c, fail)
	}
	if w.Record.Misrouted > 0 {
		fail("right_service: %d requests ran at another service", w.Record.Misrouted)
	}
	for request, runs := range w.Record.Runs {
		if runs > 1 {
			fail("at_most_once: request %d ran %d times", request, runs)
		}
	}
	for a, notice := range w.left {
		if last := w.Record.LastAdmitted[a]; last.Sub(notice) > 0 {
			fail("leaving_gets_no_new: %v after the notice", last.Sub(notice))
		}
	}
	if w.Record.Cut > 0 {
		fail("graceful_stop: %d flows cut", w.Record.Cut)
	}
	for _, a := range w.Agents {
		if !a.Dead && (a.Flows() > 0 || a.Gate.Flows() > 0 || a.Gate.ActiveFlows() > 0 || a.Gate.QueueLength() > 0) {
			fail("room_given_back: %d flows, gate %d flows, %d busy, %d waiting at %v",
				a.Flows(), a.Gate.Flows(), a.Gate.ActiveFlows(), a.Gate.QueueLength(), a.Endpoint.Agent)
		}
	}
	return out
}

// finished tells whether the watched caller, or the one in its place, got all.
func (w *world) finished() bool {
	return slices.ContainsFunc(w.Callers, func(c *stack.Caller) bool {
		return c.Plan.Key == fleet.Key(rota, 0) && c.Outcome == stack.Finished
	})
}

// check compares what one caller has seen with what ran.
func (w *world) check(c *stack.Caller, fail func(string, ...any)) {
	ran := 0
	for i := range c.Plan.Requests {
		ran += w.Record.Runs[c.Plan.First+uint64(i)]
	}
	switch {
	case c.Foreign > 0:
		fail("own_whole_answer: %d foreign parts", c.Foreign)
	case c.Outcome == stack.Refused && ran > 0:
		fail("not_run_means_not_run: refused after %d runs", ran)
	case c.Outcome == stack.Broken && !w.excused(c):
		fail("flow_survives: flow %d broke at %v, opened %v", c.Plan.First, c.EndedAt, c.EstablishedAt)
	case c.Outcome == stack.Unanswered && !w.excused(c):
		fail("answered: flow %d was never answered", c.Plan.First)
	case c.Outcome == stack.Finished && ran != c.Plan.Requests:
		fail("own_whole_answer: finished with %d of %d run", ran, c.Plan.Requests)
	case c.Alive():
		fail("answered: flow %d still waits", c.Plan.First)
	}
}

// excused flows were at an upstream that died, or their caller was cut off.
func (w *world) excused(c *stack.Caller) bool {
	if c.Plan.Key == fleet.Key(rota, 0) && (w.cutFrom || w.cutTo) {
		return true
	}
	if slices.Contains(w.vanished, c) {
		return true
	}
	return w.Lost(c.Plan.Key, w.killed)
}
