package hold

import (
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// asked says what a packet in the endpoint's hands is there for.
type asked uint8

const (
	// askOwned: a packet of a flow that is known to be the endpoint's.
	askOwned asked = iota + 1
	// askOpening: an opening that the endpoint is to answer.
	askOpening
	// askWhose: a packet whose flow may be the endpoint's.
	askWhose
)

// mark is one packet in the endpoint's hands.
type mark struct {
	number uint32
	ask    asked
	key    link.Key
	packet link.Packet
	carry  *frame.Carry
	raw    []byte
	due    time.Time
}

// arrived takes a packet that was handed over.
func (h *Hold) arrived(now time.Time, a Arrived) {
	if a.Packet.Kind == link.Opening {
		h.open(now, a.Packet, a.Carry)
		return
	}
	h.deliver(now, a.Packet, a.Carry)
}

// open decides whether the endpoint takes a new flow.
func (h *Hold) open(now time.Time, p link.Packet, c *frame.Carry) {
	f, ok := h.flows[p.Key]
	if ok && f.sequence == p.Sequence && f.known {
		f.balancer = c.Balancer
		if h.mayRepeat(now, f) {
			h.give(now, p, c, askOwned)
		}
		h.tell(f, p.Key)
		return
	}
	if w, waits := h.waiting[p.Key]; waits && w.flow == nil && w.packet.Sequence == p.Sequence {
		w.carry.Balancer = c.Balancer
		h.tellWaiting(w)
		return
	}
	if h.toOther(p, c) {
		return
	}
	if why, passes := h.passesOn(now, c); passes {
		h.next(p, c, why)
		return
	}
	if h.inUse >= h.room() {
		if len(h.waiting) >= mostWaiting {
			h.next(p, c, QueueFull)
			return
		}
		h.wait(now, p, c)
		return
	}
	h.admit(now, p, c, false)
}

// mayRepeat tells whether a copy of an opening that the endpoint has answered may
// be given to it. To an endpoint whose flow is open it would be a new flow, and so
// it would to one that leaves; a caller that has given up needs no answer.
func (h *Hold) mayRepeat(now time.Time, f *flow) bool {
	leaves := h.endpoint.state() == node.Draining || h.endpoint.state() == node.Gone
	return !f.confirmed && !leaves && now.Before(f.since.Add(attemptFor))
}

// toOther hands a copy of an opening to the process where an earlier copy waits or
// was answered: the copies of one opening come through several balancers while
// those join or leave.
func (h *Hold) toOther(p link.Packet, c *frame.Carry) bool {
	known, ok := h.elsewhere[p.Key]
	if !ok || copyAge(p) == 0 || c.Home != h.self || c.Flags&frame.Chosen != 0 {
		return false
	}
	if !askNext(c, known.owner.Host) {
		return false
	}
	c.Position++
	h.add(HandOn{
		To:    known.owner.Host,
		Carry: c,
		Key:   p.Key,
		Kind:  p.Kind,
		Why:   EarlierCopy,
	})
	return true
}

// admit gives an opening to the endpoint.
func (h *Hold) admit(now time.Time, p link.Packet, c *frame.Carry, queued bool) {
	if f, ok := h.flows[p.Key]; ok {
		h.use(f, phaseIdle)
	}
	// A caller that uses its port again has given up what waited.
	delete(h.waiting, p.Key)
	f := &flow{
		since:    now,
		keep:     now.Add(closedKeep),
		sequence: p.Sequence,
		balancer: c.Balancer,
		home:     c.Home,
		queued:   queued,

		sent:      p.Sequence + p.Length(),
		sentKnown: true,
	}
	f.learn(c)
	h.use(f, phaseOpening)
	h.flows[p.Key] = f
	h.give(now, p, c, askOpening)
}

// passesOn tells why the endpoint does not take an opening, if it does not. An
// endpoint with every slot in use takes it only if it is the least loaded of all
// that were asked.
func (h *Hold) passesOn(now time.Time, c *frame.Carry) (why Reason, passes bool) {
	e := &h.endpoint
	switch {
	case c.Service != h.service:
		return OtherService, true
	case e.state() == node.Draining || e.state() == node.Gone:
		return Leaving, true
	case e.state() != node.Serving:
		return NotServing, true
	case now.Before(e.refusesUntil):
		return EndpointRefused, true
	case len(h.flows) >= mostFlows:
		return TableFull, true
	case !e.proven && h.inUse > 0:
		return Unproven, true
	case h.openFlows >= h.flowsMost(c) && c.Flags&frame.Chosen == 0:
		h.consider(c)
		return FlowsFull, true
	case h.inUse >= h.room() && c.Flags&frame.Chosen == 0:
		h.consider(c)
		return SlotsFull, true
	default:
		return 0, false
	}
}

// flowsMost is how many open flows the endpoint may hold until others are asked
// first.
func (h *Hold) flowsMost(c *frame.Carry) int {
	slots := float64(h.endpoint.slots)
	return int(max(shareMost*float64(c.Share)/roster.ShareUnit, shareFloor) * slots)
}

// room is how many requests and openings the endpoint is given at once: one more
// than it has slots, since a caller's request comes a round trip after its
// opening is answered and the slot would be idle meanwhile.
func (h *Hold) room() int {
	return int(h.endpoint.slots) + 1
}

// consider notes this candidate as the least loaded of those that were asked.
func (h *Hold) consider(c *frame.Carry) {
	load := uint16(min((h.inUse+len(h.waiting))*roster.LoadUnit/int(h.endpoint.slots), 0xffff))
	if c.Best == frame.NoBest || load < c.BestLoad {
		c.Best = c.Position
		c.BestLoad = load
	}
}

// next asks the next candidate. An opening that all have passed on goes to the
// least loaded of them, else back to its balancer, as does a packet of a flow that
// all have denied.
func (h *Hold) next(p link.Packet, c *frame.Carry, why Reason) {
	switch {
	case c.Flags&frame.Chosen == 0 && int(c.Position)+1 < len(c.List):
		c.Position++
	case p.Kind == link.Opening && c.Flags&frame.Chosen == 0 && int(c.Best) < len(c.List):
		c.Flags |= frame.Chosen
		c.Position = c.Best
	default:
		h.giveBack(p, c, why, true)
		return
	}
	if c.List[c.Position] == h.self && c.Flags&frame.Chosen == 0 {
		h.next(p, c, why)
		return
	}
	h.add(HandOn{
		To:    c.List[c.Position],
		Carry: c,
		Key:   p.Key,
		Kind:  p.Kind,
		Why:   why,
	})
}

// giveBack returns a packet to its balancer. It is sure if no candidate that was
// asked was silent, and if the list was complete where all of it was asked.
func (h *Hold) giveBack(p link.Packet, c *frame.Carry, why Reason, walked bool) {
	h.add(GiveBack{
		To: c.Balancer,
		Stray: frame.Stray{
			Host:   h.self,
			Reason: uint8(why),
			Sure:   c.Flags&frame.Unsure == 0 && (!walked || c.Flags&frame.Settled != 0),
			Walked: walked,
			Leg:    c.Leg,
			Packet: c.Packet,
		},
		Key: p.Key,
		Why: why,
	})
}

// give hands a packet to the endpoint and remembers it for the bounce. Only what
// another candidate would be asked next is kept with a deadline.
func (h *Hold) give(now time.Time, p link.Packet, c *frame.Carry, a asked) {
	h.nextMark++
	m := &h.marks[h.nextMark%markSlots]
	*m = mark{
		number: h.nextMark,
		ask:    a,
		key:    p.Key,
		packet: p,
		carry:  c,
	}
	if a != askOwned {
		m.raw = slices.Clone(c.Packet)
		m.due = now.Add(muteAfter)
		h.timed = append(h.timed, m.number)
	}
	h.add(Deliver{
		Raw:  c.Packet,
		Mark: m.number,
	})
}

// bounced takes back a packet that the endpoint did not take.
func (h *Hold) bounced(now time.Time, b Bounced) {
	h.heard()
	m := &h.marks[b.Mark%markSlots]
	if m.number != b.Mark || m.ask == 0 || m.key != b.Packet.Key {
		return
	}
	c := m.carry
	c.Packet = b.Raw
	ask := m.ask
	m.ask = 0
	f, ok := h.flows[b.Packet.Key]
	if b.Packet.Kind == link.Opening {
		if ok && f.phase == phaseOpening {
			h.use(f, phaseIdle)
			delete(h.flows, b.Packet.Key)
		}
		h.rejected(now)
		h.retry(b.Packet, c, EndpointRefused)
		return
	}
	if ok && ask == askOwned {
		h.use(f, phaseIdle)
		delete(h.flows, b.Packet.Key)
	}
	delete(h.asking, b.Packet.Key)
	h.notHere(b.Packet, c, EndpointDenied)
}

// retry passes on an opening that the endpoint did not take after all. One that
// was given to the least loaded candidate has been offered to every other.
func (h *Hold) retry(p link.Packet, c *frame.Carry, why Reason) {
	if c.Flags&frame.Chosen != 0 {
		c.Best = frame.NoBest
	}
	h.next(p, c, why)
}

// overdue passes over the endpoint where it has not answered in time.
func (h *Hold) overdue(now time.Time) {
	if now.Sub(h.tickAt) > lateTick {
		// This process did not run for a while: answers may be waiting to be
		// read. They come before the next tick.
		return
	}
	for len(h.timed) > 0 {
		number := h.timed[0]
		m := &h.marks[number%markSlots]
		live := m.number == number && m.ask != 0
		if live && now.Before(m.due) {
			return
		}
		h.timed = h.timed[1:]
		if live {
			h.expire(m)
		}
	}
	h.timed = nil
}

// expire asks the next candidate instead of an endpoint that was silent.
func (h *Hold) expire(m *mark) {
	ask := m.ask
	m.ask = 0
	f, ok := h.flows[m.key]
	c := m.carry
	c.Packet = m.raw
	if ask == askOpening {
		if !ok || f.sequence != m.packet.Sequence || f.known {
			return
		}
		h.use(f, phaseIdle)
		delete(h.flows, m.key)
		h.mute(OpeningUnanswered)
		h.retry(m.packet, c, OpeningUnanswered)
		return
	}
	if ok {
		return
	}
	c.Flags |= frame.Unsure
	h.notHere(m.packet, c, NoWord)
}
