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
	// ReconcileInterval is the longest time between two reconciliations that a balancer
	// starts; a random part of up to a quarter is taken off.
	ReconcileInterval = 4 * time.Second
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
func (g *Gossip) Peers() []netip.AddrPort {
	g.updatePeers()
	return g.targets()
}

// Synchronized reports whether the table was reconciled once with that of a
// synchronized peer, or there is no peer, or SyncTimeout has passed.
func (g *Gossip) Synchronized(now time.Time) bool {
	return g.synchronized || len(g.targets()) == 0 || !g.startedAt.IsZero() && now.After(g.startedAt.Add(SyncTimeout))
}

// Step processes one event and returns the resulting actions.
func (g *Gossip) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Tick:
		return g.tick(now)
	case SeedsChanged:
		g.seeds = slices.Clone(e.Addresses)
		return nil
	case RecordChanged:
		g.updatePeers()
		g.enqueue(g.targets(), e.Key)
		return nil
	case MessageReceived:
		return g.handleMessage(now, e)
	case ReplyReceived:
		return g.handleReply(now, e)
	case SendFailed:
		g.handleFailure(now, e.To)
		return nil
	default:
		return nil
	}
}

func (g *Gossip) tick(now time.Time) []Action {
	if g.startedAt.IsZero() {
		g.startedAt = now
	}
	g.table.RemoveExpired(now)
	g.updatePeers()
	out := g.startReconciliation(now)
	slices.SortFunc(g.queuedPeers, netip.AddrPort.Compare)
	g.queuedPeers = slices.Compact(g.queuedPeers)
	remaining := g.queuedPeers[:0]
	for _, to := range g.queuedPeers {
		ps := g.peerStates[to]
		if ps == nil || len(ps.pending) == 0 && ps.unanswered.Empty() {
			continue
		}
		remaining = append(remaining, to)
		if !ps.awaitsReply && !now.Before(ps.nextSendAt) {
			out = append(out, g.push(now, to, ps, ps.unanswered))
		}
	}
	g.queuedPeers = remaining
	return out
}

// startReconciliation starts a reconciliation with the next peer in turn if one is
// due.
func (g *Gossip) startReconciliation(now time.Time) []Action {
	if now.Before(g.nextReconcileAt) {
		return nil
	}
	jitter := time.Duration(g.random.Int64N(int64(ReconcileInterval / 4)))
	g.nextReconcileAt = now.Add(ReconcileInterval - jitter)
	targets := g.targets()
	if len(targets) == 0 {
		return nil
	}
	g.reconcileCount++
	to := targets[g.reconcileCount%len(targets)]
	if g.reconcileCount%lostPeerInterval == 0 {
		to = g.pickLostPeer(to)
	}
	ps := g.peerState(to)
	if ps.awaitsReply || !ps.unanswered.Empty() {
		return nil
	}
	ps.rounds = 0
	ps.reconciling = true
	return []Action{g.push(now, to, ps, g.table.StartReconciliation())}
}

// pickLostPeer picks a lost balancer or a seed at random, so that the parts of a
// partitioned fleet reconnect. If there is none, it returns fallback.
func (g *Gossip) pickLostPeer(fallback netip.AddrPort) netip.AddrPort {
	var out []netip.AddrPort
	for _, b := range g.table.LostBalancers() {
		out = append(out, b.Agent)
	}
	for _, p := range g.seeds {
		if p != g.self.Agent && !slices.Contains(g.peers, p) {
			out = append(out, p)
		}
	}
	if len(out) == 0 {
		return fallback
	}
	return out[g.random.IntN(len(out))]
}

func (g *Gossip) handleMessage(now time.Time, e MessageReceived) []Action {
	g.dequeueKnown(e.From, e.Message)
	reply, news := g.table.Respond(now, e.Message)
	reply.Synchronized = g.Synchronized(now)
	out := g.forwardNews(e.From, news)
	return append(out, SendReply{
		Request: e.Request,
		Message: reply,
	})
}

// handleReply merges a reply and continues the reconciliation until there is
// nothing left to send.
func (g *Gossip) handleReply(now time.Time, e ReplyReceived) []Action {
	ps := g.peerStates[e.From]
	if ps == nil {
		return nil
	}
	ps.awaitsReply = false
	ps.attempts = 0
	ps.sent = nil
	ps.unanswered = Message{}
	ps.nextSendAt = now.Add(PushInterval)
	g.dequeueKnown(e.From, e.Message)
	next, news := g.table.Respond(now, e.Message)
	out := g.forwardNews(e.From, news)
	ps.rounds++
	ps.truncated = ps.truncated || len(e.Message.Records) >= maxRecords
	if next.Empty() || ps.rounds > maxRounds {
		g.finishReconciliation(now, ps, e.Message.Synchronized)
		return out
	}
	return append(out, g.push(now, e.From, ps, next))
}

