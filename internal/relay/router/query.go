package router

import (
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/lookup"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// Parameters of a parallel lookup. If many endpoints may own a flow, its packet does not
// travel along the whole candidate list, which would take as many hops and as many copies
// of the packet. The home, which stores the owner of the flow, is asked first. If it does
// not know the owner, all candidates get an owner query without the packet at the same
// time. Only the agents that cannot tell without the packet then get it, in short lists in
// parallel.
const (
	// forwardBytes is the size of a Forward without its packet and candidates.
	forwardBytes = 31
	// maxSequential is the largest number of candidates that a packet passes one after
	// the other.
	maxSequential = frame.MaxList
	// A packet that passes all candidates costs each of them a datagram, and each agent gets
	// those of all balancers. One lookup in sequentialInterval and maxSequentialBurst of them
	// at a time go this way; with 25 balancers that is a tenth of what a small agent can
	// handle. Beyond that, flows are asked about in batches for batchedPeriod.
	sequentialInterval = 25 * time.Millisecond
	maxSequentialBurst = 8
	batchedPeriod      = time.Second
	// If more than one in maxUndecidedPart of the agents cannot tell without the packet, it
	// passes the candidates all the same.
	maxUndecidedPart = 4
	// homeTimeout is how long the home may take to forward the packet to the owner or to
	// return it. queryTimeout is how long answers to an owner query are awaited: several
	// round trips between failure domains and the delay in a busy agent.
	homeTimeout  = 20 * time.Millisecond
	queryTimeout = 100 * time.Millisecond
	// maxListLength is the largest number of candidates in a list that gets the packet
	// after a query, and hopTimeout how long each of them may take.
	maxListLength = 8
	hopTimeout    = 10 * time.Millisecond
	// With more than manyUndecided lookups whose packets wait for the byte budget or for busy
	// agents, a packet travels along up to maxLongList candidates: the balancer sends and gets
	// fewer copies of it, and its caller waits for the budget anyway.
	manyUndecided = 8
	maxLongList   = 32
	// After maxHomeMisses lookups in a row whose home did not know the owner, all candidates are
	// asked at once for homeMissPause: the homes have lost what they stored.
	maxHomeMisses = 4
	homeMissPause = time.Second
	// maxRounds is how often agents that answer batches are asked in one lookup while answers or
	// packets are missing.
	maxRounds = 4
	// maxHeldPackets bounds the packets of a flow held during a parallel lookup; the
	// caller retransmits the others.
	maxHeldPackets = 8
)

// Stages of a lookup. A Returned packet names the stage that it belongs to.
const (
	// stageSequential: the packet passes a few candidates one after the other.
	stageSequential = iota
	// stageHome: only the home of the flow has the packet.
	stageHome
	// stageExtraPacket: agents that could not tell get a further packet of the flow. Its
	// return carries no information and is ignored.
	stageExtraPacket
	// stageUndecided: agents that could not tell get the packet. Each query takes the next
	// of the values from here up to stageCount, so that a late return of an earlier query
	// is recognized.
	stageUndecided
)

// stageCount is the number of stage values.
const stageCount = 250

// stageProven is stageSequential with a list that holds every agent of a member record that
// was read since the lookup began.
const stageProven = stageCount

// Denied is the answer to an owner query from an agent whose endpoint does not hold the
// flow, or that cannot tell.
type Denied struct {
	frame.Denial
}

// BatchAnswered is the answer to a batch of owner queries.
type BatchAnswered struct {
	frame.OwnerAnswers
}

func (OwnerQuery) action()   {}
func (OwnerBatch) action()   {}
func (Denied) event()        {}
func (BatchAnswered) event() {}

// query is a parallel lookup of a flow's owner among many endpoints.
type query struct {
	id  uint32
	key link.Key
	// homePending is set while the home has the packet and no query has been sent.
	homePending bool
	// held are packets of the flow; the first one started the lookup.
	held []Packet
	// asked is the flow as it is asked about in batches. unsent is set while its questions wait
	// to be sent.
	asked  *lookup.Flow
	unsent bool
	// awaiting are the agents that have not answered, undecided those that could not tell and
	// have not got the packet, and forwarded those that got it.
	awaiting  []frame.Host
	undecided []frame.Host
	forwarded []frame.Host
	// rounds counts how often agents were asked again.
	rounds int
	// lists are the lists of candidates whose packet has not come back.
	lists [][]frame.Host
	// deadline is when the current stage ends without further answers.
	deadline time.Time
}

// stage returns the stage of the lists that get the packet in this query.
func (q *query) stage() uint8 {
	return stageUndecided + uint8(q.id%(stageCount-stageUndecided))
}

// hold adds a packet that arrives during the lookup. It reports false for a copy of a
// held packet and if maxHeldPackets is reached.
func (q *query) hold(p link.Packet, raw []byte) bool {
	isCopy := slices.ContainsFunc(q.held, func(o Packet) bool {
		return o.Sequence == p.Sequence && o.Acknowledgment == p.Acknowledgment && o.Payload == p.Payload && o.Flags == p.Flags
	})
	if isCopy || len(q.held) >= maxHeldPackets {
		return false
	}
	q.held = append(q.held, Packet{
		Packet: p,
		Raw:    slices.Clone(raw),
	})
	return true
}

// addToQuery adds a packet of a flow whose owner is being looked up and forwards it to
// the agents that have the first one: an endpoint may need all packets of a request
// before it answers.
func (g *Router) addToQuery(now time.Time, q *query, p link.Packet, raw []byte) {
	if q.hold(p, raw) {
		g.forwardInLists(now, stageExtraPacket, q.forwarded, &q.held[len(q.held)-1])
	}
}

// startQuery starts a parallel lookup among the candidates that have not denied the flow: at
// the home of the flow if that is the first one and homes know the owners, else with a query to
// all.
func (g *Router) startQuery(now time.Time, p link.Packet, raw []byte, s lookupState, list []frame.Host, complete bool) {
	x, ok := g.flows[p.Key]
	if !ok {
		x = g.addFlow(now, p.Key)
	}
	if x == nil {
		g.addAction(Drop{
			Packet: p,
			Reason: TableFull,
		})
		return
	}
	first := x.denials == nil
	if first {
		x.denials = lookup.NewDenials(p)
	}
	if x.lookedUpSince.IsZero() {
		x.lookedUpSince = now
	}
	if s.denier != 0 && !s.undecided {
		x.denials.Add(s.denier)
	}
	q := &query{
		key: p.Key,
	}
	q.hold(p, raw)
	x.query = q
	g.queries = append(g.queries, q)
	if !first || list[0] != g.homeOf(now, p.Key) || now.Before(g.skipHomeUntil) {
		g.queryAll(now, x, list, complete)
		return
	}
	q.homePending = true
	q.deadline = now.Add(homeTimeout)
	// A home that knows the owner forwards the packet, which has to be sent anyway. It counts
	// towards the budget if it comes back.
	g.forwardUncharged(now, stageHome, list[:1], 0, &q.held[0])
}

// queryAfterHome continues a lookup whose home did not know the owner or did not answer.
func (g *Router) queryAfterHome(now time.Time, x *flow) {
	q := x.query
	g.asker.Charge(now, 2, 2*(len(q.held[0].Raw)+forwardBytes))
	if g.homeMisses++; g.homeMisses >= maxHomeMisses {
		g.homeMisses = 0
		g.skipHomeUntil = now.Add(homeMissPause)
	}
	route, ok := g.route(q.key)
	if !ok {
		x.query = nil
		g.rejectUnrouted(q.held[0].Packet)
		return
	}
	list, complete := g.lookupCandidates(now, q.key, route)
	if len(list) == 0 {
		x.query = nil
		return
	}
	g.queryAll(now, x, list, complete)
}

// advanceQuery forwards the packet to the agents that could not tell. If there are none
// and no answer is awaited, the lookup ends without an owner.
func (g *Router) advanceQuery(now time.Time, x *flow) {
	q := x.query
	if len(q.undecided) > 0 {
		g.forwardToUndecided(now, q)
		return
	}
	if len(q.awaiting) > 0 || len(q.lists) > 0 {
		return
	}
	x.query = nil
	first := q.held[0]
	route, ok := g.route(q.key)
	if !ok {
		g.rejectUnrouted(first.Packet)
		return
	}
	list, complete := g.lookupCandidates(now, q.key, route)
	missing := x.denials.Missing(list)
	denied := len(missing) == 0
	settled := LookupDenied
	if !denied {
		settled = LookupUnanswered
	}
	g.addSettled(q, settled, missing)
	g.recordNoOwner(now, x, first.Packet, first.Raw, outcome{
		denied:     denied,
		conclusive: denied && complete,
		proven:     g.recordProves(x),
		bounded:    true,
	})
}

// handleQueryReturn handles a packet of a parallel lookup that a list of candidates
// returned. It ignores a return that arrives after the deadline of its stage.
func (g *Router) handleQueryReturn(now time.Time, x *flow, e Returned) {
	if x == nil || x.query == nil {
		return
	}
	q := x.query
	switch {
	case q.homePending && e.LookupStage == stageHome:
		g.queryAfterHome(now, x)
	case !q.homePending && e.LookupStage == q.stage():
		at := slices.IndexFunc(q.lists, func(list []frame.Host) bool { return slices.Contains(list, e.Host) })
		if at < 0 {
			return
		}
		list := q.lists[at]
		q.lists = slices.Delete(q.lists, at, at+1)
		g.packets.Remove(list)
		for _, h := range list {
			if e.Conclusive {
				x.denials.Add(h)
			}
		}
		g.advanceQuery(now, x)
		g.forwardNext(now)
	}
}

// deliverHeld forwards the packets held during a lookup to the owner that it found.
func (g *Router) deliverHeld(now time.Time, x *flow) {
	q := x.query
	x.query = nil
	x.denials = nil
	if q == nil {
		return
	}
	settled := LookupFound
	if q.homePending {
		settled = LookupFoundByHome
	}
	g.addSettled(q, settled, nil)
	held := q.held
	switch {
	case slices.Contains(q.forwarded, x.owners[0].host):
		// It already has all of them.
		return
	case q.homePending:
		// The home has already forwarded the first one to the owner.
		held = held[1:]
		g.homeMisses = 0
	}
	for _, p := range held {
		if host := x.ownerOf(p.Packet); host != 0 {
			g.sendToOwner(now, x, host, p)
		}
	}
}

// checkQueries advances the parallel lookups in progress. The packet goes to the agents
// that could not tell without waiting for all answers, and a stage ends at its deadline.
func (g *Router) checkQueries(now time.Time) {
	g.asker.Expire(now)
	watched := g.queries
	g.queries = nil
	undecided := 0
	for _, q := range watched {
		x, ok := g.flows[q.key]
		if !ok || x.query != q {
			g.abandonQuery(q)
			continue
		}
		switch overdue := !q.unsent && !now.Before(q.deadline); {
		case overdue && q.homePending:
			g.queryAfterHome(now, x)
		case overdue && len(q.undecided) == 0 && g.repeatQuery(now, x):
		case overdue:
			q.awaiting = nil
			g.removeLists(q)
			g.advanceQuery(now, x)
		case len(q.undecided) > 0:
			g.advanceQuery(now, x)
		}
		if len(q.undecided) > 0 {
			undecided++
		}
		if x.query == q {
			g.queries = append(g.queries, q)
		} else {
			g.abandonQuery(q)
		}
	}
	g.undecidedCount = undecided
	g.sendBatches(now)
}

// abandonQuery releases what a query that has ended still holds.
func (g *Router) abandonQuery(q *query) {
	g.removeLists(q)
	if q.unsent {
		g.asker.Cancel(q.asked)
	}
}
