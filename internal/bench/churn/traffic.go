// Package churn measures what happens to flows while machines change: broken flows
// and requests that run twice (Run), how soon a draining upstream gets no new flows
// (Drain), and the cost of a packet and of a flow (Hops). All decisions come from
// the state machines of the product, over one fake clock and one seeded fake link.
package churn

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/fake/agent"
	"github.com/clementinewing/clementinewing/internal/fake/fleet"
	"github.com/clementinewing/clementinewing/internal/fake/stack"
	"github.com/clementinewing/clementinewing/internal/flow/admit"
)

const (
	// maxViewDelay is the longest delay until a view reflects a change. An endpoint
	// that died counts as present for leaseTTL and stays listed for listingTTL.
	maxViewDelay = 3 * time.Second
	leaseTTL     = 3 * time.Second
	listingTTL   = 60 * time.Second
	// requestInterval is the pause between two requests of a long flow.
	requestInterval = time.Second
	// partDuration is the time that each part of an answer takes.
	partDuration = 20 * time.Millisecond
	partCount    = 4
	// maxConnections is the number of connections that an endpoint may hold.
	maxConnections = 2000
)

// deployment is the size of one of the two deployments of the system.
type deployment struct {
	name  string
	delay time.Duration
	// endpoints is the number of endpoints of each service, slots the number of
	// slots of each endpoint.
	endpoints [2]int
	slots     int
	balancers int
	// longFlows is the number of long flows; shortFlowInterval is the mean time
	// between two short ones.
	longFlows         int
	shortFlowInterval time.Duration
}

var deployments = []deployment{
	{
		name:              "suedhang",
		delay:             time.Millisecond,
		endpoints:         [2]int{7, 3},
		slots:             7,
		balancers:         3,
		longFlows:         60,
		shortFlowInterval: 4 * time.Millisecond,
	},
	{
		name:              "nile_roll",
		delay:             3 * time.Millisecond,
		endpoints:         [2]int{7, 4},
		slots:             5,
		balancers:         4,
		longFlows:         60,
		shortFlowInterval: 4 * time.Millisecond,
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

// startWith starts the deployment; with plain hashing and no forwards if plainHash.
func (d deployment) startWith(seed uint64, plainHash bool) *traffic {
	var services []fleet.Service
	for i, name := range []string{"first", "second"} {
		services = append(services, fleet.Service{
			Name:      name,
			Endpoints: d.endpoints[i],
			Limits: admit.Limits{
				Slots:       d.slots,
				Connections: maxConnections,
			},
			Upstream: agent.Upstream{
				ConnectTime: time.Millisecond,
				WorkTime:    partDuration,
				Parts:       partCount,
			},
		})
	}
	return &traffic{
		Fleet: fleet.New(seed, fleet.Settings{
			Balancers:       d.balancers,
			Services:        services,
			Delay:           d.delay,
			Jitter:          d.delay,
			Loss:            0.001,
			Duplicate:       0.001,
			MaxViewDelay:    maxViewDelay,
			LeaseTTL:        leaseTTL,
			ListingTTL:      listingTTL,
			SingleCandidate: plainHash,
		}),
		killed: map[*agent.Agent]bool{},
	}
}

// startFlow starts a flow with the given number of requests.
func (t *traffic) startFlow(service, requests int) {
	n := t.next
	t.next++
	t.Call(stack.Workload{
		Key:          fleet.Key(service, n),
		FirstRequest: uint64(n) * 1000,
		Requests:     requests,
		Parts:        partCount,
		Pause:        requestInterval,
	}, func(*stack.Caller) {})
}

// startLoad starts all long flows, each with the given number of requests, and short
// flows at a steady rate until stopped.
func (t *traffic) startLoad(d deployment, requests int) {
	for range d.longFlows {
		service := t.Random.IntN(2)
		t.After(time.Duration(t.Random.Int64N(int64(time.Second))), func() { t.startFlow(service, requests) })
	}
	t.startShortFlows(d.shortFlowInterval)
}

func (t *traffic) startShortFlows(every time.Duration) {
	if t.stopped {
		return
	}
	t.startFlow(t.Random.IntN(2), 1)
	t.After(time.Duration(t.Random.ExpFloat64()*float64(every)), func() { t.startShortFlows(every) })
}

// serving returns the endpoints of a service that are not draining.
func (t *traffic) serving(service int) (out []*agent.Agent) {
	for _, a := range t.Agents {
		if !a.Dead && a.Endpoint.Service == t.ServiceID(service) && !t.Draining(a) {
			out = append(out, a)
		}
	}
	return out
}

// awaitCallers stops the load and runs until every caller has ended, at most 300 s.
func (t *traffic) awaitCallers() {
	t.stopped = true
	for range 300 {
		t.Run(time.Second)
		if !t.callersActive() {
			return
		}
	}
}

func (t *traffic) callersActive() bool {
	for _, c := range t.Callers {
		if c.Alive() {
			return true
		}
	}
	return false
}

// outcomes counts what callers observed and how often upstreams ran requests.
type outcomes struct {
	opened, planned, byOwnDeath, refused, unanswered, foreign, doubled, falseNotRun int
}

func (t *traffic) countOutcomes() (v outcomes) {
	for _, c := range t.Callers {
		t.countCaller(c, &v)
	}
	for _, runs := range t.Record.Runs {
		if runs > 1 {
			v.doubled++
		}
	}
	return v
}

func (t *traffic) countCaller(c *stack.Caller, v *outcomes) {
	if c.Established() {
		v.opened++
	}
	v.foreign += c.ForeignParts
	switch c.Outcome {
	case stack.Broken, stack.Pending:
		if t.HeldByAny(c.Workload.Key, t.killed) {
			v.byOwnDeath++
		} else {
			v.planned++
		}
	case stack.Refused:
		v.refused++
		for i := range c.Workload.Requests {
			v.falseNotRun += t.Record.Runs[c.Workload.FirstRequest+uint64(i)]
		}
	case stack.Unanswered:
		v.unanswered++
	}
}
