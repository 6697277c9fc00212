package spread

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/fleet/lease"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

const (
	// ExchangeInterval is the time between two comparisons that a balancer starts.
	ExchangeInterval = 4 * time.Second
	// PushInterval is the least time between two pushes to one peer.
	PushInterval = 200 * time.Millisecond
	// RetryInterval is the time before an unanswered push is sent again.
	RetryInterval = 400 * time.Millisecond
	// SettleLife bounds how long a newcomer waits for a settled peer.
	SettleLife = 10 * time.Second
	// Fanout is to how many peers a learned change is pushed on.
	Fanout = 6
	// maxTries is how often a push is sent to a peer that does not answer.
	maxTries = 4
	// maxComparisonTries is how often a part of a comparison is sent before the
	// next peer is turned to. A newcomer turns to the next at once.
	maxComparisonTries = 2
	// lostTurn is at every how many comparisons one goes to a lost balancer.
	lostTurn = 4
	// maxRounds bounds the messages of one comparison.
	maxRounds = 12
)

// Spread is the state machine that keeps a table in step with the peers'. It is
// not safe for concurrent use.
type Spread struct {
	self   node.Endpoint
	table  *Table
	random *rand.Rand
	seeds  []netip.AddrPort
	peers  []netip.AddrPort
	links  map[netip.AddrPort]*link
	next   time.Time
	turn   int
	// listed is the table's list of balancers that peers were chosen from.
	listed []node.Endpoint
	ready  []netip.AddrPort
	// compared tells that a comparison with a settled peer has ended.
	compared bool
	started  time.Time
}

// link is what is under way to one peer.
type link struct {
	pending []lease.Key
	sent    []lease.Key
	busy    bool
	rounds  int
	// compares tells that a comparison is under way, cut that an answer to it was
	// cut short.
	compares bool
	cut      bool
	tries    int
	// unanswered is the part of a comparison that is sent again after a failure.
	unanswered Message
	at         time.Time
}

// Event is one of Tick, Seeds, Changed, Requested, Replied and Failed.
type Event interface{ event() }

// Tick tells that time has passed.
type Tick struct{}

// Seeds replaces the control addresses that are tried while no peer is known.
type Seeds struct {
	Addresses []netip.AddrPort
}

// Changed tells of a change that began at this balancer. The table has it.
type Changed struct {
	Key lease.Key
}

// Requested is a message that has arrived; the Answer has the same number.
type Requested struct {
	Request uint64
	From    netip.AddrPort
	Message Message
}

// Replied is a peer's answer to a Send.
type Replied struct {
	From    netip.AddrPort
	Message Message
}

// Failed is a Send that was not answered in time.
type Failed struct {
	To netip.AddrPort
}

func (Tick) event()      {}
func (Seeds) event()     {}
func (Changed) event()   {}
func (Requested) event() {}
func (Replied) event()   {}
func (Failed) event()    {}

// Action is one of Send, Answer and Learned.
type Action interface{ action() }

// Send asks for a message to be sent to a peer. Fresh asks for a new link,
// because the old one has gone silent.
type Send struct {
	To      netip.AddrPort
	Message Message
	Fresh   bool
}

// Answer replies to the Requested event with the same request number.
type Answer struct {
	Request uint64
	Message Message
}

// Learned tells that the table has a new version of a record from a peer.
type Learned struct {
	Record lease.Record
}

func (Send) action()    {}
func (Answer) action()  {}
func (Learned) action() {}

// New makes the machine of a balancer over its table.
func New(self node.Endpoint, table *Table, random *rand.Rand, seeds []netip.AddrPort) *Spread {
	return &Spread{
		self:   self,
		table:  table,
		random: random,
		seeds:  slices.Clone(seeds),
		links:  map[netip.AddrPort]*link{},
	}
}

// Peers are the control addresses that changes are pushed to, or the seeds while
// no peer is known.
func (s *Spread) Peers() []netip.AddrPort {
	s.choose()
	return s.targets()
}

