package admit_test

import (
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/clementinewing/clementinewing/internal/flow/admit"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// reference is the reference model: admission for a whole service with one lock and a
// list of all flows.
type reference struct {
	sync.Mutex
	limits admit.Limits
	flows  []openFlow
	// queued is the number of queued flows at each endpoint.
	queued []int
}

// openFlow is one flow of the reference model.
type openFlow struct {
	at     int
	active bool
}

func (r *reference) hasCapacity(at int) bool {
	r.Lock()
	defer r.Unlock()
	active, flows := 0, 0
	for _, f := range r.flows {
		if f.at != at {
			continue
		}
		flows++
		if f.active {
			active++
		}
	}
	return active+r.queued[at] < r.limits.Slots && flows < r.limits.Connections
}

func (r *reference) anyCapacity() bool {
	for at := range r.queued {
		if r.hasCapacity(at) {
			return true
		}
	}
	return false
}

// fleet offers new flows to the admission controllers of a service, as agents do.
type fleet struct {
	controllers []*admit.Controller
	model       *reference
	now         time.Time
	flowsOpened uint32
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{
		now: time.Unix(0, 0),
		model: &reference{
			limits: admit.Limits{
				Slots:       rapid.IntRange(1, 4).Draw(t, "slots"),
				Connections: rapid.IntRange(1, 6).Draw(t, "connections"),
			},
		},
	}
	policy := rapid.SampledFrom([]admit.Policy{admit.ForwardWhenFull(), admit.ForwardEarly()}).Draw(t, "policy")
	for range rapid.IntRange(1, 4).Draw(t, "endpoints") {
		f.controllers = append(f.controllers, admit.New(f.model.limits, admit.WithPolicy(policy)))
		f.model.queued = append(f.model.queued, 0)
	}
	return f
}

// open offers one new flow to the candidates for up to two rounds over the list, from
// a drawn start.
func (f *fleet) open(t *rapid.T) {
	capacity := f.model.anyCapacity()
	start := rapid.IntRange(0, len(f.controllers)-1).Draw(t, "start")
	for step := range 2 * len(f.controllers) {
		at := (start + step) % len(f.controllers)
		had := f.model.hasCapacity(at)
		decision := f.controllers[at].Decide(f.now, f.request(step))
		switch decision.Action {
		case admit.Admit:
			if !had {
				t.Fatalf("endpoint %d admits a flow above its limit", at)
			}
			f.controllers[at].Admit(f.now)
			f.model.flows = append(f.model.flows, openFlow{
				at:     at,
				active: true,
			})
			return
		case admit.Queue, admit.Reject:
			if had {
				t.Fatalf("endpoint %d has capacity but decides %s", at, decision.Reason)
			}
			if step >= len(f.controllers)-1 && !f.capacityLeftForSecondRound(step, capacity) {
				f.finishUnadmitted(t, at, decision, capacity)
				return
			}
		}
	}
	if capacity {
		t.Fatal("an endpoint has capacity and none admitted the flow")
	}
}

// capacityLeftForSecondRound reports whether the first round left capacity unused, as
// the policy ForwardEarly does, and the second round isn't over.
func (f *fleet) capacityLeftForSecondRound(step int, capacity bool) bool {
	return capacity && step < 2*len(f.controllers)-1
}

func (f *fleet) finishUnadmitted(t *rapid.T, at int, decision admit.Decision, capacity bool) {
	if capacity {
		t.Fatalf("flow queued or rejected for %s though an endpoint has capacity", decision.Reason)
	}
	if decision.Action == admit.Queue {
		f.flowsOpened++
		f.controllers[at].Enqueue(admit.Waiter{
			Key: link.Key{
				Caller: f.flowsOpened,
			},
			Until: decision.Until,
		})
		f.model.queued[at]++
	}
}

func (f *fleet) request(step int) admit.Request {
	return admit.Request{
		Position:   step % len(f.controllers),
		Candidates: len(f.controllers),
		Round:      step / len(f.controllers),
		Last:       step%len(f.controllers) == len(f.controllers)-1,
		Deadline:   f.now.Add(time.Second),
	}
}

// close ends a drawn flow and admits the waiters that then fit.
func (f *fleet) close(t *rapid.T) {
	if len(f.model.flows) == 0 {
		t.Skip("no flow")
	}
	i := rapid.IntRange(0, len(f.model.flows)-1).Draw(t, "flow")
	h := f.model.flows[i]
	f.model.flows = append(f.model.flows[:i], f.model.flows[i+1:]...)
	f.controllers[h.at].Release(f.now, admit.Outcome{
		Result:    admit.Served,
		HoldsSlot: h.active,
	})
	f.admitWaiters(t, h.at)
}

// toggle makes a drawn flow active or idle.
func (f *fleet) toggle(t *rapid.T) {
	if len(f.model.flows) == 0 {
		t.Skip("no flow")
	}
	h := &f.model.flows[rapid.IntRange(0, len(f.model.flows)-1).Draw(t, "flow")]
	h.active = !h.active
	if h.active {
		f.controllers[h.at].BeginWork(f.now)
		return
	}
	f.controllers[h.at].EndWork(f.now)
	f.admitWaiters(t, h.at)
}

func (f *fleet) admitWaiters(t *rapid.T, at int) {
	for {
		_, ok := f.controllers[at].DequeueReady(f.now)
		if !ok {
			return
		}
		f.model.queued[at]--
		decision := f.controllers[at].Decide(f.now, admit.Request{
			Candidates: len(f.controllers),
			Queued:     true,
			Deadline:   f.now.Add(time.Second),
		})
		if !decision.Admitted {
			t.Fatalf("a dequeued waiter was not admitted: %s", decision.Reason)
		}
		f.controllers[at].Admit(f.now)
		f.model.flows = append(f.model.flows, openFlow{
			at:     at,
			active: true,
		})
	}
}

func (f *fleet) check(t *rapid.T) {
	active, flows := make([]int, len(f.controllers)), make([]int, len(f.controllers))
	for _, h := range f.model.flows {
		flows[h.at]++
		if h.active {
			active[h.at]++
		}
	}
	for at, g := range f.controllers {
		if g.ActiveFlows() != active[at] || g.Flows() != flows[at] || g.QueueLength() != f.model.queued[at] {
			t.Fatalf("endpoint %d counts %d of %d active, %d of %d open, %d of %d queued flows",
				at, g.ActiveFlows(), active[at], g.Flows(), flows[at], g.QueueLength(), f.model.queued[at])
		}
	}
}

func TestControllersAgreeWithReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		t.Repeat(map[string]func(*rapid.T){
			"open":  f.open,
			"close": f.close,
			"turn":  f.toggle,
			"":      f.check,
		})
	})
}
