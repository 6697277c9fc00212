// Package probe detects which peers of a process are silent. It probes only peers
// that packets are sent to, so that an idle pair of processes costs nothing, and relies
// only on answers to its own probes: packets from a peer do not show that the path to it
// works.
//
// An unanswered probe first leads to a new link, that is, a new socket with a new
// source port, because a middlebox may have lost its state for the old one. If probes on
// the new link also stay unanswered, the peer is silent. A silent peer is still probed
// and is no longer silent after its first answer.
package probe

import (
	"net/netip"
	"time"
)

// Defaults of Peers.
const (
	// defaultProbeInterval is how long a peer is not probed again after an answer.
	defaultProbeInterval = time.Second
	// defaultProbeTimeout is how long a probe waits for its answer.
	defaultProbeTimeout = 100 * time.Millisecond
	// defaultMaxProbesPerSecond limits the probes to all peers together.
	defaultMaxProbesPerSecond = 20
	// reopenThreshold and silentThreshold are numbers of consecutive unanswered probes.
	reopenThreshold = 1
	silentThreshold = 3
	// peerTTL is how long a peer is kept after the last packet sent to it.
	peerTTL = time.Minute
)

// Event is something that happened on the links of this process.
type Event interface {
	event()
}

// PacketSent means that a packet of a flow was sent to a peer.
type PacketSent struct {
	Peer netip.AddrPort
}

// Answered means that a peer answered a probe of this process.
type Answered struct {
	Peer netip.AddrPort
}

// Tick lets Peers check its deadlines.
type Tick struct{}

// Action is something that the process must do in response to an event.
type Action interface {
	action()
}

// SendProbe sends a probe to a peer.
type SendProbe struct {
	Peer netip.AddrPort
}

// ReopenLink opens a new link to a peer. A SendProbe follows.
type ReopenLink struct {
	Peer netip.AddrPort
}

func (PacketSent) event()  {}
func (Answered) event()    {}
func (Tick) event()        {}
func (SendProbe) action()  {}
func (ReopenLink) action() {}

// Counts is a snapshot of the counters.
type Counts struct {
	Peers  int
	Silent int
	// ProbesSent, Unanswered, LinksReopened and BecameSilent count the probes, the probes
	// without an answer in time, the new links, and the peers that became silent.
	ProbesSent    uint64
	Unanswered    uint64
	LinksReopened uint64
	BecameSilent  uint64
}

type peer struct {
	address netip.AddrPort
	index   int
	// unanswered is the number of consecutive unanswered probes.
	unanswered int
	// nextProbeAt is when the peer may be probed again, probeDeadline when the probe in
	// flight times out (zero if there is none), expiresAt when the peer is removed.
	nextProbeAt   time.Time
	probeDeadline time.Time
	expiresAt     time.Time
}

// Peers is the state of the links of one process to its peers.
type Peers struct {
	minProbeInterval   time.Duration
	probeTimeout       time.Duration
	maxProbesPerSecond int
	peers              map[netip.AddrPort]*peer
	order              []*peer
	counts             Counts
}

// Option configures Peers.
type Option func(*Peers)

// WithTimes sets the least time between an answer and the next probe of a peer, and
// how long a probe waits for its answer.
func WithTimes(minProbeInterval, probeTimeout time.Duration) Option {
	return func(p *Peers) {
		p.minProbeInterval = minProbeInterval
		p.probeTimeout = probeTimeout
	}
}

// WithRate limits the probes per second; with many peers, each is probed less often.
func WithRate(probes int) Option {
	return func(p *Peers) {
		p.maxProbesPerSecond = probes
	}
}

// New returns Peers without any peer.
func New(options ...Option) *Peers {
	p := &Peers{
		minProbeInterval:   defaultProbeInterval,
		probeTimeout:       defaultProbeTimeout,
		maxProbesPerSecond: defaultMaxProbesPerSecond,
		peers:              map[netip.AddrPort]*peer{},
	}
	for _, o := range options {
		o(p)
	}
	return p
}

