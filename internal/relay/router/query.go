package router

import (
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// Parameters of a parallel lookup. If many endpoints may own a flow, its packet does not
// travel along the whole candidate list, which would take as many hops and as many copies
// of the packet. The home, which stores the owner of the flow, is asked first. If it does
// not know the owner, all candidates get an owner query without the packet at the same
// time. Only the agents that cannot tell without the packet then get it, in short lists in
// parallel.
const (
	// maxSequential is the largest number of candidates that a packet passes one after
	// the other.
	maxSequential = frame.MaxList
	// homeTimeout is how long the home may take to forward the packet to the owner or to
	// return it. queryTimeout is how long answers to an owner query are awaited: several
	// round trips between failure domains and the delay in a busy agent.
	homeTimeout  = 20 * time.Millisecond
	queryTimeout = 100 * time.Millisecond
	// maxListLength is the largest number of candidates in a list that gets the packet
	// after a query, and hopTimeout how long each of them may take.
	maxListLength = 8
	hopTimeout    = 10 * time.Millisecond
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

// OwnerQuery sends an owner query to agents.
type OwnerQuery struct {
	To    []frame.Host
	Query frame.OwnerQuery
	// ListComplete is set if all agents that this balancer knows are asked.
	ListComplete bool
}

// Denied is the answer to an owner query from an agent whose endpoint does not hold the
// flow, or that cannot tell.
type Denied struct {
	frame.Denial
}

func (OwnerQuery) action() {}
func (Denied) event()      {}

// query is a parallel lookup of a flow's owner among many endpoints.
type query struct {
	id  uint32
	key link.Key
	// homePending is set while the home has the packet and no query has been sent.
	homePending bool
	// held are packets of the flow; the first one started the lookup.
	held []Packet
	// awaiting are the agents that have not answered, undecided those that could not tell,
	// and forwarded those that got the packet since. pendingLists counts the lists of
	// forwarded agents whose packet has not come back.
	awaiting     []frame.Host
	undecided    []frame.Host
	forwarded    []frame.Host
	pendingLists int
	// denied is set while every agent that was asked has denied the flow or may still do so.
	// complete is set if every agent that this balancer knows is asked, proven if these are all
	// that may own the flow.
	denied   bool
	complete bool
	proven   bool
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
		g.forwardInLists(now, q, stageExtraPacket, q.forwarded, &q.held[len(q.held)-1])
	}
}

// startQuery starts a parallel lookup: at the home of the flow if that is the first
// candidate, else with a query to all.
func (g *Router) startQuery(now time.Time, p link.Packet, raw []byte, list []frame.Host, complete bool) {
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
	if x.lookedUpSince.IsZero() {
		x.lookedUpSince = now
	}
	q := &query{
		key: p.Key,
	}
	q.hold(p, raw)
	x.query = q
	g.queries = append(g.queries, q)
	if list[0] != g.homeOf(now, p.Key) {
		g.queryAll(now, q, list, complete)
		return
	}
	q.homePending = true
	q.deadline = now.Add(homeTimeout)
	g.forwardToList(now, stageHome, list[:1], 0, &q.held[0])
}

// forwardToList forwards a packet along one list of candidates.
func (g *Router) forwardToList(now time.Time, stage uint8, list []frame.Host, flags uint8, p *Packet) {
	latencyTarget, priority := g.routeTargets(p.Key)
	g.addAction(Send{
		To:     list[0],
		Key:    p.Key,
		Kind:   p.Kind,
		Reason: Lookup,
		Forward: &frame.Forward{
			Flags:           flags,
			Best:            frame.NoBest,
			LookupStage:     stage,
			LatencyTargetMS: latencyTarget,
			Priority:        priority,
			Balancer:        g.self,
			Home:            g.homeOf(now, p.Key),
			Candidates:      list,
			Packet:          p.Raw,
		},
	})
}

// forwardInLists forwards a packet to candidates in short lists in parallel and returns
// the number of lists. Each list stays in one failure domain: the packet crosses between
// failure domains once for each list and not with each hop.
func (g *Router) forwardInLists(now time.Time, q *query, stage uint8, hosts []frame.Host, p *Packet) (lists int) {
	flags := uint8(frame.CandidateSilent)
	if q.denied {
		flags = frame.ListComplete
	}
	for _, group := range g.groupByZone(hosts) {
		for list := range slices.Chunk(group, maxListLength) {
			lists++
			g.forwardToList(now, stage, slices.Clone(list), flags, p)
		}
	}
	return lists
}

// groupByZone groups hosts by failure domain and keeps their order within each.
func (g *Router) groupByZone(hosts []frame.Host) (groups [][]frame.Host) {
	index := map[uint64]int{}
	for _, h := range hosts {
		zone := uint64(0)
		if s := g.members.Agent(h); s != nil {
			zone = s.Zone
		}
		at, ok := index[zone]
		if !ok {
			at = len(groups)
			index[zone] = at
			groups = append(groups, nil)
		}
		groups[at] = append(groups[at], h)
	}
	return groups
}

// queryAll sends an owner query to all candidates.
func (g *Router) queryAll(now time.Time, q *query, list []frame.Host, complete bool) {
	g.queryCount++
	q.id = g.queryCount
	q.homePending = false
	q.awaiting = list
	q.denied = true
	q.complete = complete
	q.proven = g.recordProves(g.flows[q.key])
	q.deadline = now.Add(queryTimeout)
	p := &q.held[0]
	g.addAction(OwnerQuery{
		To:           slices.Clone(list),
		ListComplete: complete,
		Query: frame.OwnerQuery{
			QueryID:        q.id,
			Balancer:       g.self,
			Key:            q.key,
			Acknowledgment: p.Acknowledgment,
			Acknowledges:   p.HasAck(),
		},
	})
}

// queryAfterHome continues a lookup whose home did not know the owner or did not answer.
func (g *Router) queryAfterHome(now time.Time, x *flow) {
	q := x.query
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
	g.queryAll(now, q, list, complete)
}

// handleDenial handles the answer of an agent that does not own the flow or cannot tell.
func (g *Router) handleDenial(now time.Time, d frame.Denial) {
	g.members.MarkAlive(d.Host)
	x, ok := g.flows[d.Key]
	if !ok || x.query == nil || x.query.id != d.QueryID {
		return
	}
	q := x.query
	at := slices.Index(q.awaiting, d.Host)
	if at < 0 {
		return
	}
	q.awaiting = slices.Delete(q.awaiting, at, at+1)
	if d.FlowEnded {
		x.query = nil
		g.handleEndedFlow(now, x, q.held[0].Packet)
		return
	}
	if !d.Conclusive {
		q.undecided = append(q.undecided, d.Host)
	}
	if len(q.awaiting) == 0 {
		g.advanceQuery(now, x)
	}
}

// advanceQuery forwards the packet to the agents that could not tell. If there are none
// and no answer is awaited, the lookup ends without an owner.
func (g *Router) advanceQuery(now time.Time, x *flow) {
	q := x.query
	if len(q.undecided) > 0 {
		g.forwardToUndecided(now, q)
		return
	}
	if len(q.awaiting) > 0 || q.pendingLists > 0 {
		return
	}
	x.query = nil
	first := q.held[0]
	g.recordNoOwner(now, x, first.Packet, first.Raw, outcome{
		denied:     q.denied,
		conclusive: q.denied && q.complete,
		proven:     q.proven,
	})
}

func (g *Router) forwardToUndecided(now time.Time, q *query) {
	q.pendingLists += g.forwardInLists(now, q, q.stage(), q.undecided, &q.held[0])
	for i := range q.held[1:] {
		g.forwardInLists(now, q, stageExtraPacket, q.undecided, &q.held[1+i])
	}
	q.forwarded = append(q.forwarded, q.undecided...)
	q.undecided = nil
	q.deadline = now.Add(queryTimeout + maxListLength*hopTimeout)
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
	case !q.homePending && e.LookupStage == q.stage() && q.pendingLists > 0:
		q.pendingLists--
		q.denied = q.denied && e.Conclusive
		g.advanceQuery(now, x)
	}
}

// deliverHeld forwards the packets held during a lookup to the owner that it found.
func (g *Router) deliverHeld(now time.Time, x *flow) {
	q := x.query
	x.query = nil
	if q == nil {
		return
	}
	held := q.held
	switch {
	case slices.Contains(q.forwarded, x.owners[0].host):
		// It already has all of them.
		return
	case q.homePending:
		// The home has already forwarded the first one to the owner.
		held = held[1:]
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
	watched := g.queries
	g.queries = nil
	for _, q := range watched {
		x, ok := g.flows[q.key]
		if !ok || x.query != q {
			continue
		}
		switch overdue := !now.Before(q.deadline); {
		case overdue && q.homePending:
			g.queryAfterHome(now, x)
		case overdue:
			q.denied = q.denied && len(q.awaiting) == 0 && q.pendingLists == 0
			q.awaiting = nil
			q.pendingLists = 0
			g.advanceQuery(now, x)
		case len(q.undecided) > 0:
			g.advanceQuery(now, x)
		}
		if x.query == q {
			g.queries = append(g.queries, q)
		}
	}
}
