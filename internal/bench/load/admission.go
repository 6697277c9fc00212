package load

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/flow/admit"
	"github.com/clementinewing/clementinewing/internal/flow/limit"
)

// admissionPlacer offers a flow along its ranked list, with the admission
// controller of the product.
type admissionPlacer struct {
	sim         *simulation
	controllers []*admit.Controller
	// queued holds the queued openings by the hash of their key.
	queued map[uint64]*attempt
}

// attempt is one opening that is offered along the candidate list.
type attempt struct {
	flow     *flow
	list     []*upstream
	position int
	round    int
	deadline time.Time
}

// flowWork is the agent's state of an accepted flow.
type flowWork struct {
	work admit.Work
}

// withAdmission returns the placer that uses the product's admission controller.
func withAdmission(p admit.Policy) func(*simulation) placer {
	return func(s *simulation) placer {
		g := &admissionPlacer{
			sim:    s,
			queued: map[uint64]*attempt{},
		}
		for range s.fleet {
			g.controllers = append(g.controllers, admit.New(admit.Limits{
				Slots:       s.size.Slots,
				Connections: s.size.Connections,
			}, admit.WithPolicy(p)))
		}
		return g
	}
}

func (g *admissionPlacer) now() time.Time {
	return g.sim.clock.Now()
}

func (g *admissionPlacer) open(f *flow) {
	h := &attempt{
		flow:     f,
		list:     g.sim.ranked(f),
		deadline: g.now().Add(queueTimeout),
	}
	g.send(h)
}

func (g *admissionPlacer) send(h *attempt) {
	g.sim.net.Send(wayTo(h.list[h.position]), func() { g.decide(h, false) })
}

func (g *admissionPlacer) decide(h *attempt, queued bool) {
	u := h.list[h.position]
	controller := g.controllers[u.index]
	decision := controller.Decide(g.now(), admit.Request{
		Position:   h.position,
		Candidates: len(h.list),
		Round:      h.round,
		Last:       h.position == len(h.list)-1,
		Queued:     queued,
		Deadline:   h.deadline,
	})
	switch decision.Action {
	case admit.Admit:
		g.admit(h, u, controller)
	case admit.Forward:
		g.forward(h)
	case admit.Queue:
		g.enqueue(h, controller, decision.Until)
	case admit.Reject:
		g.sim.recordRefusal()
	}
}

func (g *admissionPlacer) admit(h *attempt, u *upstream, controller *admit.Controller) {
	controller.Admit(g.now())
	if u.refuses() {
		controller.Release(g.now(), admit.Outcome{
			Result:    admit.UpstreamRefused,
			HoldsSlot: true,
		})
		g.forward(h)
		return
	}
	h.flow.state = &flowWork{
		work: admit.NewWork(g.now()),
	}
	g.stepWork(h.flow, u, admit.CallerBytes{})
	g.sim.accept(h.flow, u)
}

func (g *admissionPlacer) forward(h *attempt) {
	if h.flow.arrivedAt.After(g.sim.meter.startAt) {
		g.sim.meter.forwards++
	}
	h.position++
	if h.position == len(h.list) {
		h.position = 0
		h.round++
	}
	g.send(h)
}

func (g *admissionPlacer) enqueue(h *attempt, controller *admit.Controller, until time.Time) {
	g.sim.advanceMeter()
	g.sim.waiting++
	g.queued[h.flow.hash] = h
	controller.Enqueue(admit.Waiter{
		Key:      h.flow.key,
		Deadline: h.deadline,
		Until:    until,
	})
	u := h.list[h.position]
	g.sim.clock.At(until, func() { g.dequeueReady(u) })
}

// dequeueReady decides again on the queued openings that are due.
func (g *admissionPlacer) dequeueReady(u *upstream) {
	controller := g.controllers[u.index]
	for {
		w, ok := controller.DequeueReady(g.now())
		if !ok {
			return
		}
		h := g.queued[w.Key.Hash()]
		delete(g.queued, w.Key.Hash())
		g.sim.advanceMeter()
		g.sim.waiting--
		g.decide(h, true)
	}
}

func (g *admissionPlacer) capacityFreed(u *upstream) {
	g.dequeueReady(u)
}

func (g *admissionPlacer) loadReported() {
	for i, u := range g.sim.fleet {
		g.controllers[i].RecordReport(g.now(), u.slots-u.reportedBusy+g.controllers[i].ActiveFlows())
	}
}

func (g *admissionPlacer) upstreamJoined(u *upstream) {
	g.controllers[u.index].SetRamp(limit.Ramp{
		StartAt: g.now(),
		WarmAt:  g.now().Add(coldStartDuration),
	})
}

func (g *admissionPlacer) flowChanged(f *flow, e flowEvent) {
	switch e {
	case requestSent:
		g.stepWork(f, f.upstream, admit.CallerBytes{})
	case answered:
		g.stepWork(f, f.upstream, admit.UpstreamBytes{})
	case closed:
		g.stepWork(f, f.upstream, admit.Closed{})
	}
}

// stepWork applies an event to the flow's work and reports the change to the
// admission controller.
func (g *admissionPlacer) stepWork(f *flow, u *upstream, e admit.Event) {
	work := &f.state.(*flowWork).work
	controller := g.controllers[u.index]
	switch work.Step(g.now(), e) {
	case admit.WorkBegan:
		controller.BeginWork(g.now())
	case admit.AnswerBegan:
		controller.RecordAnswer(g.now(), work.RequestedAt)
		g.sim.clock.At(work.IdleAt, func() { g.stepWork(f, u, admit.IdleTimeout{}) })
	case admit.WorkEnded:
		controller.EndWork(g.now())
		g.dequeueReady(u)
	case admit.ClosedActive:
		controller.Release(g.now(), admit.Outcome{
			Result:    admit.Served,
			HoldsSlot: true,
		})
	case admit.ClosedIdle:
		controller.Release(g.now(), admit.Outcome{
			Result: admit.Served,
		})
	}
}
