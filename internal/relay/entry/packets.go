package entry

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/guide"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// readCallers takes the packets of callers until the socket closes.
func (b *Balancer) readCallers() {
	buffer := make([]byte, datagramBytes)
	for {
		n, _, err := b.callers.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			b.failed("reading packets of callers", err)
			continue
		}
		p, err := b.codec.FromCaller(buffer[:n])
		now := time.Now()
		b.mutex.Lock()
		if err != nil {
			b.counts.malformed++
		} else {
			b.heardAt = now
			b.counts.packets++
			b.act(b.guide.Step(now, guide.Packet{
				Packet: p,
				Raw:    buffer[:n],
			}))
		}
		b.mutex.Unlock()
	}
}

// failed notes a socket error that is not its end.
func (b *Balancer) failed(doing string, err error) {
	if b.stops.Load() {
		return
	}
	b.log.Trouble.Warn().Err(err).Msg(doing + " failed")
	time.Sleep(time.Millisecond)
}

// act carries out what guide decided.
func (b *Balancer) act(actions []guide.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case guide.Send:
			b.counts.sent[a.Why]++
			b.logSend(a)
			b.send(a.To, a.Carry)
		case guide.Ask:
			b.counts.asked += uint64(len(a.To))
			b.logAsk(a)
			for _, h := range a.To {
				b.send(h, a.Ask)
			}
		case guide.Found:
			b.observe(TimeOpening, a.After)
		case guide.Refuse:
			b.counts.refused[a.Why]++
			b.logEnd("opening refused", a.Packet, a.Why)
			b.reset(a.Packet)
		case guide.Reset:
			b.counts.resets[a.Why]++
			b.logEnd("flow reset", a.Packet, a.Why)
			b.reset(a.Packet)
		case guide.Drop:
			b.counts.dropped[a.Why]++
			b.logEnd("packet dropped", a.Packet, a.Why)
		}
	}
}

func (b *Balancer) reset(p link.Packet) {
	to := b.codec.Caller(p.Key)
	if _, err := b.callers.WriteToUDPAddrPort(b.codec.Reset(p), to); err != nil {
		b.failed("sending a reset", err)
	}
}

func (b *Balancer) send(to frame.Host, m frame.Message) {
	b.out = frame.Append(b.out[:0], m)
	_, err := b.inner.WriteToUDPAddrPort(b.out, netip.AddrPortFrom(to.Addr(), b.settings.InnerPort))
	if err != nil {
		b.counts.sendErrors++
		b.log.Routine.Warn().Err(err).Str("to", to.String()).Msg("sending to a process failed")
	}
}

// readInner takes the datagrams of other processes until the socket closes.
func (b *Balancer) readInner(ctx context.Context) {
	buffer := make([]byte, datagramBytes)
	for {
		n, _, err := b.inner.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			b.failed("reading datagrams of processes", err)
			continue
		}
		m, err := frame.Decode(buffer[:n])
		b.mutex.Lock()
		if err != nil {
			b.counts.malformed++
		} else {
			b.take(ctx, time.Now(), m)
		}
		b.mutex.Unlock()
	}
}

func (b *Balancer) take(ctx context.Context, now time.Time, m frame.Message) {
	switch m := m.(type) {
	case frame.Owner:
		b.act(b.guide.Step(now, guide.Hint{
			Owner: m,
		}))
	case frame.Stray:
		p, err := b.codec.FromCaller(m.Packet)
		if err != nil {
			b.counts.malformed++
			return
		}
		b.act(b.guide.Step(now, guide.Return{
			Packet: p,
			Stray:  m,
		}))
	case frame.Denial:
		b.act(b.guide.Step(now, guide.Denied{
			Denial: m,
		}))
	case frame.Load:
		b.load(now, m)
	case frame.Pulse:
		b.pulse(ctx, now, m)
	case frame.Roll:
		b.roll(now, m)
	default:
		b.counts.malformed++
	}
}

// load takes the report of a side process. The process is told what it does not
// know: other balancers, and what is remembered of its endpoint.
func (b *Balancer) load(now time.Time, l frame.Load) {
	known := b.members.Known(now)
	answer := frame.Roll{
		Balancers: known,
	}
	if s := b.members.Side(l.Host); s != nil && s.Service == l.Service {
		answer.State = s.State
		answer.Born = s.Born
	}
	if b.members.Hear(now, l) {
		b.log.Trouble.Info().
			Str("side", l.Host.String()).
			Uint64("service_id", uint64(l.Service)).
			Str("state", l.State.String()).
			Bool("proven", l.Proven).
			Uint64("born", l.Born).
			Msg("endpoint changed")
	}
	if l.First || l.Balancers != frame.NoCheck && l.Balancers != roster.Digest(known) {
		b.send(l.Host, answer)
	}
}

// pulse takes the pulse of another balancer.
func (b *Balancer) pulse(ctx context.Context, now time.Time, p frame.Pulse) {
	if b.members.Meet(now, p) {
		b.log.Trouble.Info().Str("balancer", p.Host.String()).Msg("balancer met")
	}
	if p.Age != frame.NoAge {
		b.turns.Answered(now.Add(-time.Duration(p.Age) * time.Millisecond))
	}
	if p.First {
		b.send(p.Host, frame.Roll{
			Balancers: b.members.Known(now),
			Sides:     b.members.Sides(),
		})
		b.send(p.Host, b.ownPulse(now, false))
	}
	if p.Revision > b.held.Revision() && !b.fetching {
		b.fetching = true
		go b.fetch(ctx, p.Revision)
	}
}

// roll takes the members that another balancer knows and greets the new ones.
func (b *Balancer) roll(now time.Time, r frame.Roll) {
	hello := b.ownPulse(now, true)
	for _, h := range r.Balancers {
		if b.members.Name(now, h) {
			b.send(h, hello)
		}
	}
	for _, h := range r.Sides {
		if b.members.NameSide(now, h) {
			b.send(h, hello)
		}
	}
}

func (b *Balancer) ownPulse(now time.Time, first bool) frame.Pulse {
	age := uint32(frame.NoAge)
	if at := b.turns.LastAnswer(); !at.IsZero() {
		age = uint32(now.Sub(at).Milliseconds())
	}
	return frame.Pulse{
		Host:     b.self,
		Process:  b.process,
		Revision: b.held.Revision(),
		Age:      age,
		Leaving:  b.leaving,
		First:    first,
	}
}

// pulseAll tells every balancer what this one has in force.
func (b *Balancer) pulseAll(now time.Time) {
	p := b.ownPulse(now, false)
	for _, h := range b.members.Balancers() {
		b.send(h, p)
	}
}