// Silent reports whether a peer has left its last probes unanswered.
func (p *Peers) Silent(address netip.AddrPort) bool {
	q := p.peers[address]
	return q != nil && q.unanswered >= silentThreshold
}

// Counts returns a snapshot of the counters.
func (p *Peers) Counts() Counts {
	c := p.counts
	c.Peers = len(p.order)
	for _, q := range p.order {
		if q.unanswered >= silentThreshold {
			c.Silent++
		}
	}
	return c
}

// Step applies one event and appends the resulting actions to out.
func (p *Peers) Step(now time.Time, e Event, out []Action) []Action {
	switch e := e.(type) {
	case PacketSent:
		return p.onPacketSent(now, e.Peer, out)
	case Answered:
		p.onProbeAnswered(now, e.Peer)
		return out
	case Tick:
		return p.onTick(now, out)
	default:
		return out
	}
}

func (p *Peers) onPacketSent(now time.Time, address netip.AddrPort, out []Action) []Action {
	q := p.peers[address]
	if q == nil {
		q = p.add(address)
	}
	q.expiresAt = now.Add(peerTTL)
	if !q.probeDeadline.IsZero() || now.Before(q.nextProbeAt) {
		return out
	}
	return p.sendProbe(now, q, out)
}

func (p *Peers) sendProbe(now time.Time, q *peer, out []Action) []Action {
	p.counts.ProbesSent++
	q.probeDeadline = now.Add(p.probeTimeout)
	return append(out, SendProbe{
		Peer: q.address,
	})
}

func (p *Peers) onProbeAnswered(now time.Time, address netip.AddrPort) {
	q := p.peers[address]
	if q == nil {
		return
	}
	q.unanswered = 0
	q.probeDeadline = time.Time{}
	q.nextProbeAt = now.Add(p.probeInterval())
}

// probeInterval is the time between two probes of a peer that answers.
func (p *Peers) probeInterval() time.Duration {
	return max(p.minProbeInterval, time.Duration(len(p.order))*time.Second/time.Duration(p.maxProbesPerSecond))
}

// onTick iterates backwards because a removed peer is replaced by the last one.
func (p *Peers) onTick(now time.Time, out []Action) []Action {
	for i := len(p.order) - 1; i >= 0; i-- {
		q := p.order[i]
		switch {
		case !now.Before(q.expiresAt):
			p.remove(q)
		case !q.probeDeadline.IsZero() && !now.Before(q.probeDeadline):
			out = p.recordTimeout(now, q, out)
		case q.unanswered >= silentThreshold && q.probeDeadline.IsZero() && !now.Before(q.nextProbeAt):
			out = p.sendProbe(now, q, out)
		}
	}
	return out
}

// recordTimeout counts an unanswered probe. The next one follows at once until
// the peer is silent, and then at the usual interval. The first timeout in a row also
// reopens the link.
func (p *Peers) recordTimeout(now time.Time, q *peer, out []Action) []Action {
	p.counts.Unanswered++
	q.unanswered++
	q.probeDeadline = time.Time{}
	if q.unanswered == reopenThreshold {
		p.counts.LinksReopened++
		out = append(out, ReopenLink{
			Peer: q.address,
		})
	}
	if q.unanswered < silentThreshold {
		return p.sendProbe(now, q, out)
	}
	if q.unanswered == silentThreshold {
		p.counts.BecameSilent++
	}
	q.nextProbeAt = now.Add(p.probeInterval())
	return out
}

func (p *Peers) add(address netip.AddrPort) *peer {
	q := &peer{
		address: address,
		index:   len(p.order),
	}
	p.peers[address] = q
	p.order = append(p.order, q)
	return q
}

func (p *Peers) remove(q *peer) {
	last := p.order[len(p.order)-1]
	last.index = q.index
	p.order[q.index] = last
	p.order[len(p.order)-1] = nil
	p.order = p.order[:len(p.order)-1]
	delete(p.peers, q.address)
}
