package gossip

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/fleet/lease"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

const (
	// ExchangeInterval is the longest time between two reconciliations that a balancer
	// starts; a random part of up to a quarter is taken off.
	ExchangeInterval = 4 * time.Second
	// PushInterval is the minimum time between two pushes to one peer. The messages of
	// a running reconciliation do not wait for it.
	PushInterval = 200 * time.Millisecond
	// RetryInterval is the delay before an unanswered message is sent again.
	RetryInterval = 400 * time.Millisecond
	// SyncTimeout limits how long a new balancer waits for a reconciliation with a
	// synchronized peer before it counts as synchronized itself.
	SyncTimeout = 10 * time.Second
	// Fanout is the number of peers to which a learned change is forwarded.
	Fanout = 6
	// maxPushAttempts limits the messages in a row to a peer that does not answer.
	// What is queued for the peer is then dropped.
	maxPushAttempts = 4
	// maxReconcileAttempts limits the attempts to send one message of a reconciliation.
	// After that the reconciliation is given up and one with the next peer starts. A
	// balancer that is not synchronized yet does so after the first failure.
	maxReconcileAttempts = 2
	// lostPeerInterval is a number of reconciliations: one in this many goes to a lost
	// balancer, which is suspect or absent, or to a seed.
	lostPeerInterval = 4
	// maxRounds limits the round trips of one reconciliation.
	maxRounds = 12
)

// Gossip is the state machine that synchronizes a table with those of the peers.
// It is not safe for concurrent use.
type Gossip struct {
	self       node.Endpoint
	table      *Table
	random     *rand.Rand
	seeds      []netip.AddrPort
	peers      []netip.AddrPort
	peerStates map[netip.AddrPort]*peerState
	// nextReconcileAt is when the next reconciliation is due.
	nextReconcileAt time.Time
	// reconcileCount selects the peer of the next reconciliation.
	reconcileCount int
	// chosenFrom is the table's list of balancers from which the peers were chosen.
	chosenFrom []node.Endpoint
	// queuedPeers are the peers to which something has to be sent. A peer may occur
	// twice until the next tick.
	queuedPeers []netip.AddrPort
	// synchronized is set as soon as a reconciliation with a synchronized peer has
	// ended without truncated replies.
	synchronized bool
	startedAt    time.Time
}

// peerState is the state of the exchange with one peer.
type peerState struct {
	// pending are the records queued for the peer, sent those whose receipt it has not
	// confirmed yet.
	pending     []lease.Key
	sent        []lease.Key
	awaitsReply bool
	// rounds counts the round trips of the reconciliation.
	rounds int
	// reconciling is set during a reconciliation, truncated as soon as one of its
	// replies has reached maxRecords.
	reconciling bool
	truncated   bool
	// attempts counts the unanswered messages in a row.
	attempts int
	// unanswered is the latest message of the reconciliation without its records. It
	// is sent again after a failure.
	unanswered Message
	nextSendAt time.Time
}

// Event is an input of Gossip.Step: Tick, SeedsChanged, RecordChanged,
// MessageReceived, ReplyReceived or SendFailed.
type Event interface{ event() }

// Tick reports that time has passed.
type Tick struct{}

// SeedsChanged replaces the control addresses that are contacted while no peer is
// known.
type SeedsChanged struct {
	Addresses []netip.AddrPort
}

// RecordChanged reports that a record was changed by this balancer. The table
// already holds the new version.
type RecordChanged struct {
	Key lease.Key
}

// MessageReceived reports a received message. The SendReply action carries the same
// request number.
type MessageReceived struct {
	Request uint64
	From    netip.AddrPort
	Message Message
}

// ReplyReceived reports a peer's reply to a Send.
type ReplyReceived struct {
	From    netip.AddrPort
	Message Message
}

// SendFailed reports that a Send timed out.
type SendFailed struct {
	To netip.AddrPort
}

func (Tick) event()            {}
func (SeedsChanged) event()    {}
func (RecordChanged) event()   {}
func (MessageReceived) event() {}
func (ReplyReceived) event()   {}
func (SendFailed) event()      {}

// Action is an output of Gossip.Step: Send, SendReply or RecordLearned.
type Action interface{ action() }

// Send sends a message to a peer. NewLink asks for a new link, because the peer did
// not answer on the old one.
type Send struct {
	To      netip.AddrPort
	Message Message
	NewLink bool
}

// SendReply replies to the MessageReceived event with the same request number.
type SendReply struct {
	Request uint64
	Message Message
}

// RecordLearned reports that the table has a new version of a record from a peer.
type RecordLearned struct {
	Record lease.Record
}

func (Send) action()          {}
func (SendReply) action()     {}
func (RecordLearned) action() {}

// New creates the state machine that synchronizes the table of a balancer.
func New(self node.Endpoint, table *Table, random *rand.Rand, seeds []netip.AddrPort) *Gossip {
	return &Gossip{
		self:       self,
		table:      table,
		random:     random,
		seeds:      slices.Clone(seeds),
		peerStates: map[netip.AddrPort]*peerState{},
	}
}

