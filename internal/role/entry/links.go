package entry

import (
	"context"
	"errors"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clementinewing/clementinewing/internal/edge/batch"
	"github.com/clementinewing/clementinewing/internal/edge/wire"
	"github.com/clementinewing/clementinewing/internal/flow/probe"
)

// maxNewLinks limits the sockets opened for silent agents. Beyond it the oldest is
// closed, and its agent is reached through the tunnel socket again.
const maxNewLinks = 64

// sockets holds the new links by agent. A value is immutable once it is published.
type sockets map[netip.AddrPort]*batch.Socket

// links runs flow/probe on the links to agents.
type links struct {
	entry    *PacketPath
	newLinks atomic.Pointer[sockets]

	mutex  sync.Mutex
	prober *probe.Peers
	sealer *wire.Sealer
	buffer []byte
	// awaitingAnswer holds the agents that have not answered their last probe.
	awaitingAnswer map[netip.AddrPort]bool
	silent         map[netip.AddrPort]bool
	// newLinkOrder lists the agents that have a new link, the oldest entry first.
	newLinkOrder []netip.AddrPort
	closed       bool
}

func newLinks(e *PacketPath) *links {
	l := &links{
		entry:          e,
		prober:         probe.New(e.probeOptions...),
		sealer:         wire.NewSealer(e.ring),
		awaitingAnswer: map[netip.AddrPort]bool{},
		silent:         map[netip.AddrPort]bool{},
	}
	l.newLinks.Store(&sockets{})
	return l
}

// socket returns the new link to an agent, nil if there is none.
func (l *links) socket(to netip.AddrPort) *batch.Socket {
	current := *l.newLinks.Load()
	if len(current) == 0 {
		return nil
	}
	return current[to]
}

// run makes the prober check the deadlines of its probes every tickInterval until ctx
// ends.
func (l *links) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.tick(l.entry.now())
		}
	}
}

// recordSent tells the prober that packets were sent to agents.
func (l *links) recordSent(now time.Time, sent []netip.AddrPort) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, to := range sent {
		l.perform(l.prober.Step(now, probe.PacketSent{
			Peer: to,
		}, nil))
	}
}

func (l *links) recordAnswer(now time.Time, agent netip.AddrPort) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.awaitingAnswer, agent)
	l.perform(l.prober.Step(now, probe.Answered{
		Peer: agent,
	}, nil))
}

func (l *links) tick(now time.Time) {
	l.mutex.Lock()
	l.perform(l.prober.Step(now, probe.Tick{}, nil))
	changed := l.silenceChanges()
	l.mutex.Unlock()
	for _, c := range changed {
		l.entry.onSilenceChanged(c.agent, c.silent)
	}
}

// silenceChange is an agent that has become silent, or one that answers again or
// was forgotten because nothing is sent to it.
type silenceChange struct {
	agent  netip.AddrPort
	silent bool
}

// silenceChanges compares the silent agents of the prober with those reported
// before.
func (l *links) silenceChanges() (list []silenceChange) {
	for agent := range l.silent {
		if !l.prober.Silent(agent) {
			delete(l.silent, agent)
			delete(l.awaitingAnswer, agent)
			list = append(list, silenceChange{
				agent: agent,
			})
		}
	}
	for agent := range l.awaitingAnswer {
		if l.prober.Silent(agent) && !l.silent[agent] {
			l.silent[agent] = true
			list = append(list, silenceChange{
				agent:  agent,
				silent: true,
			})
		}
	}
	if len(list) > 0 {
		l.entry.setSilent(slices.Collect(maps.Keys(l.silent)))
	}
	return list
}

func (l *links) perform(actions []probe.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case probe.SendProbe:
			l.sendProbe(a.Peer)
		case probe.ReopenLink:
			l.openNewLink(a.Peer)
		}
	}
}

// sendProbe sends a probe on the link used for packets.
func (l *links) sendProbe(peer netip.AddrPort) {
	l.awaitingAnswer[peer] = true
	s := l.socket(peer)
	if s == nil {
		s = l.entry.tunnel[0]
	}
	l.buffer = l.sealer.Seal(l.buffer[:0], &wire.Message{
		Kind:     wire.Probe,
		Balancer: l.entry.TunnelAddress(),
		Candidates: []wire.Candidate{
			{
				Agent: peer,
			},
		},
	})
	if s.WriteTo(l.buffer, peer) != nil {
		l.entry.totals.increment(LinkFailed)
	}
}

// openNewLink replaces the link to a silent agent by one with a new source port.
func (l *links) openNewLink(peer netip.AddrPort) {
	if l.closed {
		return
	}
	s, err := batch.Listen(netip.AddrPortFrom(l.entry.TunnelAddress().Addr(), 0))
	if err != nil {
		l.entry.totals.increment(LinkFailed)
		return
	}
	next := maps.Clone(*l.newLinks.Load())
	old := next[peer]
	if old == nil && len(l.newLinkOrder) == maxNewLinks {
		old = next[l.newLinkOrder[0]]
		delete(next, l.newLinkOrder[0])
		l.newLinkOrder = l.newLinkOrder[1:]
	}
	if next[peer] == nil {
		l.newLinkOrder = append(l.newLinkOrder, peer)
	}
	next[peer] = s
	l.newLinks.Store(&next)
	if old != nil {
		_ = old.Close()
	}
	l.entry.running.Go(func() { _ = l.entry.receive(s) })
}

func (l *links) close() (err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.closed = true
	for _, s := range *l.newLinks.Load() {
		err = errors.Join(err, s.Close())
	}
	return err
}

func (l *links) counts() probe.Counts {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.prober.Counts()
}
