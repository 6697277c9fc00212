package router

import (
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/place"
	"github.com/clementinewing/clementinewing/internal/relay/plan"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// lookupRetry is a packet whose lookup found no owner. The lookup is repeated until it
// finds one, every agent of a member record that was read since it began has denied the flow,
// or the retries are used up. Once every agent that could be asked has denied the flow, it is
// repeated only when another agent is heard or the flow can be proved to have no owner.
type lookupRetry struct {
	key     link.Key
	packet  link.Packet
	raw     []byte
	retryAt time.Time
	tries   int
	// scheduled is set while the retry is in the list of retries.
	scheduled bool
	// denied is set if every agent that could be asked has denied the flow, joins is then what
	// the roster's Joins was.
	denied bool
	joins  uint64
	// bounded is set for a parallel lookup. Its repetitions come at growing intervals, while its
	// caller waits, and packets of the caller do not cause any.
	bounded bool
}

// repeatsItself reports whether the lookup is repeated without further packets of the caller.
func (d *lookupRetry) repeatsItself() bool {
	return d != nil && d.scheduled && (d.denied || d.bounded)
}

// forgetOtherLookup forgets a lookup of another flow with the same addresses and ports: what
// agents have denied says nothing about the flow of the packet.
func (x *flow) forgetOtherLookup(p link.Packet) {
	if x.denials == nil || x.denials.Covers(p) {
		return
	}
	x.denials = nil
	x.query = nil
	x.retry = nil
	x.lookedUpSince = time.Time{}
	x.noOwnerUntil = time.Time{}
}

// lookupState is the outcome of earlier steps of an owner lookup.
type lookupState struct {
	// denier is an agent that has returned the packet, or 0.
	denier frame.Host
	// undecided is set if the denier could not tell whether it owns the flow.
	undecided bool
}

func (g *Router) lookupOwner(now time.Time, p link.Packet, raw []byte, s lookupState) {
	if g.active.Current() == nil {
		g.addAction(Drop{
			Packet: p,
			Reason: NoPlan,
		})
		return
	}
	route, ok := g.route(p.Key)
	if !ok {
		g.rejectUnrouted(p)
		return
	}
	if x := g.flows[p.Key]; x != nil && x.query != nil {
		g.addToQuery(now, x.query, p, raw)
		return
	}
	list, complete := g.lookupCandidates(now, p.Key, route)
	stage := uint8(stageSequential)
	if g.recordProves(g.flows[p.Key]) {
		stage = stageProven
	}
	list = withoutHost(list, s.denier, !s.undecided)
	if len(list) == 0 {
		g.addAction(Drop{
			Packet: p,
			Reason: NoEndpoint,
		})
		return
	}
	if g.looksUpInParallel(now, g.flows[p.Key], list) {
		g.startQuery(now, p, raw, s, list, complete)
		return
	}
	g.startWalk(now, p, raw, list)
	flags := uint8(0)
	if complete {
		flags |= frame.ListComplete
	}
	g.asker.Charge(now, 2, 2*(len(raw)+forwardBytes)+4*len(list))
	if s.undecided {
		flags |= frame.CandidateSilent
	}
	g.addAction(Send{
		To:     list[0],
		Key:    p.Key,
		Kind:   p.Kind,
		Reason: Lookup,
		Forward: &frame.Forward{
			Flags:           flags,
			Best:            frame.NoBest,
			LookupStage:     stage,
			LatencyTargetMS: latencyTargetMS(route),
			Priority:        route.Priority,
			Service:         route.ChooseService(p.Key.Hash()),
			Balancer:        g.self,
			Home:            g.homeOf(now, p.Key),
			Candidates:      list,
			Packet:          raw,
		},
	})
}

// wantsAnswer reports whether the caller waits for an answer to the packet: it carries
// payload or a FIN. A bare ACK or a reset is not answered.
func wantsAnswer(p link.Packet) bool {
	return !p.IsReset() && (p.Payload > 0 || p.Kind == link.Closing)
}

// rejectUnrouted answers a packet whose target has no route: with a reset if the caller
// waits for an answer, else not at all.
func (g *Router) rejectUnrouted(p link.Packet) {
	if !wantsAnswer(p) {
		g.addAction(Drop{
			Packet: p,
			Reason: NoRoute,
		})
		return
	}
	g.addAction(Reset{
		Packet: p,
		Reason: NoRoute,
	})
}

// lookupCandidates lists all agents whose endpoints may own a flow, those of the
// route's services first. The list is complete if it holds all that this balancer knows.
func (g *Router) lookupCandidates(now time.Time, key link.Key, route *plan.Route) (list []frame.Host, complete bool) {
	hash := key.Hash()
	isolated := g.members.Isolated(now)
	list = place.OwnerCandidates(now, hash, isolated, g.members.Agents(), route.Services(hash))
	_, unreachable := g.members.Unreachable(now)
	return list, !isolated && !unreachable
}

// homeOf returns the agent that stores the owner of a flow, or 0.
func (g *Router) homeOf(now time.Time, key link.Key) frame.Host {
	return place.Home(now, key.Hash(), g.members.Agents())
}

// withoutHost removes a host from the list, or moves it to the end if it could not
// tell whether it owns the flow.
func withoutHost(list []frame.Host, host frame.Host, conclusive bool) (out []frame.Host) {
	if host == 0 {
		return list
	}
	found := false
	for _, h := range list {
		if h == host {
			found = true
			continue
		}
		out = append(out, h)
	}
	if found && !conclusive {
		out = append(out, host)
	}
	return out
}

func (g *Router) handleReturn(now time.Time, e Returned) {
	g.members.MarkAlive(e.Host)
	p := e.Packet
	x, ok := g.flows[p.Key]
	if p.Kind == link.Opening {
		g.handleRejection(now, x, e)
		return
	}
	if e.FlowEnded {
		g.handleEndedFlow(now, x, p)
		return
	}
	if !e.ListExhausted {
		g.handleOwnerDenial(now, x, e)
		return
	}
	if e.LookupStage != stageSequential && e.LookupStage != stageProven {
		g.handleQueryReturn(now, x, e)
		return
	}
	if !ok {
		if x = g.addFlow(now, p.Key); x == nil {
			return
		}
	}
	x.walk = nil
	g.recordNoOwner(now, x, p, e.Return.Packet, outcome{
		denied:     e.Conclusive,
		conclusive: e.Conclusive,
		proven:     e.LookupStage == stageProven,
	})
}

// recordNoOwner handles a lookup that found no owner.
func (g *Router) recordNoOwner(now time.Time, x *flow, p link.Packet, raw []byte, o outcome) {
	if x.lookedUpSince.IsZero() {
		x.lookedUpSince = now
	}
	if !wantsAnswer(p) {
		if x.owners[0].host == 0 {
			x.noOwnerUntil = now.Add(bareLookupInterval)
			if o.conclusive && o.proven {
				x.noOwnerUntil = now.Add(noOwnerTTL)
			}
			x.expiresAt = x.noOwnerUntil
		}
		g.addAction(Drop{
			Packet: p,
			Reason: OwnerUnknown,
		})
		return
	}
	x.expiresAt = now.Add(openingTTL)
	g.retryOrReset(now, x, p, raw, o)
}

// outcome says what a lookup that found no owner has shown.
type outcome struct {
	// denied is set if every agent that could be asked has denied the flow, conclusive if these
	// were all that this balancer knows.
	denied     bool
	conclusive bool
	// proven is set if the list of agents included all that may hold the flow.
	proven bool
	// bounded is set if the lookup was a parallel one.
	bounded bool
}

// retryOrReset schedules another lookup, or resets the flow if every agent that may hold it
// has denied it.
func (g *Router) retryOrReset(now time.Time, x *flow, p link.Packet, raw []byte, o outcome) {
	if o.conclusive && o.proven {
		delete(g.flows, p.Key)
		g.addAction(Reset{
			Packet: p,
			Reason: AllDenied,
		})
		return
	}
	d := x.retry
	if d == nil {
		d = &lookupRetry{
			key:    p.Key,
			packet: p,
			raw:    slices.Clone(raw),
		}
	}
	wait := retryDelay
	if o.denied {
		wait = confirmDelay
		g.addAction(ReadRecord{})
	}
	g.addAction(Drop{
		Packet: p,
		Reason: OwnerUnknown,
	})
	if d.scheduled || len(g.retries) >= maxPendingRetries {
		return
	}
	switch {
	case d.tries < maxLookupRetries:
	case o.bounded && now.Before(x.callerUntil):
		wait = retryDelay << min(d.tries-maxLookupRetries+1, maxBackoffShift)
	default:
		x.retry = nil
		return
	}
	x.retry = d
	d.tries++
	d.bounded = o.bounded
	d.retryAt = now.Add(wait)
	d.denied = o.denied
	d.joins = g.members.Joins()
	d.scheduled = true
	g.retries = append(g.retries, d)
}

// handleRejection offers a SYN that no candidate takes to other endpoints. It refuses the SYN if
// there is none, unless another copy of it has been accepted meanwhile.
func (g *Router) handleRejection(now time.Time, x *flow, e Returned) {
	if x == nil || x.sequence != e.Packet.Sequence || x.pending == nil && !x.queuedAt(e.Host) || x.offer.outdates(e) {
		g.addAction(Drop{
			Packet: e.Packet,
			Reason: AllRejected,
		})
		return
	}
	reason := AllRejected
	if e.Evacuated {
		if g.placeElsewhere(now, x, e.Host, e.Packet, e.Return.Packet) {
			return
		}
		reason = Evacuated
	}
	if e.QueueTooLong {
		reason = QueueTooLong
	}
	if x.offer != nil && g.offerAgain(now, x, x.offer, e.QueueTooLong) {
		return
	}
	delete(g.flows, e.Packet.Key)
	g.addAction(Refuse{
		Packet: e.Packet,
		Reason: reason,
	})
}

// retryLookups repeats the lookups that are due.
func (g *Router) retryLookups(now time.Time) {
	if len(g.retries) == 0 {
		return
	}
	_, unreachable := g.members.Unreachable(now)
	joins := g.members.Joins()
	var due []*lookupRetry
	g.retries = slices.DeleteFunc(g.retries, func(d *lookupRetry) bool {
		x, ok := g.flows[d.key]
		if !ok || x.retry != d {
			return true
		}
		if now.Before(d.retryAt) || d.denied && d.joins == joins && (unreachable || !g.recordProves(x)) {
			return false
		}
		d.scheduled = false
		due = append(due, d)
		return true
	})
	for _, d := range due {
		g.lookupOwner(now, d.packet, d.raw, lookupState{})
	}
}

// requestRecord requests the member record while a lookup waits for it, or for an agent that
// the record may have dropped.
func (g *Router) requestRecord(now time.Time) {
	for _, d := range g.retries {
		x, ok := g.flows[d.key]
		if !ok || x.retry != d || !d.denied {
			continue
		}
		if _, unreachable := g.members.Unreachable(now); unreachable || !g.recordProves(x) {
			g.addAction(ReadRecord{})
			return
		}
	}
}

// recordProves reports whether the member record has been read since the lookup of a flow
// began, so that the agents in it are all that may hold the flow.
func (g *Router) recordProves(x *flow) bool {
	return x != nil && !x.lookedUpSince.IsZero() && g.members.RecordCalledAt().After(x.lookedUpSince)
}

// handleEndedFlow handles a packet of a flow that has ended with its endpoint.
func (g *Router) handleEndedFlow(now time.Time, x *flow, p link.Packet) {
	if !wantsAnswer(p) {
		if x != nil {
			x.owners = [2]owner{}
			x.query = nil
			x.noOwnerUntil = now.Add(noOwnerTTL)
			x.expiresAt = x.noOwnerUntil
		}
		g.addAction(Drop{
			Packet: p,
			Reason: OwnerUnknown,
		})
		return
	}
	delete(g.flows, p.Key)
	g.addAction(Reset{
		Packet: p,
		Reason: OwnerRestarted,
	})
}

// handleOwnerDenial handles a packet returned by the endpoint that this balancer took
// for the owner. If its denial is conclusive although it did own the flow, it has
// restarted and the flow is lost. Otherwise another endpoint is the owner.
func (g *Router) handleOwnerDenial(now time.Time, x *flow, e Returned) {
	p := e.Packet
	owned := false
	if x != nil {
		owned = x.removeOwner(e.Host, p)
	}
	if e.Conclusive && owned && wantsAnswer(p) {
		delete(g.flows, p.Key)
		g.addAction(Reset{
			Packet: p,
			Reason: OwnerRestarted,
		})
		return
	}
	g.lookupOwner(now, p, e.Return.Packet, lookupState{
		denier:    e.Host,
		undecided: !e.Conclusive,
	})
}