// Peers returns the control addresses that changes are pushed to: the peers, or the
// seeds and the lost balancers while no peer is known.
func (s *Gossip) Peers() []netip.AddrPort {
	s.updatePeers()
	return s.targets()
}

// Synchronized reports whether the table was reconciled once with that of a
// synchronized peer, or there is no peer, or SyncTimeout has passed.
func (s *Gossip) Synchronized(now time.Time) bool {
	return s.synchronized || len(s.targets()) == 0 || !s.startedAt.IsZero() && now.After(s.startedAt.Add(SyncTimeout))
}

// Step processes one event and returns the resulting actions.
func (s *Gossip) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Tick:
		return s.tick(now)
	case SeedsChanged:
		s.seeds = slices.Clone(e.Addresses)
		return nil
	case RecordChanged:
		s.updatePeers()
		s.enqueue(s.targets(), e.Key)
		return nil
	case MessageReceived:
		return s.handleMessage(now, e)
	case ReplyReceived:
		return s.handleReply(now, e)
	case SendFailed:
		s.handleFailure(now, e.To)
		return nil
	default:
		return nil
	}
}

func (s *Gossip) tick(now time.Time) []Action {
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	s.table.RemoveExpired(now)
	s.updatePeers()
	out := s.startReconciliation(now)
	slices.SortFunc(s.queuedPeers, netip.AddrPort.Compare)
	s.queuedPeers = slices.Compact(s.queuedPeers)
	remaining := s.queuedPeers[:0]
	for _, to := range s.queuedPeers {
		ps := s.peerStates[to]
		if ps == nil || len(ps.pending) == 0 && ps.unanswered.Empty() {
			continue
		}
		remaining = append(remaining, to)
		if !ps.awaitsReply && !now.Before(ps.nextSendAt) {
			out = append(out, s.push(now, to, ps, ps.unanswered))
		}
	}
	s.queuedPeers = remaining
	return out
}

// startReconciliation starts a reconciliation with the next peer in turn if one is
// due.
func (s *Gossip) startReconciliation(now time.Time) []Action {
	if now.Before(s.nextReconcileAt) {
		return nil
	}
	jitter := time.Duration(s.random.Int64N(int64(ExchangeInterval / 4)))
	s.nextReconcileAt = now.Add(ExchangeInterval - jitter)
	targets := s.targets()
	if len(targets) == 0 {
		return nil
	}
	s.reconcileCount++
	to := targets[s.reconcileCount%len(targets)]
	if s.reconcileCount%lostPeerInterval == 0 {
		to = s.pickLostPeer(to)
	}
	ps := s.peerState(to)
	if ps.awaitsReply || !ps.unanswered.Empty() {
		return nil
	}
	ps.rounds = 0
	ps.reconciling = true
	return []Action{s.push(now, to, ps, s.table.StartReconciliation())}
}

// pickLostPeer picks a lost balancer or a seed at random, so that the parts of a
// partitioned fleet reconnect. If there is none, it returns fallback.
func (s *Gossip) pickLostPeer(fallback netip.AddrPort) netip.AddrPort {
	var out []netip.AddrPort
	for _, b := range s.table.LostBalancers() {
		out = append(out, b.Agent)
	}
	for _, p := range s.seeds {
		if p != s.self.Agent && !slices.Contains(s.peers, p) {
			out = append(out, p)
		}
	}
	if len(out) == 0 {
		return fallback
	}
	return out[s.random.IntN(len(out))]
}

func (s *Gossip) handleMessage(now time.Time, e MessageReceived) []Action {
	s.dequeueKnown(e.From, e.Message)
	reply, news := s.table.Respond(now, e.Message)
	reply.Synchronized = s.Synchronized(now)
	out := s.forwardNews(e.From, news)
	return append(out, SendReply{
		Request: e.Request,
		Message: reply,
	})
}

// handleReply merges a reply and continues the reconciliation until there is
// nothing left to send.
func (s *Gossip) handleReply(now time.Time, e ReplyReceived) []Action {
	ps := s.peerStates[e.From]
	if ps == nil {
		return nil
	}
	ps.awaitsReply = false
	ps.attempts = 0
	ps.sent = nil
	ps.unanswered = Message{}
	ps.nextSendAt = now.Add(PushInterval)
	s.dequeueKnown(e.From, e.Message)
	next, news := s.table.Respond(now, e.Message)
	out := s.forwardNews(e.From, news)
	ps.rounds++
	ps.truncated = ps.truncated || len(e.Message.Records) >= maxRecords
	if next.Empty() || ps.rounds > maxRounds {
		s.finishReconciliation(now, ps, e.Message.Synchronized)
		return out
	}
	return append(out, s.push(now, e.From, ps, next))
}

