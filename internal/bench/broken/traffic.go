// Package broken measures what happens to flows while machines change: flows
// broken and work run twice (Run), how fast an upstream that leaves is left alone
// (Drain), and what a packet and a flow cost (Hops). Everything decided is decided
// by the shipped state machines, over one fake clock and one seeded fake link.
package broken

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/fake/agent"
	"github.com/clementinewing/clementinewing/internal/fake/fleet"
	"github.com/clementinewing/clementinewing/internal/fake/stack"
	"github.com/clementinewing/clementinewing/internal/flow/admit"
)

const (
	// lag is the longest time in which views follow a change, lease and keep how
	// long an endpoint that has died is thought present, and then listed.
	lag   = 3 * time.Second
	lease = 3 * time.Second
	keep  = 60 * time.Second
	// requestEvery is the pause between two requests of a long flow.
	requestEvery = time.Second
	// partTime is what each of the parts of an answer takes.
	partTime = 20 * time.Millisecond
	parts    = 4
	// connections is what an endpoint may hold.
	connections = 2000
)

// deployment is one of the two that the system runs at.
type deployment struct {
	name  string
	delay time.Duration
	// endpoints are those of each service, slots those of each endpoint.
	endpoints [2]int
	slots     int
	balancers int
	// long flows stay; short ones come with every between them on average.
	long  int
	every time.Duration
}

var deployments = []deployment{
	{
		name:      "suedhang",
		delay:     time.Millisecond,
		endpoints: [2]int{7, 3},
		slots:     7,
		balancers: 3,
		long:      60,
		every:     4 * time.Millisecond,
	},
	{
		name:      "nile_roll",
		delay:     3 * time.Millisecond,
		endpoints: [2]int{7, 4},
		slots:     5,
		balancers: 4,
		long:      60,
		every:     4 * time.Millisecond,
	},
}

// traffic is a fleet under load.
type traffic struct {
	*fleet.Fleet
	next    int
	killed  map[*agent.Agent]bool
	stopped bool
}

func (d deployment) start(seed uint64) *traffic {
	return d.startWith(seed, false)
}

// startWith starts plain hashing, without hand-overs, if alone.
func (d deployment) startWith(seed uint64, alone bool) *traffic {
	var services []fleet.Service
	for i, name := range []string{"first", "second"} {
		services = append(services, fleet.Service{
			Name:      name,
			Endpoints: d.endpoints[i],
			Limits: admit.Limits{
				Slots:       d.slots,
				Connections: connections,
			},
			Upstream: agent.Upstream{
				ConnectTime: time.Millisecond,
				WorkTime:    partTime,
				Parts:       parts,
			},
		})
	}
	return &traffic{
		Fleet: fleet.New(seed, fleet.Settings{
			Balancers: d.balancers,
			Services:  services,
			Delay:     d.delay,
			Jitter:    d.delay,
			Loss:      0.001,
			Double:    0.001,
			Lag:       lag,
			Lease:     lease,
			Keep:      keep,
			Alone:     alone,
		}),
		killed: map[*agent.Agent]bool{},
	}
}

// call starts a flow of so many requests.
func (t *traffic) call(service, requests int) {
	n := t.next
	t.next++
	t.Call(stack.Plan{
		Key:      fleet.Key(service, n),
		First:    uint64(n) * 1000,
		Requests: requests,
		Parts:    parts,
		Pause:    requestEvery,
	}, func(*stack.Caller) {})
}

// load starts long flows of so many requests at once, and short ones at a steady
// rate until stopped.
func (t *traffic) load(d deployment, requests int) {
	for range d.long {
		service := t.Random.IntN(2)
		t.After(time.Duration(t.Random.Int64N(int64(time.Second))), func() { t.call(service, requests) })
	}
	t.short(d.every)
}

func (t *traffic) short(every time.Duration) {
	if t.stopped {
		return
	}
	t.call(t.Random.IntN(2), 1)
	t.After(time.Duration(t.Random.ExpFloat64()*float64(every)), func() { t.short(every) })
}

// serving lists the endpoints of a service that are not leaving.
func (t *traffic) serving(service int) (out []*agent.Agent) {
	for _, a := range t.Agents {
		if !a.Dead && a.Endpoint.Service == t.ServiceID(service) && !t.Leaving(a) {
			out = append(out, a)
		}
	}
	return out
}

// settle lets every caller come to its end.
func (t *traffic) settle() {
	t.stopped = true
	for range 300 {
		t.Run(time.Second)
		if !t.waiting() {
			return
		}
	}
}

func (t *traffic) waiting() bool {
	for _, c := range t.Callers {
		if c.Alive() {
			return true
		}
	}
	return false
}

// verdict counts what callers saw and upstreams did.
type verdict struct {
	opened, planned, own, refused, unanswered, foreign, doubled, falseNotRun int
}

func (t *traffic) judge() (v verdict) {
	for _, c := range t.Callers {
		t.judgeCaller(c, &v)
	}
	for _, runs := range t.Record.Runs {
		if runs > 1 {
			v.doubled++
		}
	}
	return v
}

func (t *traffic) judgeCaller(c *stack.Caller, v *verdict) {
	if c.Established() {
		v.opened++
	}
	v.foreign += c.Foreign
	switch c.Outcome {
	case stack.Broken, stack.Waiting:
		if t.Lost(c.Plan.Key, t.killed) {
			v.own++
		} else {
			v.planned++
		}
	case stack.Refused:
		v.refused++
		for i := range c.Plan.Requests {
			v.falseNotRun += t.Record.Runs[c.Plan.First+uint64(i)]
		}
	case stack.Unanswered:
		v.unanswered++
	}
}
