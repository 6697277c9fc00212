package load

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/flow/admit"
	"github.com/clementinewing/clementinewing/internal/flow/limit"
)

// gated hunts along the ranked list with the shipped admission.
type gated struct {
	world *world
	gates []*admit.Controller
	// held are the openings that wait, by their keys' hashes.
	held map[uint64]*hunt
}

// hunt is one opening on its way along the list.
type hunt struct {
	flow     *flow
	list     []*upstream
	position int
	pass     int
	deadline time.Time
}

// tracked is what the side process knows of an accepted flow.
type tracked struct {
	work admit.Work
}

// withPolicy makes the placer of the shipped admission.
func withPolicy(p admit.Policy) func(*world) placer {
	return func(w *world) placer {
		g := &gated{
			world: w,
			held:  map[uint64]*hunt{},
		}
		for range w.fleet {
			g.gates = append(g.gates, admit.New(admit.Limits{
				Slots:       w.shape.Slots,
				Connections: w.shape.Connections,
			}, admit.WithPolicy(p)))
		}
		return g
	}
}

func (g *gated) now() time.Time {
	return g.world.clock.Now()
}

func (g *gated) open(f *flow) {
	h := &hunt{
		flow:     f,
		list:     g.world.ranked(f),
		deadline: g.now().Add(patience),
	}
	g.send(h)
}

func (g *gated) send(h *hunt) {
	g.world.net.Send(lane(h.list[h.position]), func() { g.ask(h, false) })
}

func (g *gated) ask(h *hunt, held bool) {
	u := h.list[h.position]
	gate := g.gates[u.index]
	answer := gate.Decide(g.now(), admit.Request{
		Position:   h.position,
		Candidates: len(h.list),
		Pass:       h.pass,
		Last:       h.position == len(h.list)-1,
		Queued:     held,
		Deadline:   h.deadline,
	})
	switch answer.Action {
	case admit.Admit:
		g.take(h, u, gate)
	case admit.Forward:
		g.handOn(h)
	case admit.Queue:
		g.hold(h, gate, answer.Until)
	case admit.Reject:
		g.world.refuse()
	}
}

func (g *gated) take(h *hunt, u *upstream, gate *admit.Controller) {
	gate.Admit(g.now())
	if u.refuses() {
		gate.Release(g.now(), admit.Outcome{
			Result:    admit.UpstreamRefused,
			HoldsSlot: true,
		})
		g.handOn(h)
		return
	}
	h.flow.state = &tracked{
		work: admit.NewWork(g.now()),
	}
	g.step(h.flow, u, admit.CallerBytes{})
	g.world.accept(h.flow, u)
}

func (g *gated) handOn(h *hunt) {
	if h.flow.arrived.After(g.world.meter.from) {
		g.world.meter.hops++
	}
	h.position++
	if h.position == len(h.list) {
		h.position = 0
		h.pass++
	}
	g.send(h)
}

func (g *gated) hold(h *hunt, gate *admit.Controller, until time.Time) {
	g.world.change()
	g.world.waiting++
	g.held[h.flow.hash] = h
	gate.Enqueue(admit.Waiter{
		Key:      h.flow.key,
		Deadline: h.deadline,
		Until:    until,
	})
	u := h.list[h.position]
	g.world.clock.At(until, func() { g.serve(u) })
}

// serve asks again for the waiters whose turn it is.
func (g *gated) serve(u *upstream) {
	gate := g.gates[u.index]
	for {
		w, ok := gate.DequeueReady(g.now())
		if !ok {
			return
		}
		h := g.held[w.Key.Hash()]
		delete(g.held, w.Key.Hash())
		g.world.change()
		g.world.waiting--
		g.ask(h, true)
	}
}

func (g *gated) freed(u *upstream) {
	g.serve(u)
}

func (g *gated) reported() {
	for i, u := range g.world.fleet {
		g.gates[i].RecordReport(g.now(), u.slots-u.reportedBusy+g.gates[i].ActiveFlows())
	}
}

func (g *gated) joined(u *upstream) {
	g.gates[u.index].SetRamp(limit.Ramp{
		StartAt: g.now(),
		WarmAt:  g.now().Add(coldFor),
	})
}

func (g *gated) event(f *flow, e flowEvent) {
	switch e {
	case asked:
		g.step(f, f.at, admit.CallerBytes{})
	case answered:
		g.step(f, f.at, admit.UpstreamBytes{})
	case closed:
		g.step(f, f.at, admit.Closed{})
	}
}

// step moves the flow's work on and tells the gate what changed.
func (g *gated) step(f *flow, u *upstream, e admit.Event) {
	work := &f.state.(*tracked).work
	gate := g.gates[u.index]
	switch work.Step(g.now(), e) {
	case admit.WorkBegan:
		gate.BeginWork(g.now())
	case admit.AnswerBegan:
		gate.RecordAnswer(g.now(), work.RequestedAt)
		g.world.clock.At(work.IdleAt, func() { g.step(f, u, admit.IdleTimeout{}) })
	case admit.WorkEnded:
		gate.EndWork(g.now())
		g.serve(u)
	case admit.ClosedActive:
		gate.Release(g.now(), admit.Outcome{
			Result:    admit.Served,
			HoldsSlot: true,
		})
	case admit.ClosedIdle:
		gate.Release(g.now(), admit.Outcome{
			Result: admit.Served,
		})
	}
}