// finishReconciliation ends a reconciliation. If a reply was truncated, the next one
// starts at once. Only a peer that is synchronized makes this balancer synchronized.
func (s *Gossip) finishReconciliation(now time.Time, ps *peerState, peerSynchronized bool) {
	switch {
	case !ps.reconciling:
	case ps.truncated:
		s.nextReconcileAt = now
	case peerSynchronized:
		s.synchronized = true
	}
	ps.reconciling = false
	ps.truncated = false
}

// forwardNews reports new records and queues them for up to Fanout other peers.
func (s *Gossip) forwardNews(from netip.AddrPort, news []lease.Record) []Action {
	out := make([]Action, 0, len(news)+1)
	for _, r := range news {
		out = append(out, RecordLearned{
			Record: r,
		})
		s.enqueue(s.randomPeers(from), r.Key())
	}
	return out
}

// dequeueKnown removes from the queue of a peer the records that the peer has just
// sent, unless the table has a newer version.
func (s *Gossip) dequeueKnown(from netip.AddrPort, m Message) {
	ps := s.peerStates[from]
	if ps == nil || len(ps.pending) == 0 {
		return
	}
	for _, r := range m.Records {
		own, ok := s.table.Lookup(r.Key())
		if ok && own.Version().Compare(r.Version()) > 0 {
			continue
		}
		if i := slices.Index(ps.pending, r.Key()); i >= 0 {
			ps.pending = slices.Delete(ps.pending, i, i+1)
		}
	}
}

// handleFailure schedules another attempt. After too many it gives up the
// reconciliation or drops the queue of the peer.
func (s *Gossip) handleFailure(now time.Time, to netip.AddrPort) {
	ps := s.peerStates[to]
	if ps == nil {
		return
	}
	ps.awaitsReply = false
	ps.attempts++
	ps.nextSendAt = now.Add(RetryInterval)
	sent := ps.sent
	ps.sent = nil
	if !ps.unanswered.Empty() && (ps.attempts >= maxReconcileAttempts || !s.synchronized) {
		ps.unanswered = Message{}
		ps.reconciling = false
		ps.truncated = false
		s.nextReconcileAt = now
	}
	if ps.attempts >= maxPushAttempts {
		ps.pending = nil
		ps.attempts = 0
		return
	}
	s.queuedPeers = append(s.queuedPeers, to)
	for _, key := range sent {
		s.enqueue([]netip.AddrPort{to}, key)
	}
}

// push sends the records queued for a peer together with the message m, which may
// be empty.
func (s *Gossip) push(now time.Time, to netip.AddrPort, ps *peerState, m Message) Send {
	for len(ps.pending) > 0 && len(m.Records) < maxRecords {
		key := ps.pending[0]
		ps.pending = ps.pending[1:]
		r, ok := s.table.Lookup(key)
		if ok {
			m.Records = append(m.Records, r)
			ps.sent = append(ps.sent, key)
		}
	}
	ps.awaitsReply = true
	ps.nextSendAt = now.Add(PushInterval)
	ps.unanswered = m.withoutRecords()
	return Send{
		To:      to,
		Message: m,
		NewLink: ps.attempts > 0,
	}
}

// enqueue queues a record for each of the peers.
func (s *Gossip) enqueue(to []netip.AddrPort, key lease.Key) {
	for _, p := range to {
		ps := s.peerState(p)
		if slices.Contains(ps.pending, key) {
			continue
		}
		if len(ps.pending) == 0 {
			s.queuedPeers = append(s.queuedPeers, p)
		}
		ps.pending = append(ps.pending, key)
	}
}

// randomPeers picks up to Fanout peers at random, excluding one address.
func (s *Gossip) randomPeers(exclude netip.AddrPort) []netip.AddrPort {
	out := slices.DeleteFunc(slices.Clone(s.peers), func(p netip.AddrPort) bool { return p == exclude })
	s.random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), Fanout)]
}

// targets returns the peers or, while there are none, the seeds and the lost
// balancers.
func (s *Gossip) targets() []netip.AddrPort {
	if len(s.peers) > 0 {
		return s.peers
	}
	out := slices.Clone(s.seeds)
	for _, b := range s.table.LostBalancers() {
		out = append(out, b.Agent)
	}
	return slices.DeleteFunc(out, func(p netip.AddrPort) bool { return p == s.self.Agent })
}

// updatePeers chooses the peers again if the balancers have changed.
func (s *Gossip) updatePeers() {
	balancers := s.table.Balancers()
	if len(balancers) == len(s.chosenFrom) && (len(balancers) == 0 || &balancers[0] == &s.chosenFrom[0]) {
		return
	}
	s.chosenFrom = balancers
	s.peers = s.peers[:0]
	for _, b := range ChoosePeers(s.self, balancers) {
		s.peers = append(s.peers, b.Agent)
	}
	for to, ps := range s.peerStates {
		if !ps.awaitsReply && !slices.Contains(s.peers, to) {
			delete(s.peerStates, to)
		}
	}
}

func (s *Gossip) peerState(to netip.AddrPort) *peerState {
	ps := s.peerStates[to]
	if ps == nil {
		ps = &peerState{}
		s.peerStates[to] = ps
	}
	return ps
}
