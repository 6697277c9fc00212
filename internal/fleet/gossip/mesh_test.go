package gossip_test

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/clementinewing/clementinewing/internal/fake/clock"
	"github.com/clementinewing/clementinewing/internal/fake/lossy"
	"github.com/clementinewing/clementinewing/internal/fleet/gossip"
	"github.com/clementinewing/clementinewing/internal/fleet/lease"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/zone"
)

// meshSize is larger than gossip.MaxPeers, so that no balancer has all others as
// peers.
const meshSize = 14

// mesh is a fleet of balancers that gossip over a simulated network.
type mesh struct {
	clock   *clock.Clock
	net     *lossy.Net
	members []*meshMember
}

// meshMember is one balancer of a mesh.
type meshMember struct {
	mesh    *mesh
	name    string
	self    lease.Record
	table   *gossip.Table
	machine *gossip.Gossip
}

func newMesh(c *clock.Clock, random *rand.Rand, net *lossy.Net) *mesh {
	n := &mesh{
		clock: c,
		net:   net,
	}
	for i := range meshSize {
		n.add(random, i)
	}
	for _, m := range n.members {
		for _, other := range n.members {
			m.table.Merge(c.Now(), other.self)
		}
	}
	return n
}

func (n *mesh) add(random *rand.Rand, i int) {
	self := node.Endpoint{
		Service:     lease.BalancerService,
		Agent:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7),
		Incarnation: node.Incarnation(100 + i),
		Place: zone.Place{
			Region: "region",
			Domain: string(rune('a' + i%3)),
		},
		State: node.Serving,
	}
	table := gossip.NewTable()
	m := &meshMember{
		mesh: n,
		name: self.Agent.String(),
		self: lease.Record{
			Endpoint: self,
			Health:   lease.Live,
		},
		table:   table,
		machine: gossip.New(self, table, rand.New(rand.NewPCG(random.Uint64(), 0)), nil),
	}
	n.members = append(n.members, m)
	n.clock.After(time.Duration(i)*time.Millisecond, m.tick)
}

func (m *meshMember) tick() {
	m.mesh.clock.After(100*time.Millisecond, m.tick)
	m.step(gossip.Tick{})
}

// publish merges a record into the member's table and gossips it if it is news.
func (m *meshMember) publish(r lease.Record) {
	if m.table.Merge(m.mesh.clock.Now(), r) {
		m.step(gossip.RecordChanged{
			Key: r.Key(),
		})
	}
}

func (m *meshMember) step(e gossip.Event) {
	for _, a := range m.machine.Step(m.mesh.clock.Now(), e) {
		if s, ok := a.(gossip.Send); ok {
			m.send(s)
		}
	}
}

// send delivers a message and its reply. If either is lost, the sender gets a failure
// after 800 ms.
func (m *meshMember) send(s gossip.Send) {
	n := m.mesh
	done := false
	finish := func(e gossip.Event) {
		if !done {
			done = true
			m.step(e)
		}
	}
	n.clock.After(800*time.Millisecond, func() {
		finish(gossip.SendFailed{
			To: s.To,
		})
	})
	to := n.members[s.To.Addr().As4()[3]]
	n.net.Send(lossy.Direction{
		From: m.name,
		To:   to.name,
	}, func() {
		reply := to.respond(m, s.Message)
		n.net.Send(lossy.Direction{
			From: to.name,
			To:   m.name,
		}, func() {
			finish(gossip.ReplyReceived{
				From:    s.To,
				Message: reply,
			})
		})
	})
}

// respond processes a message and returns the reply.
func (m *meshMember) respond(from *meshMember, message gossip.Message) (out gossip.Message) {
	for _, a := range m.machine.Step(m.mesh.clock.Now(), gossip.MessageReceived{
		From:    from.self.Endpoint.Agent,
		Message: message,
	}) {
		switch a := a.(type) {
		case gossip.SendReply:
			out = a.Message
		case gossip.Send:
			m.send(a)
		}
	}
	return out
}
