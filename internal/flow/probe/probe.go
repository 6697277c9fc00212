// Package probe decides which peers of a process are silent. It asks only peers
// that packets are sent to, so that an idle pair costs nothing, and believes only
// answers to its own questions: packets that come from a peer say nothing about
// the way to it.
//
// Silence first means a new link (a new socket with a new source port, for
// something between the two ends may have lost track of the old one), then a
// silent peer. A silent peer is asked on and is back with its first answer.
package probe

import (
	"net/netip"
	"time"
)

// Defaults of Peers.
const (
	// defaultFresh is how long an answer vouches for a peer.
	defaultFresh = time.Second
	// defaultPatience is how long one question waits for its answer.
	defaultPatience = 100 * time.Millisecond
	// defaultRate bounds the questions a second over all peers.
	defaultRate = 20
	// renewAfter and silentAfter are unanswered questions in a row.
	renewAfter  = 1
	silentAfter = 3
	// idleAfter is how long a peer is remembered that nothing is sent to.
	idleAfter = time.Minute
)

// Event is what happened on the links of this process.
type Event interface {
	event()
}

// Sent says that a packet of a flow went to a peer.
type Sent struct {
	Peer netip.AddrPort
}

// Answered says that a peer has answered a question of this process.
type Answered struct {
	Peer netip.AddrPort
}

// Tick lets deadlines lapse.
type Tick struct{}

// Action is what has to be done.
type Action interface {
	action()
}

// Ask sends a question to a peer.
type Ask struct {
	Peer netip.AddrPort
}

// Renew opens a new link to a peer. An Ask follows.
type Renew struct {
	Peer netip.AddrPort
}

func (Sent) event()     {}
func (Answered) event() {}
func (Tick) event()     {}
func (Ask) action()     {}
func (Renew) action()   {}

// Counts is a snapshot.
type Counts struct {
	Peers  int
	Silent int
	// Asked, Unanswered, Renewed and Lost count questions, questions without an
	// answer in time, new links, and peers found silent.
	Asked      uint64
	Unanswered uint64
	Renewed    uint64
	Lost       uint64
}

type peer struct {
	address netip.AddrPort
	index   int
	// missed are the unanswered questions in a row.
	missed int
	// askAfter is when the peer may be asked again, answerBy when the question
	// under way is given up (zero if none is), idleAt when the peer is forgotten.
	askAfter time.Time
	answerBy time.Time
	idleAt   time.Time
}

// Peers holds what one process knows of the links to its peers.
type Peers struct {
	fresh    time.Duration
	patience time.Duration
	rate     int
	peers    map[netip.AddrPort]*peer
	order    []*peer
	counts   Counts
}

// Option sets one property of Peers.
type Option func(*Peers)

// WithTimes sets how long an answer vouches for a peer, and how long a question
// waits for its answer.
func WithTimes(fresh, patience time.Duration) Option {
	return func(p *Peers) {
		p.fresh = fresh
		p.patience = patience
	}
}

// WithRate bounds the questions a second; with many peers, each is asked less
// often.
func WithRate(questions int) Option {
	return func(p *Peers) {
		p.rate = questions
	}
}

// New makes Peers that know of none.
func New(options ...Option) *Peers {
	p := &Peers{
		fresh:    defaultFresh,
		patience: defaultPatience,
		rate:     defaultRate,
		peers:    map[netip.AddrPort]*peer{},
	}
	for _, o := range options {
		o(p)
	}
	return p
}

// Silent tells whether a peer has left its last questions unanswered.
func (p *Peers) Silent(address netip.AddrPort) bool {
	q := p.peers[address]
	return q != nil && q.missed >= silentAfter
}

// Counts gives a snapshot.
func (p *Peers) Counts() Counts {
	c := p.counts
	c.Peers = len(p.order)
	for _, q := range p.order {
		if q.missed >= silentAfter {
			c.Silent++
		}
	}
	return c
}

// Step takes one event and appends to out what has to be done.
func (p *Peers) Step(now time.Time, e Event, out []Action) []Action {
	switch e := e.(type) {
	case Sent:
		return p.sent(now, e.Peer, out)
	case Answered:
		p.answered(now, e.Peer)
		return out
	case Tick:
		return p.tick(now, out)
	default:
		return out
	}
}

func (p *Peers) sent(now time.Time, address netip.AddrPort, out []Action) []Action {
	q := p.peers[address]
	if q == nil {
		q = p.add(address)
	}
	q.idleAt = now.Add(idleAfter)
	if !q.answerBy.IsZero() || now.Before(q.askAfter) {
		return out
	}
	return p.ask(now, q, out)
}

func (p *Peers) ask(now time.Time, q *peer, out []Action) []Action {
	p.counts.Asked++
	q.answerBy = now.Add(p.patience)
	return append(out, Ask{
		Peer: q.address,
	})
}

func (p *Peers) answered(now time.Time, address netip.AddrPort) {
	q := p.peers[address]
	if q == nil {
		return
	}
	q.missed = 0
	q.answerBy = time.Time{}
	q.askAfter = now.Add(p.pause())
}

// pause is the time between two questions to a peer that answers.
func (p *Peers) pause() time.Duration {
	return max(p.fresh, time.Duration(len(p.order))*time.Second/time.Duration(p.rate))
}

// tick goes backwards because a peer that is removed is replaced by the last one.
func (p *Peers) tick(now time.Time, out []Action) []Action {
	for i := len(p.order) - 1; i >= 0; i-- {
		q := p.order[i]
		switch {
		case !now.Before(q.idleAt):
			p.remove(q)
		case !q.answerBy.IsZero() && !now.Before(q.answerBy):
			out = p.miss(now, q, out)
		case q.missed >= silentAfter && q.answerBy.IsZero() && !now.Before(q.askAfter):
			out = p.ask(now, q, out)
		}
	}
	return out
}

// miss counts an unanswered question: the next follows at once, on a new link
// after the first, and at the usual pause once the peer is silent.
func (p *Peers) miss(now time.Time, q *peer, out []Action) []Action {
	p.counts.Unanswered++
	q.missed++
	q.answerBy = time.Time{}
	if q.missed == renewAfter {
		p.counts.Renewed++
		out = append(out, Renew{
			Peer: q.address,
		})
	}
	if q.missed < silentAfter {
		return p.ask(now, q, out)
	}
	if q.missed == silentAfter {
		p.counts.Lost++
	}
	q.askAfter = now.Add(p.pause())
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
