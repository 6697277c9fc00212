package fleet

import (
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/clementinewing/clementinewing/internal/fake/agent"
	"github.com/clementinewing/clementinewing/internal/fake/stack"
	"github.com/clementinewing/clementinewing/internal/flow/probe"
	"github.com/clementinewing/clementinewing/internal/flow/steer"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

const (
	tickInterval    = 50 * time.Millisecond
	maxSteerEntries = 512
)

// Balancer simulates a balancer VM with the production decision code and its own view
// of the endpoints.
type Balancer struct {
	Name    string
	Address netip.AddrPort
	Dead    bool

	fleet    *Fleet
	steer    *steer.Steerer
	peers    *probe.Peers
	view     view
	silent   []netip.AddrPort
	decision steer.Decision
}

// view holds the endpoints known to a process by the address of their agent.
type view map[netip.AddrPort]node.Endpoint

// AddBalancer starts a balancer that knows the endpoints that run now.
func (f *Fleet) AddBalancer() *Balancer {
	n := len(f.Balancers)
	b := &Balancer{
		Name:    "balancer" + strconv.Itoa(n),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 4000),
		fleet:   f,
		steer: steer.New(
			steer.WithMaxOwners(maxSteerEntries),
			steer.WithMaxOpenings(maxSteerEntries),
		),
		peers: probe.New(),
		view:  view{},
	}
	for _, a := range f.Agents {
		if !a.Dead {
			b.view[a.Endpoint.Agent] = a.Endpoint
		}
	}
	b.updateServices()
	f.Balancers = append(f.Balancers, b)
	f.After(tickInterval, b.tick)
	return b
}

// updateServices passes the view and the silent agents to the steerer.
func (b *Balancer) updateServices() {
	s := steer.Snapshot{
		SilentAgents: b.silent,
	}
	for i, service := range b.fleet.Settings.Services {
		s.Services = append(s.Services, steer.Service{
			ID:        b.fleet.ServiceID(i),
			Address:   Target(i),
			Protocol:  spec.TCP,
			Endpoints: b.view.endpointsOf(spec.NewServiceID(service.Name)),
		})
	}
	b.steer.SetServices(s)
}

// endpointsOf returns the endpoints of a service in the order of their addresses.
func (v view) endpointsOf(service spec.ServiceID) (out []node.Endpoint) {
	for _, e := range v {
		if e.Service == service {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(x, y node.Endpoint) int { return x.Agent.Compare(y.Agent) })
	return out
}

func (b *Balancer) tick() {
	if b.Dead {
		return
	}
	b.probe(probe.Tick{})
	if silent := b.silentPeers(); !slices.Equal(silent, b.silent) {
		b.silent = silent
		b.updateServices()
	}
	b.fleet.After(tickInterval, b.tick)
}

// silentPeers returns the agents that do not answer probes, in the order of their
// addresses.
func (b *Balancer) silentPeers() (out []netip.AddrPort) {
	for at := range b.view {
		if b.peers.Silent(at) {
			out = append(out, at)
		}
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out
}

func (b *Balancer) probe(e probe.Event) {
	for _, action := range b.peers.Step(b.fleet.Now(), e, nil) {
		switch action := action.(type) {
		case probe.SendProbe:
			b.fleet.SendProbe(b.Address, action.Peer)
		case probe.ReopenLink:
			b.fleet.ReopenLink(b.Address, action.Peer)
		}
	}
}

func (b *Balancer) probeAnswered(peer netip.AddrPort) {
	b.probe(probe.Answered{
		Peer: peer,
	})
}

// keepHint keeps the owner of a flow. A hint for an endpoint that this balancer does not
// know yet is ignored; the packets then follow the ranked order.
func (b *Balancer) keepHint(key link.Key, owner node.Incarnation) {
	_ = b.steer.Hint(b.fleet.Now(), key, owner)
}

// receive sends a packet of a caller to its first candidate.
func (b *Balancer) receive(g stack.Segment) {
	if b.Dead {
		return
	}
	d := &b.decision
	batch := []steer.Arrival{
		{
			Packet: g.Packet,
		},
	}
	b.steer.Prepare(batch)
	if err := b.steer.Decide(b.fleet.Now(), &batch[0], d); err != nil {
		return
	}
	b.fleet.Record.FabricPackets++
	if b.fleet.Settings.SingleCandidate {
		d.Order = d.Order[:1]
	}
	m := agent.Message{
		Segment:  g,
		Service:  d.Service,
		Balancer: b.Address,
	}
	for _, i := range d.Order {
		m.Candidates = append(m.Candidates, d.Endpoints[i])
	}
	to := m.Candidates[0].Agent
	b.fleet.sendMessage(b.Address, to, m)
	b.probe(probe.PacketSent{
		Peer: to,
	})
}