// Settled tells whether the table was once brought in step with that of a settled
// peer, or there is no peer, or SettleLife has passed.
func (s *Spread) Settled(now time.Time) bool {
	return s.compared || len(s.targets()) == 0 || !s.started.IsZero() && now.After(s.started.Add(SettleLife))
}

// Step takes one event and tells what is to be done.
func (s *Spread) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Tick:
		return s.tick(now)
	case Seeds:
		s.seeds = slices.Clone(e.Addresses)
		return nil
	case Changed:
		s.choose()
		s.queue(s.targets(), e.Key)
		return nil
	case Requested:
		return s.requested(now, e)
	case Replied:
		return s.replied(now, e)
	case Failed:
		s.failed(now, e.To)
		return nil
	default:
		return nil
	}
}

func (s *Spread) tick(now time.Time) []Action {
	if s.started.IsZero() {
		s.started = now
	}
	s.table.Forget(now)
	s.choose()
	out := s.compare(now)
	slices.SortFunc(s.ready, netip.AddrPort.Compare)
	s.ready = slices.Compact(s.ready)
	waiting := s.ready[:0]
	for _, to := range s.ready {
		l := s.links[to]
		if l == nil || len(l.pending) == 0 && l.unanswered.Empty() {
			continue
		}
		waiting = append(waiting, to)
		if !l.busy && !now.Before(l.at) {
			out = append(out, s.push(now, to, l, l.unanswered))
		}
	}
	s.ready = waiting
	return out
}

// compare starts a comparison with the next peer in turn.
func (s *Spread) compare(now time.Time) []Action {
	if now.Before(s.next) {
		return nil
	}
	jitter := time.Duration(s.random.Int64N(int64(ExchangeInterval / 4)))
	s.next = now.Add(ExchangeInterval - jitter)
	targets := s.targets()
	if len(targets) == 0 {
		return nil
	}
	s.turn++
	to := targets[s.turn%len(targets)]
	if s.turn%lostTurn == 0 {
		to = s.stray(to)
	}
	l := s.link(to)
	if l.busy || !l.unanswered.Empty() {
		return nil
	}
	l.rounds = 0
	l.compares = true
	return []Action{s.push(now, to, l, s.table.Opening())}
}

// stray picks a balancer that has been lost sight of, or a seed, so that parts
// of a fleet that were cut from each other find together again.
func (s *Spread) stray(otherwise netip.AddrPort) netip.AddrPort {
	var out []netip.AddrPort
	for _, b := range s.table.Lost() {
		out = append(out, b.Agent)
	}
	for _, p := range s.seeds {
		if p != s.self.Agent && !slices.Contains(s.peers, p) {
			out = append(out, p)
		}
	}
	if len(out) == 0 {
		return otherwise
	}
	return out[s.random.IntN(len(out))]
}

func (s *Spread) requested(now time.Time, e Requested) []Action {
	s.known(e.From, e.Message)
	reply, news := s.table.Respond(now, e.Message)
	reply.Settled = s.Settled(now)
	out := s.learn(e.From, news)
	return append(out, Answer{
		Request: e.Request,
		Message: reply,
	})
}

func (s *Spread) replied(now time.Time, e Replied) []Action {
	l := s.links[e.From]
	if l == nil {
		return nil
	}
	l.busy = false
	l.tries = 0
	l.sent = nil
	l.unanswered = Message{}
	l.at = now.Add(PushInterval)
	s.known(e.From, e.Message)
	next, news := s.table.Respond(now, e.Message)
	out := s.learn(e.From, news)
	l.rounds++
	l.cut = l.cut || len(e.Message.Records) >= maxRecords
	if next.Empty() || l.rounds > maxRounds {
		s.ended(now, l, e.Message.Settled)
		return out
	}
	return append(out, s.push(now, e.From, l, next))
}

// ended closes a comparison. One whose answer was cut short is followed by the
// next at once; one with another newcomer proves nothing.
func (s *Spread) ended(now time.Time, l *link, settled bool) {
	switch {
	case !l.compares:
	case l.cut:
		s.next = now
	case settled:
		s.compared = true
	}
	l.compares = false
	l.cut = false
}

