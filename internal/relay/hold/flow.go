package hold

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// phase is where a flow stands between two requests.
type phase uint8

const (
	// phaseIdle: no request is in hand.
	phaseIdle phase = iota
	// phaseOpening: the endpoint has the opening.
	phaseOpening
	// phaseAccepted: the endpoint has answered it; a request is to come.
	phaseAccepted
	// phaseBusy: a request is in hand and no byte of its answer has come.
	phaseBusy
)

// flow is one flow of the endpoint.
type flow struct {
	phase phase
	since time.Time
	keep  time.Time
	// sequence is the caller's first sequence number.
	sequence uint32
	// initial and highest bound the endpoint's sequence numbers, and so what
	// the caller may acknowledge.
	initial uint32
	highest uint32
	known   bool
	queued  bool
	// adopted tells that the flow was opened before this process started.
	adopted bool
	// confirmed tells that the caller has acknowledged the endpoint's answer.
	confirmed bool
	// sent is the end of what the caller has sent, from where sentKnown.
	sent      uint32
	sentKnown bool
	// balancer and home hear of the owner.
	balancer frame.Host
	home     frame.Host
	fins     uint8
	// aim and urgency are the route's, as far as they are known.
	aim     time.Duration
	urgency uint8
}

const (
	finCaller   = 1
	finEndpoint = 2
)

// Bits of TCP flags, as link.Packet holds them (RFC 9293).
const (
	flagFin = 0x01
	flagSyn = 0x02
	flagAck = 0x10
)

// use moves a flow to a phase and keeps count of what is in use.
func (h *Hold) use(f *flow, p phase) {
	if f.phase != phaseIdle {
		h.inUse--
	}
	f.phase = p
	if p != phaseIdle {
		h.inUse++
	}
}

// owns tells whether a continuing packet can be of the flow: it acknowledges
// something that the endpoint has sent.
func (f *flow) owns(p link.Packet) bool {
	if !f.known || !p.HasAck() {
		return true
	}
	return f.hasSent(p.Acknowledgment)
}

// adoptedWindow is how far from what this process has seen of an adopted flow its
// caller's acknowledgments may lie: more than is ever on its way.
const adoptedWindow = 1 << 24

// hasSent tells whether the endpoint has sent what a caller acknowledges. Of an adopted
// flow some packets passed before this process started: the caller may wait for one of
// them, or have got more than has been seen here.
func (f *flow) hasSent(acknowledgment uint32) bool {
	if f.adopted {
		return acknowledgment-f.initial+adoptedWindow <= f.highest-f.initial+2*adoptedWindow
	}
	return acknowledgment-f.initial <= f.highest-f.initial
}

// fromCaller follows a packet that goes to the endpoint.
func (h *Hold) fromCaller(now time.Time, f *flow, p link.Packet, raw []byte) {
	f.keep = now.Add(flowKeep)
	f.confirmed = f.confirmed || p.HasAck()
	if f.advances(p) && f.phase != phaseBusy && f.fins == 0 {
		h.add(Began{
			Key: p.Key,
			Raw: raw,
		})
		h.use(f, phaseBusy)
		f.since = now
	}
	if p.IsReset() {
		h.end(now, f, finCaller|finEndpoint)
	}
	if p.Flags&flagFin != 0 {
		h.end(now, f, finCaller)
	}
}

// advances tells whether a packet of the caller brings bytes that it has not sent
// before: a repeated packet is no new request.
func (f *flow) advances(p link.Packet) bool {
	if !f.brings(p) {
		return false
	}
	f.sent = p.Sequence + p.Length()
	f.sentKnown = true
	return true
}

// brings tells whether a packet has bytes that the caller has not sent before. A bare
// acknowledgment has none; it may overtake the bytes that it follows.
func (f *flow) brings(p link.Packet) bool {
	return p.Payload > 0 && (!f.sentKnown || int32(p.Sequence+p.Length()-f.sent) > 0)
}

