package fleet

import (
	"net/netip"
	"strconv"

	"github.com/clementinewing/clementinewing/internal/fake/agent"
	"github.com/clementinewing/clementinewing/internal/fake/lossy"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// linkEnds identifies the link that the process from opened to the process to.
type linkEnds struct {
	from netip.AddrPort
	to   netip.AddrPort
}

// socketLink is the current link between two ends: a socket with its own source port. Every
// reopened link has a new generation.
type socketLink struct {
	generation int
	way        lossy.Direction
}

func (f *Fleet) socketLink(p linkEnds) *socketLink {
	w := f.links[p]
	if w == nil {
		w = &socketLink{
			way: lossy.Direction{
				From: p.from.String(),
				To:   p.to.String(),
			},
		}
		f.links[p] = w
	}
	return w
}

// ReopenLink implements agent.Environment.
func (f *Fleet) ReopenLink(from, to netip.AddrPort) {
	w := f.socketLink(linkEnds{
		from: from,
		to:   to,
	})
	w.generation++
	w.way.From = from.String() + "/" + strconv.Itoa(w.generation)
}

// CutLink cuts the current link from one process to another for good. A reopened link
// works.
func (f *Fleet) CutLink(from, to netip.AddrPort) {
	f.Net.Cut(f.socketLink(linkEnds{
		from: from,
		to:   to,
	}).way, true)
}

// CutDirection cuts every link from one process to another, reopened ones included, or
// restores them if cut is false.
func (f *Fleet) CutDirection(from, to netip.AddrPort, cut bool) {
	for generation := range 64 {
		name := from.String()
		if generation > 0 {
			name += "/" + strconv.Itoa(generation)
		}
		f.Net.Cut(lossy.Direction{
			From: name,
			To:   to.String(),
		}, cut)
	}
}

func (f *Fleet) send(from, to netip.AddrPort, deliver func()) {
	f.Net.Send(f.socketLink(linkEnds{
		from: from,
		to:   to,
	}).way, deliver)
}

// Forward implements agent.Environment.
func (f *Fleet) Forward(from, to netip.AddrPort, m agent.Message) {
	f.Record.ForwardedPackets++
	f.sendMessage(from, to, m)
}

func (f *Fleet) sendMessage(from, to netip.AddrPort, m agent.Message) {
	f.send(from, to, func() {
		if a := f.agents[to]; a != nil {
			a.Receive(m)
		}
		if b := f.aliveBalancer(to); b != nil {
			f.sendMessage(to, m.Candidates[m.Position].Agent, m)
		}
	})
}

// SendProbe implements agent.Environment.
func (f *Fleet) SendProbe(from, to netip.AddrPort) {
	f.Record.ProbesSent++
	f.send(from, to, func() {
		a := f.agents[to]
		if a == nil {
			return
		}
		a.RunOrDefer(func() {
			f.send(to, from, func() { f.probeAnswered(from, to) })
		})
	})
}

func (f *Fleet) probeAnswered(asker, peer netip.AddrPort) {
	if a := f.agents[asker]; a != nil {
		a.RunOrDefer(func() { a.ProbeAnswered(peer) })
	}
	if b := f.aliveBalancer(asker); b != nil {
		b.probeAnswered(peer)
	}
}

// SendHint implements agent.Environment.
func (f *Fleet) SendHint(from, to netip.AddrPort, key link.Key, owner node.Incarnation) {
	f.send(from, to, func() {
		if b := f.aliveBalancer(to); b != nil {
			b.keepHint(key, owner)
		}
	})
}

// aliveBalancer returns the running balancer with the given address, or nil.
func (f *Fleet) aliveBalancer(at netip.AddrPort) *Balancer {
	for _, b := range f.Balancers {
		if b.Address == at && !b.Dead {
			return b
		}
	}
	return nil
}
