package agent

import (
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/hold"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// read gives each datagram of a socket to take until the socket closes.
func (a *Agent) read(c *net.UDPConn, doing string, take func(b []byte)) {
	buffer := make([]byte, datagramBytes)
	for {
		n, _, err := c.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			a.failed(doing, err)
			continue
		}
		a.mutex.Lock()
		take(buffer[:n])
		a.mutex.Unlock()
	}
}

// failed notes a socket error that is not its end.
func (a *Agent) failed(doing string, err error) {
	if a.stops.Load() {
		return
	}
	a.log.Trouble.Warn().Err(err).Msg(doing + " failed")
	time.Sleep(time.Millisecond)
}

func (a *Agent) readInner() {
	a.read(a.inner, "reading datagrams of processes", func(b []byte) {
		m, err := frame.Decode(b)
		if err != nil {
			a.counts.malformed++
			return
		}
		a.take(time.Now(), m)
	})
}

// probe finds out whether anything listens where the endpoint was. Only a refused
// connection says that nothing does; silence says nothing.
func (a *Agent) probe() {
	c, err := net.DialTimeout("tcp4", a.settings.Upstream.String(), probeTimeout)
	if err == nil {
		_ = c.Close()
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.counts.probes++
	a.log.Trouble.Info().Bool("refused", errors.Is(err, syscall.ECONNREFUSED)).AnErr("error", err).Msg("endpoint probed")
	if errors.Is(err, syscall.ECONNREFUSED) {
		a.act(a.hold.Step(time.Now(), hold.Unreachable{}))
	}
}

func (a *Agent) readOutbound() {
	a.read(a.outbound, "reading packets of the endpoint", func(b []byte) {
		p, mark, bounced, err := a.codec.FromEndpoint(b)
		if err != nil {
			a.counts.malformed++
			return
		}
		now := time.Now()
		a.codec.Clean(b)
		if bounced {
			a.act(a.hold.Step(now, hold.Bounced{
				Packet: p,
				Raw:    b,
				Mark:   mark,
			}))
			return
		}
		a.act(a.hold.Step(now, hold.Answered{
			Packet: p,
			Raw:    b,
		}))
	})
}

func (a *Agent) take(now time.Time, m frame.Message) {
	switch m := m.(type) {
	case *frame.Carry:
		p, err := a.codec.FromCaller(m.Packet)
		if err != nil {
			a.counts.malformed++
			return
		}
		a.counts.arrived++
		a.act(a.hold.Step(now, hold.Arrived{
			Packet: p,
			Carry:  m,
		}))
	case frame.Owner:
		a.act(a.hold.Step(now, hold.Elsewhere{
			Owner: m,
		}))
	case frame.Ask:
		a.act(a.hold.Step(now, hold.Asked{
			Ask: m,
		}))
	case frame.Pulse:
		a.greeted(now, m)
	case frame.Roll:
		a.roll(now, m)
	default:
		a.counts.malformed++
	}
}

// act carries out what hold decided.
func (a *Agent) act(actions []hold.Action) {
	for _, one := range actions {
		switch one := one.(type) {
		case hold.Deliver:
			a.codec.Mark(one.Raw, one.Mark)
			if _, err := a.upstream.Write(one.Raw); err != nil {
				a.counts.sendErrors++
			}
		case hold.Forward:
			a.toCaller(one.Key, one.Raw)
		case hold.HandOn:
			a.counts.handedOn[one.Why]++
			a.logHandOn(one)
			a.send(one.To, one.Carry)
		case hold.GiveBack:
			a.counts.givenBack[one.Why]++
			a.logGiveBack(one)
			a.send(one.To, one.Stray)
		case hold.Tell:
			a.send(one.To, one.Owner)
		case hold.Deny:
			a.send(one.To, one.Denial)
		case hold.Waits:
			a.counts.held++
			a.logWaits(one)
		case hold.GivenUp:
			a.counts.givenUp++
			a.logGivenUp(one)
		case hold.Accepted:
			a.counts.accepted++
			a.observe(TimeOpening, one.After)
			a.logAccepted(one)
		case hold.Began:
			a.counts.requests++
			a.logBegan(one)
		case hold.Served:
			a.observe(TimeRequest, one.After)
		case hold.Changed:
			a.logChanged(one)
			a.reportNow()
			if one.Why == hold.OpeningUnanswered || one.Why == hold.EndpointRefused {
				go a.probe()
			}
		}
	}
}

func (a *Agent) toCaller(k link.Key, raw []byte) {
	if _, err := a.outbound.WriteToUDPAddrPort(raw, a.codec.Caller(k)); err != nil {
		a.counts.sendErrors++
		a.log.Routine.Warn().Err(err).Msg("sending to a caller failed")
	}
}

func (a *Agent) send(to frame.Host, m frame.Message) {
	a.out = frame.Append(a.out[:0], m)
	_, err := a.inner.WriteToUDPAddrPort(a.out, netip.AddrPortFrom(to.Addr(), a.settings.InnerPort))
	if err != nil {
		a.counts.sendErrors++
		a.log.Routine.Warn().Err(err).Str("to", to.String()).Msg("sending to a process failed")
	}
}
