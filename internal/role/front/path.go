package front

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/clementinewing/clementinewing/internal/board/file"
	"github.com/clementinewing/clementinewing/internal/edge/keys"
	"github.com/clementinewing/clementinewing/internal/edge/wire"
	"github.com/clementinewing/clementinewing/internal/flow/rank"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

const packetBytes = 4096

// path hands packets of callers to the first endpoint of their ranked list.
type path struct {
	fabric *net.UDPConn
	tunnel *net.UDPConn
	sealer *wire.Sealer
	view   atomic.Pointer[view]
}

type view struct {
	file      file.File
	endpoints []node.Endpoint
}

func newPath(ring *keys.Ring, fabric, tunnel netip.AddrPort) (p *path, err error) {
	p = &path{
		sealer: wire.NewSealer(ring),
	}
	p.view.Store(&view{})
	p.fabric, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(fabric))
	if err != nil {
		return nil, err
	}
	p.tunnel, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(tunnel))
	if err != nil {
		return nil, errors.Join(err, p.fabric.Close())
	}
	return p, nil
}

func (p *path) address() netip.AddrPort {
	return p.fabric.LocalAddr().(*net.UDPAddr).AddrPort()
}

func (p *path) set(f file.File, endpoints []node.Endpoint) {
	p.view.Store(&view{
		file:      f,
		endpoints: endpoints,
	})
}

func (p *path) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = errors.Join(p.fabric.Close(), p.tunnel.Close()) })
	defer stop()
	b := make([]byte, packetBytes)
	var out []byte
	for {
		n, err := p.fabric.Read(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			out = p.packet(b[:n], out[:0])
		}
	}
}

func (p *path) packet(packet, out []byte) []byte {
	parsed, err := link.Parse(packet)
	if err != nil {
		return out
	}
	m := p.view.Load().message(parsed)
	if m == nil || len(m.Candidates) == 0 {
		return out
	}
	m.Inner = packet
	out = p.sealer.Seal(out, m)
	_, _ = p.tunnel.WriteToUDPAddrPort(out, m.Candidates[0].Agent)
	return out
}

func (v *view) message(p link.Packet) *wire.Message {
	for i := range v.file.Services {
		s := &v.file.Services[i].Pact
		if addressOf(p.Key) != s.Address {
			continue
		}
		var endpoints []node.Endpoint
		for _, e := range v.endpoints {
			if e.Service == s.ID {
				endpoints = append(endpoints, e)
			}
		}
		m := &wire.Message{
			Kind:    wire.Packet,
			Service: s.ID,
		}
		for _, i := range rank.List(p.Key.Hash(), endpoints, nil) {
			m.Candidates = append(m.Candidates, wire.Candidate{
				Agent:       endpoints[i].Agent,
				Incarnation: endpoints[i].Incarnation,
			})
		}
		return m
	}
	return nil
}

func addressOf(k link.Key) netip.AddrPort {
	a := [4]byte{byte(k.Target >> 24), byte(k.Target >> 16), byte(k.Target >> 8), byte(k.Target)}
	return netip.AddrPortFrom(netip.AddrFrom4(a), k.TargetPort)
}
