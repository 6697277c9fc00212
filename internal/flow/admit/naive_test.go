package admit_test

import (
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/clementinewing/clementinewing/internal/flow/admit"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// naive admits for a whole service with one lock and one count a flow.
type naive struct {
	sync.Mutex
	limits admit.Limits
	flows  []holding
	// waiting are the openings held at each endpoint.
	waiting []int
}

// holding is one flow of the naive version.
type holding struct {
	at   int
	busy bool
}

func (n *naive) room(at int) bool {
	n.Lock()
	defer n.Unlock()
	busy, flows := 0, 0
	for _, f := range n.flows {
		if f.at != at {
			continue
		}
		flows++
		if f.busy {
			busy++
		}
	}
	return busy+n.waiting[at] < n.limits.Slots && flows < n.limits.Connections
}

func (n *naive) anyRoom() bool {
	for at := range n.waiting {
		if n.room(at) {
			return true
		}
	}
	return false
}

// fleet walks openings along the gates of a service, as side processes do.
type fleet struct {
	gates []*admit.Gate
	naive *naive
	now   time.Time
	opens uint32
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{
		now: time.Unix(0, 0),
		naive: &naive{
			limits: admit.Limits{
				Slots:       rapid.IntRange(1, 4).Draw(t, "slots"),
				Connections: rapid.IntRange(1, 6).Draw(t, "connections"),
			},
		},
	}
	policy := rapid.SampledFrom([]admit.Policy{admit.Few(), admit.Even()}).Draw(t, "policy")
	for range rapid.IntRange(1, 4).Draw(t, "endpoints") {
		f.gates = append(f.gates, admit.New(f.naive.limits, admit.WithPolicy(policy)))
		f.naive.waiting = append(f.naive.waiting, 0)
	}
	return f
}

// open walks one opening up to two times along the list from a drawn start.
func (f *fleet) open(t *rapid.T) {
	room := f.naive.anyRoom()
	start := rapid.IntRange(0, len(f.gates)-1).Draw(t, "start")
	for step := range 2 * len(f.gates) {
		at := (start + step) % len(f.gates)
		had := f.naive.room(at)
		answer := f.gates[at].Ask(f.now, f.at(step))
		switch answer.Next {
		case admit.Taken:
			if !had {
				t.Fatalf("endpoint %d took an opening above its limit", at)
			}
			f.gates[at].Take(f.now)
			f.naive.flows = append(f.naive.flows, holding{
				at:   at,
				busy: true,
			})
			return
		case admit.Hold, admit.Refuse:
			if had {
				t.Fatalf("endpoint %d has room and answers %s", at, answer.Reason)
			}
			if step >= len(f.gates)-1 && !f.evenWalkLeft(step, room) {
				f.end(t, at, answer, room)
				return
			}
		}
	}
	if room {
		t.Fatal("an endpoint has room and none took the opening")
	}
}

// evenWalkLeft tells that room was passed by on the first walk, as an even
// policy does, and that the second walk is not over.
func (f *fleet) evenWalkLeft(step int, room bool) bool {
	return room && step < 2*len(f.gates)-1
}

func (f *fleet) end(t *rapid.T, at int, answer admit.Answer, room bool) {
	if room {
		t.Fatalf("held or refused for %s though an endpoint has room", answer.Reason)
	}
	if answer.Next == admit.Hold {
		f.opens++
		f.gates[at].Wait(admit.Waiter{
			Key: link.Key{
				Caller: f.opens,
			},
			Until: answer.Until,
		})
		f.naive.waiting[at]++
	}
}

func (f *fleet) at(step int) admit.Ask {
	return admit.Ask{
		Position:   step % len(f.gates),
		Candidates: len(f.gates),
		Pass:       step / len(f.gates),
		Last:       step%len(f.gates) == len(f.gates)-1,
		Deadline:   f.now.Add(time.Second),
	}
}

// close ends a drawn flow and lets waiters in.
func (f *fleet) close(t *rapid.T) {
	if len(f.naive.flows) == 0 {
		t.Skip("no flow")
	}
	i := rapid.IntRange(0, len(f.naive.flows)-1).Draw(t, "flow")
	h := f.naive.flows[i]
	f.naive.flows = append(f.naive.flows[:i], f.naive.flows[i+1:]...)
	f.gates[h.at].Release(f.now, admit.Outcome{
		Result:  admit.Served,
		Working: h.busy,
	})
	f.serve(t, h.at)
}

// turn lets a drawn flow become busy or quiet.
func (f *fleet) turn(t *rapid.T) {
	if len(f.naive.flows) == 0 {
		t.Skip("no flow")
	}
	h := &f.naive.flows[rapid.IntRange(0, len(f.naive.flows)-1).Draw(t, "flow")]
	h.busy = !h.busy
	if h.busy {
		f.gates[h.at].Busy(f.now)
		return
	}
	f.gates[h.at].Idle(f.now)
	f.serve(t, h.at)
}

func (f *fleet) serve(t *rapid.T, at int) {
	for {
		_, ok := f.gates[at].Ready(f.now)
		if !ok {
			return
		}
		f.naive.waiting[at]--
		answer := f.gates[at].Ask(f.now, admit.Ask{
			Candidates: len(f.gates),
			Held:       true,
			Deadline:   f.now.Add(time.Second),
		})
		if !answer.Take {
			t.Fatalf("a waiter was called and not taken: %s", answer.Reason)
		}
		f.gates[at].Take(f.now)
		f.naive.flows = append(f.naive.flows, holding{
			at:   at,
			busy: true,
		})
	}
}

func (f *fleet) check(t *rapid.T) {
	busy, flows := make([]int, len(f.gates)), make([]int, len(f.gates))
	for _, h := range f.naive.flows {
		flows[h.at]++
		if h.busy {
			busy[h.at]++
		}
	}
	for at, g := range f.gates {
		if g.InHand() != busy[at] || g.Flows() != flows[at] || g.Waiting() != f.naive.waiting[at] {
			t.Fatalf("endpoint %d counts %d of %d busy, %d of %d flows, %d of %d waiting",
				at, g.InHand(), busy[at], g.Flows(), flows[at], g.Waiting(), f.naive.waiting[at])
		}
	}
}

func TestGatesAgreeWithOneCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		t.Repeat(map[string]func(*rapid.T){
			"open":  f.open,
			"close": f.close,
			"turn":  f.turn,
			"":      f.check,
		})
	})
}