// finishReconciliation ends a reconciliation. If a reply was truncated, the next one
// starts at once. Only a peer that is synchronized makes this balancer synchronized.
func (g *Gossip) finishReconciliation(now time.Time, ps *peerState, peerSynchronized bool) {
	switch {
	case !ps.reconciling:
	case ps.truncated:
		g.nextReconcileAt = now
	case peerSynchronized:
		g.synchronized = true
	}
	ps.reconciling = false
	ps.truncated = false
}

// forwardNews reports new records and queues them for up to Fanout other peers.
func (g *Gossip) forwardNews(from netip.AddrPort, news []lease.Record) []Action {
	out := make([]Action, 0, len(news)+1)
	for _, r := range news {
		out = append(out, RecordLearned{
			Record: r,
		})
		g.enqueue(g.randomPeers(from), r.Key())
	}
	return out
}

// dequeueKnown removes from the queue of a peer the records that the peer has just
// sent, unless the table has a newer version.
func (g *Gossip) dequeueKnown(from netip.AddrPort, m Message) {
	ps := g.peerStates[from]
	if ps == nil || len(ps.pending) == 0 {
		return
	}
	for _, r := range m.Records {
		own, ok := g.table.Lookup(r.Key())
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
func (g *Gossip) handleFailure(now time.Time, to netip.AddrPort) {
	ps := g.peerStates[to]
	if ps == nil {
		return
	}
	ps.awaitsReply = false
	ps.attempts++
	ps.nextSendAt = now.Add(RetryInterval)
	sent := ps.sent
	ps.sent = nil
	if !ps.unanswered.Empty() && (ps.attempts >= maxReconcileAttempts || !g.synchronized) {
		ps.unanswered = Message{}
		ps.reconciling = false
		ps.truncated = false
		g.nextReconcileAt = now
	}
	if ps.attempts >= maxPushAttempts {
		ps.pending = nil
		ps.attempts = 0
		return
	}
	g.queuedPeers = append(g.queuedPeers, to)
	for _, key := range sent {
		g.enqueue([]netip.AddrPort{to}, key)
	}
}

// push sends the records queued for a peer together with the message m, which may
// be empty.
func (g *Gossip) push(now time.Time, to netip.AddrPort, ps *peerState, m Message) Send {
	for len(ps.pending) > 0 && len(m.Records) < maxRecords {
		key := ps.pending[0]
		ps.pending = ps.pending[1:]
		r, ok := g.table.Lookup(key)
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
func (g *Gossip) enqueue(to []netip.AddrPort, key lease.Key) {
	for _, p := range to {
		ps := g.peerState(p)
		if slices.Contains(ps.pending, key) {
			continue
		}
		if len(ps.pending) == 0 {
			g.queuedPeers = append(g.queuedPeers, p)
		}
		ps.pending = append(ps.pending, key)
	}
}

// randomPeers picks up to Fanout peers at random, excluding one address.
func (g *Gossip) randomPeers(exclude netip.AddrPort) []netip.AddrPort {
	out := slices.DeleteFunc(slices.Clone(g.peers), func(p netip.AddrPort) bool { return p == exclude })
	g.random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), Fanout)]
}

// targets returns the peers or, while there are none, the seeds and the lost
// balancers.
func (g *Gossip) targets() []netip.AddrPort {
	if len(g.peers) > 0 {
		return g.peers
	}
	out := slices.Clone(g.seeds)
	for _, b := range g.table.LostBalancers() {
		out = append(out, b.Agent)
	}
	return slices.DeleteFunc(out, func(p netip.AddrPort) bool { return p == g.self.Agent })
}

// updatePeers chooses the peers again if the balancers have changed.
func (g *Gossip) updatePeers() {
	balancers := g.table.Balancers()
	if len(balancers) == len(g.chosenFrom) && (len(balancers) == 0 || &balancers[0] == &g.chosenFrom[0]) {
		return
	}
	g.chosenFrom = balancers
	g.peers = g.peers[:0]
	for _, b := range ChoosePeers(g.self, balancers) {
		g.peers = append(g.peers, b.Agent)
	}
	for to, ps := range g.peerStates {
		if !ps.awaitsReply && !slices.Contains(g.peers, to) {
			delete(g.peerStates, to)
		}
	}
}

func (g *Gossip) peerState(to netip.AddrPort) *peerState {
	ps := g.peerStates[to]
	if ps == nil {
		ps = &peerState{}
		g.peerStates[to] = ps
	}
	return ps
}
