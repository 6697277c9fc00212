package agent

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/clementinewing/clementinewing/internal/edge/wire"
	"github.com/clementinewing/clementinewing/internal/flow/probe"
)

// peers holds the links to other side processes that packets are handed to.
type peers struct {
	mutex   sync.Mutex
	machine *probe.Peers
	// renewed are the sockets that replaced the tunnel socket for a silent peer.
	renewed map[netip.AddrPort]*net.UDPConn
}

func newPeers() *peers {
	return &peers{
		machine: probe.New(),
		renewed: map[netip.AddrPort]*net.UDPConn{},
	}
}

// silent gives a bit for each candidate that does not answer this side process.
func (p *peers) silent(candidates []wire.Candidate) (bits uint16) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for i := range candidates {
		if p.machine.Silent(candidates[i].Agent) {
			bits |= 1 << i
		}
	}
	return bits
}

// link gives the socket for datagrams to a peer.
func (a *Agent) link(peer netip.AddrPort) *net.UDPConn {
	a.peers.mutex.Lock()
	defer a.peers.mutex.Unlock()
	if c := a.peers.renewed[peer]; c != nil {
		return c
	}
	return a.tunnel
}

func (a *Agent) stepPeers(e probe.Event) {
	a.peers.mutex.Lock()
	actions := a.peers.machine.Step(time.Now(), e, nil)
	a.peers.mutex.Unlock()
	for _, c := range actions {
		switch c := c.(type) {
		case probe.SendProbe:
			a.flows.send(a.link(c.Peer), &wire.Message{
				Kind: wire.Probe,
			}, c.Peer)
		case probe.ReopenLink:
			a.renew(c.Peer)
		}
	}
}

// renew replaces the socket for a peer, so that datagrams come from a new port.
func (a *Agent) renew(peer netip.AddrPort) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(a.Address().Addr(), 0)))
	if err != nil {
		a.logger.Warn().Err(err).Stringer("peer", peer).Msg("no new link to a silent peer")
		return
	}
	a.peers.mutex.Lock()
	old := a.peers.renewed[peer]
	a.peers.renewed[peer] = c
	a.peers.mutex.Unlock()
	a.closing.Go(func() { a.receive(c) })
	if old != nil {
		_ = old.Close()
	}
}

// closeLinks closes every socket that was opened for a silent peer.
func (a *Agent) closeLinks() (err error) {
	a.peers.mutex.Lock()
	defer a.peers.mutex.Unlock()
	for _, c := range a.peers.renewed {
		err = errors.Join(err, c.Close())
	}
	return err
}
