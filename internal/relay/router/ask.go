package router

import (
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/lookup"
)

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

// looksUpInParallel reports whether the owner of a flow is looked up with a query to all
// candidates: there are too many for one list, or lookups are so frequent that batches cost less.
// They do not where many agents cannot tell without the packet, as after restarts of agents alone:
// most flows have an owner then, and the packet does not pass the agents behind it.
func (g *Router) looksUpInParallel(now time.Time, x *flow, list []frame.Host) bool {
	if len(list) > maxSequential || x != nil && x.denials != nil {
		return true
	}
	if now.After(g.sequentialUntil) {
		g.sequentialUntil = now
	}
	g.sequentialUntil = g.sequentialUntil.Add(sequentialInterval)
	if g.sequentialUntil.Sub(now) > maxSequentialBurst*sequentialInterval {
		g.sequentialUntil = now.Add(maxSequentialBurst * sequentialInterval)
		g.batchedUntil = now.Add(batchedPeriod)
	}
	if !now.Before(g.batchedUntil) || g.asker.MayPass(now) && g.asker.Undecided(now, list) > len(list)/maxUndecidedPart {
		return false
	}
	_, single := g.splitByBatches(list)
	return len(single) == 0
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
	batched, single := g.splitByBatches(q.awaiting)
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
	if len(batched) > 0 {
		g.askInBatch(now, x, batched)
	}
}

// splitByBatches returns the agents that answer batches and the others.
func (g *Router) splitByBatches(hosts []frame.Host) (batched, single []frame.Host) {
	for _, h := range hosts {
		if s := g.members.Agent(h); s != nil && s.AnswersBatches {
			batched = append(batched, h)
		} else {
			single = append(single, h)
		}
	}
	return batched, single
}

// askInBatch asks agents about a flow with the next batches.
func (g *Router) askInBatch(now time.Time, x *flow, hosts []frame.Host) {
	q := x.query
	p := &q.held[0]
	q.unsent = true
	q.asked = &lookup.Flow{
		FlowQuery: frame.FlowQuery{
			Key:            q.key,
			Acknowledgment: p.Acknowledgment,
			Acknowledges:   p.HasAck(),
		},
		Hosts:   hosts,
		Denials: x.denials,
	}
	g.asker.Ask(q.asked)
	g.sendBatches(now)
}

// repeatQuery asks the agents again that have not answered or whose packet has not come back.
// Agents that do not answer batches are asked again in a later lookup.
func (g *Router) repeatQuery(now time.Time, x *flow) (repeated bool) {
	q := x.query
	hosts := slices.Concat(q.awaiting, slices.Concat(q.lists...))
	hosts, _ = g.splitByBatches(x.denials.Missing(hosts))
	if len(hosts) == 0 || q.rounds >= maxRounds {
		return false
	}
	q.rounds++
	g.removeLists(q)
	q.awaiting = slices.Clone(hosts)
	g.askInBatch(now, x, hosts)
	return true
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
	for _, a := range g.asker.Receive(now, m) {
		if x, ok := g.flows[a.Flow.Key]; ok && x.query != nil && x.denials == a.Flow.Denials {
			g.handleVerdict(now, x, a.Host, a.Verdict)
		}
	}
}

// handleVerdict handles what an agent has answered about a flow that is being looked up.
func (g *Router) handleVerdict(now time.Time, x *flow, h frame.Host, verdict frame.Verdict) {
	q := x.query
	at := slices.Index(q.awaiting, h)
	switch {
	case at >= 0:
		q.awaiting = slices.Delete(q.awaiting, at, at+1)
	case verdict != frame.Owned && verdict != frame.Ended:
		// An earlier question has been answered late.
		return
	}
	switch verdict {
	case frame.Owned:
		g.handleHint(now, frame.Owner{
			Key:  q.key,
			Host: h,
		})
		return
	case frame.Ended:
		g.addSettled(q, LookupEnded, nil)
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
