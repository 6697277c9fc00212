package fleet

import (
	"maps"
	"net/netip"
	"time"

	"github.com/clementinewing/clementinewing/internal/fake/agent"
	"github.com/clementinewing/clementinewing/internal/flow/admit"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// drainTimeout is the time after which a drain resets the remaining flows.
const drainTimeout = 10 * time.Minute

func agentAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(n >> 8), byte(n)}), 4100)
}

// startKnown starts an endpoint that all agents of its service know at once.
func (f *Fleet) startKnown(service int) *agent.Agent {
	a := f.newAgent(service, agentAddress(f.nextAddress))
	f.nextAddress++
	for _, other := range f.Agents {
		if other.Endpoint.Service == a.Endpoint.Service {
			other.Endpoints[a.Endpoint.Agent] = a.Endpoint
		}
	}
	maps.Copy(a.Endpoints, currentView(f, a))
	return a
}

// currentView returns the running endpoints of the service of an agent.
func currentView(f *Fleet, a *agent.Agent) view {
	v := view{}
	for _, other := range f.Agents {
		if !other.Dead && other.Endpoint.Service == a.Endpoint.Service {
			v[other.Endpoint.Agent] = other.Endpoint
		}
	}
	return v
}

func (f *Fleet) newAgent(service int, at netip.AddrPort) *agent.Agent {
	s := &f.Settings.Services[service]
	e := node.Endpoint{
		Service:     f.ServiceID(service),
		Upstream:    at.String(),
		Agent:       at,
		Incarnation: node.Incarnation(f.Random.Uint64()),
		Weight:      1,
		State:       node.Serving,
		Sequence:    1,
	}
	g := admit.New(s.Limits, admit.WithPolicy(s.Policy))
	a := agent.New(e, g, s.Upstream, f, f.Random, f.Settings.Table...)
	a.FixedList = f.Settings.SingleCandidate
	f.Agents = append(f.Agents, a)
	f.agents[at] = a
	return a
}

// Join starts a new endpoint. The other processes learn of it after the usual delay.
func (f *Fleet) Join(service int) *agent.Agent {
	a := f.newAgent(service, agentAddress(f.nextAddress))
	f.nextAddress++
	maps.Copy(a.Endpoints, currentView(f, a))
	f.announce(a)
	return a
}

// Restart starts a new incarnation at the address of a dead agent, for any service.
func (f *Fleet) Restart(dead *agent.Agent, service int) *agent.Agent {
	a := f.newAgent(service, dead.Endpoint.Agent)
	maps.Copy(a.Endpoints, currentView(f, a))
	f.announce(a)
	return a
}

// announce sends the current state of an endpoint to all balancers and to the agents of
// its service, each after a random delay.
func (f *Fleet) announce(a *agent.Agent) {
	e := a.Endpoint
	for _, b := range f.Balancers {
		f.After(f.randomLag(), func() {
			if b.view.update(e) {
				b.updateServices()
			}
		})
	}
	for _, other := range f.Agents {
		if other.Endpoint.Service == e.Service {
			f.After(f.randomLag(), func() { other.RunOrDefer(func() { view(other.Endpoints).update(e) }) })
		}
	}
}

func (f *Fleet) randomLag() time.Duration {
	if f.Settings.MaxViewDelay <= 0 {
		return 0
	}
	return time.Duration(f.Random.Int64N(int64(f.Settings.MaxViewDelay)))
}

// update applies a newer state of an endpoint and reports whether the view changed. A
// new incarnation at an address replaces the old one. Later announcements of the old
// incarnation are ignored.
func (v view) update(e node.Endpoint) bool {
	old, known := v[e.Agent]
	if known && old.Incarnation == e.Incarnation && old.Sequence >= e.Sequence {
		return false
	}
	if known && old.Incarnation != e.Incarnation && e.Sequence > 1 {
		return false
	}
	if e.State == node.Gone {
		delete(v, e.Agent)
		return known
	}
	v[e.Agent] = e
	return true
}

// announceState sets and announces a new state of an endpoint.
func (f *Fleet) announceState(a *agent.Agent, s node.State) {
	a.Endpoint.State = s
	a.Endpoint.Sequence++
	f.announce(a)
}

// Drain stops an endpoint gracefully. It is gone once it is drained.
func (f *Fleet) Drain(a *agent.Agent) {
	a.Drain(f.Now().Add(drainTimeout))
	f.announceState(a, node.Draining)
	f.stopWhenDrained(a)
}

func (f *Fleet) stopWhenDrained(a *agent.Agent) {
	if _, drained := f.Record.DrainedAt[a]; !drained {
		f.After(100*time.Millisecond, func() { f.stopWhenDrained(a) })
		return
	}
	f.announceState(a, node.Gone)
	a.Kill()
}

// Kill ends an endpoint without an announcement. Its lease expires, and then it stays
// listed for a while as draining, so that it gets no new flows.
func (f *Fleet) Kill(a *agent.Agent) {
	a.Kill()
	f.After(f.Settings.LeaseTTL, func() { f.announceState(a, node.Draining) })
	f.After(f.Settings.LeaseTTL+f.Settings.ListingTTL, func() { f.announceState(a, node.Gone) })
}

// Pause pauses a process for the given time. It is announced as draining if its lease
// expires meanwhile.
func (f *Fleet) Pause(a *agent.Agent, wait time.Duration) {
	a.Pause()
	expired := wait > f.Settings.LeaseTTL
	if expired {
		f.After(f.Settings.LeaseTTL, func() { f.announceState(a, node.Draining) })
	}
	f.After(wait, func() {
		a.Resume()
		if expired && !a.Dead {
			f.announceState(a, node.Serving)
		}
	})
}

// KillBalancer ends a balancer at once.
func (f *Fleet) KillBalancer(b *Balancer) {
	b.Dead = true
}

// HideEndpoint removes an endpoint from the view of a balancer for the given time.
func (f *Fleet) HideEndpoint(b *Balancer, a *agent.Agent, wait time.Duration) {
	delete(b.view, a.Endpoint.Agent)
	b.updateServices()
	f.After(wait, func() {
		if !a.Dead {
			b.view.update(a.Endpoint)
			b.updateServices()
		}
	})
}

// SetLimits changes the admission limits of one endpoint.
func SetLimits(a *agent.Agent, slots, connections int) {
	a.Admission.SetLimits(admit.Limits{
		Slots:       slots,
		Connections: connections,
	})
}

// Draining reports whether an endpoint is announced as draining or gone.
func (f *Fleet) Draining(a *agent.Agent) bool {
	return a.Endpoint.State == node.Draining || a.Endpoint.State == node.Gone
}
