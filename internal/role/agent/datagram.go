package agent

import (
	"context"
	"errors"
	"net"
	"net/netip"

	"github.com/clementinewing/clementinewing/internal/edge/rawip"
	"github.com/clementinewing/clementinewing/internal/flow/owner"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// maxDatagramAnswerBytes limits one answer of a datagram service.
const maxDatagramAnswerBytes = 2048

// isDatagram reports whether a flow belongs to a datagram service, that is, to a UDP
// service.
func isDatagram(k link.Key) bool {
	return k.Protocol == uint8(spec.UDP)
}

// connectDatagrams opens the socket of a datagram flow. It sends the upstream
// nothing yet and does not block.
func (a *Agent) connectDatagrams(s *flows, c owner.Connect) {
	d := net.Dialer{}
	upstream, err := d.DialUDP(context.Background(), "udp4", netip.AddrPort{}, a.upstream)
	if err != nil {
		a.reportConnectFailure(c)
		return
	}
	if !s.attachDatagrams(c, upstream) {
		_ = upstream.Close()
		return
	}
	a.step(owner.UpstreamConnected(c), nil)
}

func (s *flows) attachDatagrams(c owner.Connect, upstream *net.UDPConn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f := s.byKey[c.Key]
	if f == nil || f.serial != c.Serial || f.aborted {
		return false
	}
	f.datagrams = upstream
	return true
}

// acceptDatagrams sends the upstream the datagram that opened the flow, and from now
// on forwards the answers of the upstream to the caller.
func (a *Agent) acceptDatagrams(s *flows, f *flow) {
	a.deliverDatagram(f, f.opening.Inner)
	a.running.Go(func() {
		a.forwardAnswers(f)
		_ = f.datagrams.Close()
		a.endFlow(s, f)
	})
}

func (a *Agent) deliverDatagram(f *flow, packet []byte) {
	p, err := link.Parse(packet)
	if f == nil || f.datagrams == nil || err != nil {
		return
	}
	_, _ = f.datagrams.Write(packet[p.Total-p.Payload : p.Total])
}

// forwardAnswers sends answers of the upstream to the caller until the socket is
// closed.
func (a *Agent) forwardAnswers(f *flow) {
	b := make([]byte, maxDatagramAnswerBytes)
	var out []byte
	for {
		n, err := f.datagrams.Read(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		out = rawip.AppendDatagram(out[:0], f.key, b[:n])
		a.sendToFabric(out)
	}
}
