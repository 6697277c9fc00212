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

// mostRenewed bounds the sockets opened for silent side processes; past it the
// oldest is closed and its side process goes back to the tunnel's socket.
const mostRenewed = 64

// sockets are the links that were renewed. A value is not changed once it is
// shared.
type sockets map[netip.AddrPort]*batch.Socket

// links runs flow/probe over the links to side processes.
type links struct {
	entry   *Entry
	renewed atomic.Pointer[sockets]

	lock    sync.Mutex
	machine *probe.Peers
	sealer  *wire.Sealer
	buffer  []byte
	// asked are side processes that have not answered their last probe.
	asked  map[netip.AddrPort]bool
	silent map[netip.AddrPort]bool
	order  []netip.AddrPort
	closed bool
}

func newLinks(e *Entry) *links {
	l := &links{
		entry:   e,
		machine: probe.New(e.probes...),
		sealer:  wire.NewSealer(e.ring),
		asked:   map[netip.AddrPort]bool{},
		silent:  map[netip.AddrPort]bool{},
	}
	l.renewed.Store(&sockets{})
	return l
}

// socket gives the renewed link to a side process, nil if there is none.
func (l *links) socket(to netip.AddrPort) *batch.Socket {
	renewed := *l.renewed.Load()
	if len(renewed) == 0 {
		return nil
	}
	return renewed[to]
}

// run lets deadlines lapse until ctx ends.
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

// report says that packets go to side processes.
func (l *links) report(now time.Time, sent []netip.AddrPort) {
	l.lock.Lock()
	defer l.lock.Unlock()
	for _, to := range sent {
		l.perform(l.machine.Step(now, probe.PacketSent{
			Peer: to,
		}, nil))
	}
}

func (l *links) answered(now time.Time, agent netip.AddrPort) {
	l.lock.Lock()
	defer l.lock.Unlock()
	delete(l.asked, agent)
	l.perform(l.machine.Step(now, probe.Answered{
		Peer: agent,
	}, nil))
}

func (l *links) tick(now time.Time) {
	l.lock.Lock()
	l.perform(l.machine.Step(now, probe.Tick{}, nil))
	changed := l.changes()
	l.lock.Unlock()
	for _, c := range changed {
		l.entry.suspicion(c.agent, c.silent)
	}
}

// change is a side process that has fallen silent, or has answered again or been
// forgotten because nothing is sent to it.
type change struct {
	agent  netip.AddrPort
	silent bool
}

// changes compares what the machine says with what was told before.
func (l *links) changes() (list []change) {
	for agent := range l.silent {
		if !l.machine.Silent(agent) {
			delete(l.silent, agent)
			delete(l.asked, agent)
			list = append(list, change{
				agent: agent,
			})
		}
	}
	for agent := range l.asked {
		if l.machine.Silent(agent) && !l.silent[agent] {
			l.silent[agent] = true
			list = append(list, change{
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
			l.ask(a.Peer)
		case probe.ReopenLink:
			l.renew(a.Peer)
		}
	}
}

// ask sends a probe on the link that packets take.
func (l *links) ask(peer netip.AddrPort) {
	l.asked[peer] = true
	s := l.socket(peer)
	if s == nil {
		s = l.entry.tunnel[0]
	}
	l.buffer = l.sealer.Seal(l.buffer[:0], &wire.Message{
		Kind:     wire.Probe,
		Balancer: l.entry.Tunnel(),
		Candidates: []wire.Candidate{
			{
				Agent: peer,
			},
		},
	})
	if s.WriteTo(l.buffer, peer) != nil {
		l.entry.totals.one(LinkFailed)
	}
}

// renew gives a silent side process a link with a new source port.
func (l *links) renew(peer netip.AddrPort) {
	if l.closed {
		return
	}
	s, err := batch.Listen(netip.AddrPortFrom(l.entry.Tunnel().Addr(), 0))
	if err != nil {
		l.entry.totals.one(LinkFailed)
		return
	}
	next := maps.Clone(*l.renewed.Load())
	old := next[peer]
	if old == nil && len(l.order) == mostRenewed {
		old = next[l.order[0]]
		delete(next, l.order[0])
		l.order = l.order[1:]
	}
	if next[peer] == nil {
		l.order = append(l.order, peer)
	}
	next[peer] = s
	l.renewed.Store(&next)
	if old != nil {
		_ = old.Close()
	}
	l.entry.running.Go(func() { _ = l.entry.receive(s) })
}

func (l *links) close() (err error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.closed = true
	for _, s := range *l.renewed.Load() {
		err = errors.Join(err, s.Close())
	}
	return err
}

func (l *links) counts() probe.Counts {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.machine.Counts()
}
