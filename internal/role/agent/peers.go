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

// peers holds the links to other agents to which packets are forwarded.
type peers struct {
	mutex  sync.Mutex
	prober *probe.Peers
	// newLinks are the sockets that replace the tunnel socket for silent peers.
	newLinks map[netip.AddrPort]*net.UDPConn
}

func newPeers() *peers {
	return &peers{
		prober:   probe.New(),
		newLinks: map[netip.AddrPort]*net.UDPConn{},
	}
}

// silentBits returns a set of bits, in which bit i is set if candidate i does not
// answer the probes of this agent.
func (p *peers) silentBits(candidates []wire.Candidate) (bits uint16) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for i := range candidates {
		if p.prober.Silent(candidates[i].Agent) {
			bits |= 1 << i
		}
	}
	return bits
}

// socketFor returns the socket for datagrams to a peer.
func (a *Agent) socketFor(peer netip.AddrPort) *net.UDPConn {
	a.peers.mutex.Lock()
	defer a.peers.mutex.Unlock()
	if c := a.peers.newLinks[peer]; c != nil {
		return c
	}
	return a.tunnel
}

func (a *Agent) stepPeers(e probe.Event) {
	a.peers.mutex.Lock()
	actions := a.peers.prober.Step(time.Now(), e, nil)
	a.peers.mutex.Unlock()
	for _, c := range actions {
		switch c := c.(type) {
		case probe.SendProbe:
			a.flows.send(a.socketFor(c.Peer), &wire.Message{
				Kind: wire.Probe,
			}, c.Peer)
		case probe.ReopenLink:
			a.openNewLink(c.Peer)
		}
	}
}

// openNewLink replaces the socket for a peer, so that datagrams have a new source
// port.
func (a *Agent) openNewLink(peer netip.AddrPort) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(a.Address().Addr(), 0)))
	if err != nil {
		a.logger.Warn().Err(err).Stringer("peer", peer).Msg("cannot open a new link to a silent peer")
		return
	}
	a.peers.mutex.Lock()
	old := a.peers.newLinks[peer]
	a.peers.newLinks[peer] = c
	a.peers.mutex.Unlock()
	a.running.Go(func() { a.receive(c) })
	if old != nil {
		_ = old.Close()
	}
}

// closeNewLinks closes every socket opened for a silent peer.
func (a *Agent) closeNewLinks() (err error) {
	a.peers.mutex.Lock()
	defer a.peers.mutex.Unlock()
	for _, c := range a.peers.newLinks {
		err = errors.Join(err, c.Close())
	}
	return err
}