// learn passes news on and queues them for other peers.
func (s *Spread) learn(from netip.AddrPort, news []lease.Record) []Action {
	out := make([]Action, 0, len(news)+1)
	for _, r := range news {
		out = append(out, Learned{
			Record: r,
		})
		s.queue(s.some(from), r.Key())
	}
	return out
}

// known drops from the queue to a peer what that peer has just sent.
func (s *Spread) known(from netip.AddrPort, m Message) {
	l := s.links[from]
	if l == nil || len(l.pending) == 0 {
		return
	}
	for _, r := range m.Records {
		own, ok := s.table.Lookup(r.Key())
		if ok && own.Version().Compare(r.Version()) > 0 {
			continue
		}
		if i := slices.Index(l.pending, r.Key()); i >= 0 {
			l.pending = slices.Delete(l.pending, i, i+1)
		}
	}
}

func (s *Spread) failed(now time.Time, to netip.AddrPort) {
	l := s.links[to]
	if l == nil {
		return
	}
	l.busy = false
	l.tries++
	l.at = now.Add(RetryInterval)
	sent := l.sent
	l.sent = nil
	if !l.unanswered.Empty() && (l.tries >= maxComparisonTries || !s.compared) {
		l.unanswered = Message{}
		l.compares = false
		l.cut = false
		s.next = now
	}
	if l.tries >= maxTries {
		l.pending = nil
		l.tries = 0
		return
	}
	s.ready = append(s.ready, to)
	for _, key := range sent {
		s.queue([]netip.AddrPort{to}, key)
	}
}

// push sends what is queued for a peer, with m if there is more to say.
func (s *Spread) push(now time.Time, to netip.AddrPort, l *link, m Message) Send {
	for len(l.pending) > 0 && len(m.Records) < maxRecords {
		key := l.pending[0]
		l.pending = l.pending[1:]
		r, ok := s.table.Lookup(key)
		if ok {
			m.Records = append(m.Records, r)
			l.sent = append(l.sent, key)
		}
	}
	l.busy = true
	l.at = now.Add(PushInterval)
	l.unanswered = m.comparison()
	return Send{
		To:      to,
		Message: m,
		Fresh:   l.tries > 0,
	}
}

func (s *Spread) queue(to []netip.AddrPort, key lease.Key) {
	for _, p := range to {
		l := s.link(p)
		if slices.Contains(l.pending, key) {
			continue
		}
		if len(l.pending) == 0 {
			s.ready = append(s.ready, p)
		}
		l.pending = append(l.pending, key)
	}
}

// some picks Fanout of the peers at random, without the one named.
func (s *Spread) some(without netip.AddrPort) []netip.AddrPort {
	out := slices.DeleteFunc(slices.Clone(s.peers), func(p netip.AddrPort) bool { return p == without })
	s.random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), Fanout)]
}

// targets are the peers; while there are none, the seeds and whoever was lost.
func (s *Spread) targets() []netip.AddrPort {
	if len(s.peers) > 0 {
		return s.peers
	}
	out := slices.Clone(s.seeds)
	for _, b := range s.table.Lost() {
		out = append(out, b.Agent)
	}
	return slices.DeleteFunc(out, func(p netip.AddrPort) bool { return p == s.self.Agent })
}

// choose picks the peers again after a change among the balancers.
func (s *Spread) choose() {
	balancers := s.table.Balancers()
	if len(balancers) == len(s.listed) && (len(balancers) == 0 || &balancers[0] == &s.listed[0]) {
		return
	}
	s.listed = balancers
	s.peers = s.peers[:0]
	for _, b := range Choose(s.self, balancers) {
		s.peers = append(s.peers, b.Agent)
	}
	for to, l := range s.links {
		if !l.busy && !slices.Contains(s.peers, to) {
			delete(s.links, to)
		}
	}
}

func (s *Spread) link(to netip.AddrPort) *link {
	l := s.links[to]
	if l == nil {
		l = &link{}
		s.links[to] = l
	}
	return l
}