// learn takes what the balancer says of the flow's route.
func (f *flow) learn(c *frame.Carry) {
	if c.Aim != 0 {
		f.aim = time.Duration(c.Aim) * time.Millisecond
		f.urgency = c.Urgency
	}
}

// end notes that an end of the flow has closed; a flow with both closed is kept a
// while for what is under way.
func (h *Hold) end(now time.Time, f *flow, fin uint8) {
	f.fins |= fin
	if f.fins == finCaller|finEndpoint {
		h.use(f, phaseIdle)
		f.keep = now.Add(closedKeep)
	}
}

// answered follows a packet of the endpoint and sends it to its caller. The key
// of such a packet is the caller's.
func (h *Hold) answered(now time.Time, a Answered) {
	h.heard()
	p := a.Packet
	if p.IsReset() && h.deniedByReset(p) {
		return
	}
	h.add(Forward{
		Raw: a.Raw,
		Key: p.Key,
	})
	f, ok := h.flows[p.Key]
	if !ok {
		f = h.adopt(now, p)
		if f == nil {
			return
		}
	}
	f.keep = now.Add(flowKeep)
	switch {
	case p.Flags&flagSyn != 0:
		h.openingAnswered(now, f, p)
		return
	case !f.known:
		f.known = true
		f.initial = p.Sequence - 1
		f.highest = p.Sequence
		h.tellAsker(f, p.Key)
	}
	if end := p.Sequence + p.Length(); end-f.initial > f.highest-f.initial && end-f.initial < 1<<31 {
		f.highest = end
	}
	if p.Payload > 0 && f.phase != phaseIdle {
		if f.phase == phaseBusy {
			h.worked(now.Sub(f.since))
			h.add(Served{
				Key:   p.Key,
				After: now.Sub(f.since),
			})
		}
		h.use(f, phaseIdle)
	}
	if p.IsReset() {
		h.end(now, f, finCaller|finEndpoint)
	}
	if p.Flags&flagFin != 0 {
		h.end(now, f, finEndpoint)
	}
}

// tellAsker tells whoever looked for the owner of a flow that its endpoint has answered
// a packet of.
func (h *Hold) tellAsker(f *flow, key link.Key) {
	a, ok := h.asking[key]
	if !ok {
		return
	}
	delete(h.asking, key)
	f.balancer = a.balancer
	f.home = a.home
	h.tell(f, key)
}

// adopt takes up a flow that the endpoint holds from before this process.
func (h *Hold) adopt(now time.Time, p link.Packet) *flow {
	if p.IsReset() || p.Flags&flagSyn != 0 || len(h.flows) >= mostFlows {
		return nil
	}
	f := &flow{
		since:   now,
		adopted: true,
	}
	h.flows[p.Key] = f
	return f
}

// openingAnswered takes the endpoint's answer to an opening and says whose the flow is.
func (h *Hold) openingAnswered(now time.Time, f *flow, p link.Packet) {
	if f.known && f.initial == p.Sequence {
		h.tell(f, p.Key)
		return
	}
	h.endpoint.refuses = false
	f.known = true
	f.initial = p.Sequence
	f.highest = p.Sequence + 1
	h.openFlows++
	h.add(Accepted{
		Key:    p.Key,
		InUse:  h.inUse,
		Slots:  int(h.endpoint.slots),
		After:  now.Sub(f.since),
		Queued: f.queued,
	})
	if f.phase == phaseOpening {
		h.use(f, phaseAccepted)
		f.since = now
		h.accepted = append(h.accepted, acceptance{
			key: p.Key,
			at:  now,
		})
	}
	h.tell(f, p.Key)
}

// tell says whose a flow is to the balancer that asked and to the process where
// it is looked for first.
func (h *Hold) tell(f *flow, key link.Key) {
	o := frame.Owner{
		Key:     key,
		Host:    h.self,
		Initial: f.initial,
		Known:   f.known,
	}
	if f.balancer != 0 {
		h.add(Tell{
			To:    f.balancer,
			Owner: o,
		})
	}
	if f.home != 0 && f.home != h.self {
		h.add(Tell{
			To:    f.home,
			Owner: o,
		})
	}
}
