package router

import (
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
)

// forwardToList forwards a packet along one list of candidates.
func (g *Router) forwardToList(now time.Time, stage uint8, list []frame.Host, flags uint8, p *Packet) {
	// The packet comes back unless a candidate owns the flow.
	g.asker.Charge(now, 2, 2*(len(p.Raw)+forwardBytes)+4*len(list))
	g.forwardUncharged(now, stage, list, flags, p)
}

func (g *Router) forwardUncharged(now time.Time, stage uint8, list []frame.Host, flags uint8, p *Packet) {
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

// forwardNext forwards the packet of the oldest lookup that waits for agents with too many
// packets, since one of them has come back.
func (g *Router) forwardNext(now time.Time) {
	if g.undecidedCount == 0 {
		return
	}
	for _, q := range g.queries {
		if x := g.flows[q.key]; x == nil || x.query != q || len(q.undecided) == 0 {
			continue
		}
		before := len(q.undecided)
		if g.forwardToUndecided(now, q); len(q.undecided) < before {
			return
		}
	}
}

// removeLists gives up the packets that have not come back.
func (g *Router) removeLists(q *query) {
	for _, list := range q.lists {
		g.packets.Remove(list)
	}
	q.lists = nil
}
