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

// OwnerBatch sends a batch of owner queries to an agent.
type OwnerBatch struct {
	To    frame.Host
	Batch frame.OwnerBatch
}

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
	if !first || list[0] != g.homeOf(now, p.Key) || now.Before(g.skipHomeUntil) || !g.asker.Ready(now) {
		g.queryAll(now, x, list, complete)
		return
	}
	q.homePending = true
	q.deadline = now.Add(homeTimeout)
	g.forwardToList(now, stageHome, list[:1], 0, &q.held[0])
}

// forwardToList forwards a packet along one list of candidates.
func (g *Router) forwardToList(now time.Time, stage uint8, list []frame.Host, flags uint8, p *Packet) {
	latencyTarget, priority := g.routeTargets(p.Key)
	// The packet comes back unless a candidate owns the flow.
	g.asker.Charge(now, 2, 2*(len(p.Raw)+forwardBytes)+4*len(list))
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

// forwardInLists forwards a packet to candidates in lists in parallel and returns the lists.
// Short lists stay in one failure domain: the packet crosses between failure domains once for
// each list and not with each hop. In a long one the candidates of a failure domain follow each
// other.
func (g *Router) forwardInLists(now time.Time, stage uint8, hosts []frame.Host, p *Packet) (lists [][]frame.Host) {
	groups, length := g.groupByZone(hosts), maxListLength
	if g.undecidedCount > manyUndecided {
		groups, length = [][]frame.Host{slices.Concat(groups...)}, maxLongList
	}
	for _, group := range groups {
		for part := range slices.Chunk(group, length) {
			list := slices.Clone(part)
			lists = append(lists, list)
			g.forwardToList(now, stage, list, frame.ListComplete, p)
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

// queryAll asks all candidates that have not denied the flow whether they own it: in a batch
// where the agent answers batches, else with an owner query of its own.
func (g *Router) queryAll(now time.Time, x *flow, list []frame.Host, complete bool) {
	q := x.query
	g.queryCount++
	q.id = g.queryCount
	q.homePending = false
	q.awaiting = x.denials.Missing(list)
	if len(q.awaiting) == 0 {
		g.advanceQuery(now, x)
		return
	}
	p := &q.held[0]
	var batched, single []frame.Host
	for _, h := range q.awaiting {
		if s := g.members.Agent(h); s != nil && s.AnswersBatches {
			batched = append(batched, h)
		} else {
			single = append(single, h)
		}
	}
	q.deadline = now.Add(queryTimeout)
	if len(single) > 0 {
		g.asker.ChargeSingles(now, len(single))
		g.addAction(OwnerQuery{
			To:           single,
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
	if len(batched) == 0 {
		return
	}
	q.unsent = true
	q.asked = &lookup.Flow{
		FlowQuery: frame.FlowQuery{
			Key:            q.key,
			Acknowledgment: p.Acknowledgment,
			Acknowledges:   p.HasAck(),
		},
		Hosts:   batched,
		Denials: x.denials,
	}
	g.asker.Ask(q.asked)
	g.sendBatches(now)
}

// sendBatches sends the batches of owner queries that are due.
func (g *Router) sendBatches(now time.Time) {
	r := g.asker.Send(now)
	for _, f := range r.Flows {
		if x, ok := g.flows[f.Key]; ok && x.query != nil && x.query.asked == f {
			x.query.unsent = false
			x.query.deadline = now.Add(queryTimeout)
		}
	}
	for _, b := range r.Questions {
		g.addAction(OwnerBatch{
			To:    b.To,
			Batch: b.Batch,
		})
	}
}

// queryAfterHome continues a lookup whose home did not know the owner or did not answer.
func (g *Router) queryAfterHome(now time.Time, x *flow) {
	q := x.query
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

// handleDenial handles the answer of an agent that does not own the flow or cannot tell.
func (g *Router) handleDenial(now time.Time, d frame.Denial) {
	g.members.MarkAlive(d.Host)
	x, ok := g.flows[d.Key]
	if !ok || x.query == nil || x.query.id != d.QueryID {
		return
	}
	verdict := frame.CannotTell
	switch {
	case d.FlowEnded:
		verdict = frame.Ended
	case d.Conclusive:
		verdict = frame.Denied
	}
	g.handleVerdict(now, x, d.Host, verdict)
}

// handleBatchAnswer handles an agent's answers to a batch.
func (g *Router) handleBatchAnswer(now time.Time, m frame.OwnerAnswers) {
	g.members.MarkAlive(m.Host)
	for _, a := range g.asker.Receive(m) {
		if x, ok := g.flows[a.Flow.Key]; ok && x.query != nil && x.query.asked == a.Flow {
			g.handleVerdict(now, x, a.Host, a.Verdict)
		}
	}
}

// handleVerdict handles what an agent has answered about a flow that is being looked up.
func (g *Router) handleVerdict(now time.Time, x *flow, h frame.Host, verdict frame.Verdict) {
	q := x.query
	at := slices.Index(q.awaiting, h)
	if at < 0 {
		return
	}
	q.awaiting = slices.Delete(q.awaiting, at, at+1)
	switch verdict {
	case frame.Owned:
		g.handleHint(now, frame.Owner{
			Key:  q.key,
			Host: h,
		})
		return
	case frame.Ended:
		g.addAction(LookupSettled{
			Outcome: LookupEnded,
		})
		x.query = nil
		g.handleEndedFlow(now, x, q.held[0].Packet)
		return
	case frame.Denied:
		x.denials.Add(h)
	default:
		q.undecided = append(q.undecided, h)
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
	denied := len(x.denials.Missing(list)) == 0
	settled := LookupDenied
	if !denied {
		settled = LookupUnanswered
	}
	g.addAction(LookupSettled{
		Outcome: settled,
	})
	g.recordNoOwner(now, x, first.Packet, first.Raw, outcome{
		denied:     denied,
		conclusive: denied && complete,
		proven:     g.recordProves(x),
		bounded:    true,
	})
}

// forwardToUndecided forwards the packet to the agents that could not tell and that have no
// more packets of other lookups than they may have, if the budget allows it.
func (g *Router) forwardToUndecided(now time.Time, q *query) {
	if !g.asker.Ready(now) {
		return
	}
	hosts := g.packets.Available(q.undecided)
	if len(hosts) == 0 {
		return
	}
	longest := 0
	for _, list := range g.forwardInLists(now, q.stage(), hosts, &q.held[0]) {
		g.packets.Add(list)
		q.lists = append(q.lists, list)
		longest = max(longest, len(list))
	}
	for i := range q.held[1:] {
		g.forwardInLists(now, stageExtraPacket, hosts, &q.held[1+i])
	}
	q.forwarded = append(q.forwarded, hosts...)
	q.undecided = slices.DeleteFunc(q.undecided, func(h frame.Host) bool { return slices.Contains(hosts, h) })
	q.deadline = now.Add(queryTimeout + time.Duration(max(longest, maxListLength))*hopTimeout)
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
	g.addAction(LookupSettled{
		Outcome: settled,
	})
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

// removeLists gives up the packets that have not come back.
func (g *Router) removeLists(q *query) {
	for _, list := range q.lists {
		g.packets.Remove(list)
	}
	q.lists = nil
}
