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
// finds one, every endpoint has denied the flow twice, or the retries are used up.
type lookupRetry struct {
	key     link.Key
	packet  link.Packet
	raw     []byte
	retryAt time.Time
	tries   int
	// deniedAt is when every endpoint had denied the flow; zero if the last lookup was
	// not conclusive.
	deniedAt time.Time
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
	list = withoutHost(list, s.denier, !s.undecided)
	if len(list) == 0 {
		g.addAction(Drop{
			Packet: p,
			Reason: NoEndpoint,
		})
		return
	}
	if len(list) > maxSequential {
		g.startQuery(now, p, raw, list, complete)
		return
	}
	flags := uint8(0)
	if complete {
		flags |= frame.ListComplete
	}
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
			LookupStage:     stageSequential,
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
// route's services first. The list counts as complete once all known members have
// reported and every other one has had time to.
func (g *Router) lookupCandidates(now time.Time, key link.Key, route *plan.Route) (list []frame.Host, complete bool) {
	hash := key.Hash()
	isolated := g.members.Isolated(now)
	list = place.OwnerCandidates(now, hash, isolated, g.members.Agents(), route.Services(hash))
	complete = !isolated && g.members.MembersComplete(now) && g.membersKnown(now)
	return list, complete
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
		g.handleRejection(x, e)
		return
	}
	if !e.ListExhausted {
		g.handleOwnerDenial(now, x, e)
		return
	}
	if e.LookupStage != stageSequential {
		g.handleQueryReturn(now, x, e)
		return
	}
	if !ok {
		if x = g.addFlow(now, p.Key); x == nil {
			return
		}
	}
	g.recordNoOwner(now, x, p, e.Return.Packet, e.Conclusive)
}

// recordNoOwner handles a lookup that found no owner. It is conclusive if every
// candidate of a complete list has denied the flow.
func (g *Router) recordNoOwner(now time.Time, x *flow, p link.Packet, raw []byte, conclusive bool) {
	if !wantsAnswer(p) {
		if conclusive && x.owners[0].host == 0 {
			x.noOwnerUntil = now.Add(noOwnerTTL)
			x.expiresAt = x.noOwnerUntil
		}
		g.addAction(Drop{
			Packet: p,
			Reason: OwnerUnknown,
		})
		return
	}
	x.expiresAt = now.Add(openingTTL)
	g.retryOrReset(now, x, p, raw, conclusive)
}

// retryOrReset schedules another lookup, or resets the flow if two conclusive
// lookups at least confirmDelay apart found no owner.
func (g *Router) retryOrReset(now time.Time, x *flow, p link.Packet, raw []byte, conclusive bool) {
	d := x.retry
	if d == nil {
		d = &lookupRetry{
			key:    p.Key,
			packet: p,
			raw:    slices.Clone(raw),
		}
	}
	wait := confirmDelay
	switch {
	case !conclusive:
		wait = retryDelay
		d.deniedAt = time.Time{}
	case d.deniedAt.IsZero():
		d.deniedAt = now
	case !now.Before(d.deniedAt.Add(confirmDelay)):
		delete(g.flows, p.Key)
		g.addAction(Reset{
			Packet: p,
			Reason: AllDenied,
		})
		return
	}
	g.addAction(Drop{
		Packet: p,
		Reason: OwnerUnknown,
	})
	if d.retryAt.After(now) || len(g.retries) >= maxPendingRetries {
		return
	}
	if d.tries >= maxLookupRetries {
		x.retry = nil
		return
	}
	x.retry = d
	d.tries++
	d.retryAt = now.Add(wait)
	g.retries = append(g.retries, d)
}

// handleRejection refuses a SYN that no candidate takes, unless another copy of it has
// been accepted meanwhile.
func (g *Router) handleRejection(x *flow, e Returned) {
	if x == nil || x.sequence != e.Packet.Sequence || x.pending == nil && !x.queuedAt(e.Host) {
		g.addAction(Drop{
			Packet: e.Packet,
			Reason: AllRejected,
		})
		return
	}
	delete(g.flows, e.Packet.Key)
	g.addAction(Refuse{
		Packet: e.Packet,
		Reason: AllRejected,
	})
}

// retryLookups repeats the lookups that are due.
func (g *Router) retryLookups(now time.Time) {
	var due []*lookupRetry
	g.retries = slices.DeleteFunc(g.retries, func(d *lookupRetry) bool {
		if now.Before(d.retryAt) {
			return false
		}
		due = append(due, d)
		return true
	})
	for _, d := range due {
		if x, ok := g.flows[d.key]; ok && x.retry == d {
			g.lookupOwner(now, d.packet, d.raw, lookupState{})
		}
	}
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
