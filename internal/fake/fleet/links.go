package fleet

import (
	"net/netip"
	"strconv"

	"github.com/clementinewing/clementinewing/internal/fake/agent"
	"github.com/clementinewing/clementinewing/internal/fake/lossy"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// pair is two processes, the first of which opened a link to the second.
type processPair struct {
	from netip.AddrPort
	to   netip.AddrPort
}

// wire is the present link of a pair: a socket with a source port of its own.
type socketLink struct {
	life int
	way  lossy.Way
}

func (f *Fleet) socketLink(p processPair) *socketLink {
	w := f.links[p]
	if w == nil {
		w = &socketLink{
			way: lossy.Way{
				From: p.from.String(),
				To:   p.to.String(),
			},
		}
		f.links[p] = w
	}
	return w
}

// Renew implements agent.Outside.
func (f *Fleet) ReopenLink(from, to netip.AddrPort) {
	w := f.socketLink(processPair{
		from: from,
		to:   to,
	})
	w.life++
	w.way.From = from.String() + "/" + strconv.Itoa(w.life)
}

// CutLink silences the present link between two processes for good; a new link
// between them works.
func (f *Fleet) CutLink(from, to netip.AddrPort) {
	f.Net.Cut(f.socketLink(processPair{
		from: from,
		to:   to,
	}).way, true)
}

// CutWay silences every link from one process to another.
func (f *Fleet) CutDirection(from, to netip.AddrPort, cut bool) {
	for life := range 64 {
		name := from.String()
		if life > 0 {
			name += "/" + strconv.Itoa(life)
		}
		f.Net.Cut(lossy.Way{
			From: name,
			To:   to.String(),
		}, cut)
	}
}

func (f *Fleet) send(from, to netip.AddrPort, deliver func()) {
	f.Net.Send(f.socketLink(processPair{
		from: from,
		to:   to,
	}).way, deliver)
}

// Pass implements agent.Outside.
func (f *Fleet) Forward(from, to netip.AddrPort, m agent.Message) {
	f.Record.Passed++
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

// Probe implements agent.Outside.
func (f *Fleet) SendProbe(from, to netip.AddrPort) {
	f.Record.Probes++
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

// Hint implements agent.Outside.
func (f *Fleet) SendHint(from, to netip.AddrPort, key link.Key, owner node.Incarnation) {
	f.send(from, to, func() {
		if b := f.aliveBalancer(to); b != nil {
			b.keepHint(key, owner)
		}
	})
}

// balancer finds a living balancer.
func (f *Fleet) aliveBalancer(at netip.AddrPort) *Balancer {
	for _, b := range f.Balancers {
		if b.Address == at && !b.Dead {
			return b
		}
	}
	return nil
}
