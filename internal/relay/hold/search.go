package hold

import (
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// deliver takes a packet of a flow that exists somewhere.
func (h *Hold) deliver(now time.Time, p link.Packet, c *frame.Carry) {
	f, ok := h.flows[p.Key]
	if ok && f.owns(p) {
		moved := f.balancer != c.Balancer
		f.balancer = c.Balancer
		if c.Home != 0 {
			f.home = c.Home
		}
		if c.Flags&frame.Cached == 0 || moved {
			h.tell(f, p.Key)
		}
		f.learn(c)
		if h.holdBack(now, f, p, c) {
			return
		}
		h.fromCaller(now, f, p, c.Packet)
		h.give(now, p, c, askOwned)
		return
	}
	if ok {
		// The endpoint answered a copy of the opening and the caller took
		// another's answer. Whose it is, only that other one knows.
		c.Flags |= frame.Unsure
		h.notHere(p, c, OtherAnswer)
		return
	}
	if h.endpoint.complete {
		h.notHere(p, c, UnknownFlow)
		return
	}
	if len(h.asking) < mostElsewhere {
		h.asking[p.Key] = asker{
			balancer: c.Balancer,
			home:     c.Home,
			keep:     now.Add(requestMost),
		}
	}
	h.give(now, p, c, askWhose)
}

// askedFor answers a balancer that looks for the owner of a flow. Where this process
// has not seen the endpoint's whole life, only the endpoint can tell, by the packet.
func (h *Hold) askedFor(a frame.Ask) {
	f, ok := h.flows[a.Key]
	if ok && f.known && (!a.Acknowledges || f.hasSent(a.Acknowledgment)) {
		f.balancer = a.Balancer
		h.tell(f, a.Key)
		return
	}
	h.add(Deny{
		To: a.Balancer,
		Denial: frame.Denial{
			Number: a.Number,
			Host:   h.self,
			Key:    a.Key,
			Sure:   !ok && h.endpoint.complete,
		},
	})
}

// notHere passes on a packet whose flow is not the endpoint's.
func (h *Hold) notHere(p link.Packet, c *frame.Carry, why Reason) {
	if c.Flags&frame.Cached != 0 {
		h.giveBack(p, c, why, false)
		return
	}
	h.redirect(p, c)
	h.next(p, c, why)
}

// redirect puts the owner that is known of a flow next in the list.
func (h *Hold) redirect(p link.Packet, c *frame.Carry) {
	if known, ok := h.elsewhere[p.Key]; ok {
		askNext(c, known.owner.Host)
	}
}

// askNext makes a process the next candidate, unless it has been asked already.
func askNext(c *frame.Carry, to frame.Host) bool {
	next := int(c.Position) + 1
	if slices.Contains(c.List[:next], to) || len(c.List) >= frame.MaxCandidates {
		return false
	}
	rest := slices.DeleteFunc(slices.Clone(c.List[next:]), func(o frame.Host) bool { return o == to })
	c.List = slices.Concat(c.List[:next], []frame.Host{to}, rest)
	return true
}

// deniedByReset takes an endpoint's reset for a denial if the endpoint was asked whose
// the flow is. The caller is not to see it: another endpoint may hold the flow.
func (h *Hold) deniedByReset(p link.Packet) bool {
	if _, ok := h.flows[p.Key]; ok {
		return false
	}
	for _, number := range h.timed {
		m := &h.marks[number%markSlots]
		if m.number != number || m.ask != askWhose || m.key != p.Key {
			continue
		}
		m.ask = 0
		m.carry.Packet = m.raw
		delete(h.asking, p.Key)
		h.notHere(m.packet, m.carry, EndpointDenied)
		return true
	}
	return false
}
