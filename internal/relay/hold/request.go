package hold

import (
	"math"
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// Requests on open flows wait here as well once the endpoint has a queue of its own.
// The load this answers: more work than the slots can do for longer than a moment.
// Openings alone cannot be held back then: requests on open flows fill the endpoint's
// queue, which is first come, first served, until it sheds; all of them are late, and
// an urgent request that needs a new flow never gets a slot. Nothing is dropped: who
// waits is served when a slot is free, or given up by its caller. While other endpoints
// have room, an endpoint's own refusal serves its callers better: they come back to
// another endpoint at once.
const (
	// requestsOver is how much an endpoint is given at once, in slots, before
	// requests on open flows wait: as much again as it works on, which still
	// leaves them in time.
	requestsOver = 2
	// busyLeast is how busy the whole service has to be for requests to wait, in
	// 64ths of its slots: more in hand than can be worked on.
	busyLeast = 1.75 * roster.LoadUnit
	// callerGone is how long after the last copy of a packet its caller is taken to
	// have given up: longer than the longest interval between copies.
	callerGone = 1800 * time.Millisecond
	// mostPackets bounds the packets kept of one request; its caller sends the rest
	// again.
	mostPackets = 16
)

// heldPacket is a packet of a request that waits.
type heldPacket struct {
	packet link.Packet
	carry  *frame.Carry
}

// requestRoom is how much the endpoint is given at once of requests on open flows. One
// that leaves gets all there are.
func (h *Hold) requestRoom() int {
	if s := h.endpoint.state(); s == node.Draining || s == node.Gone {
		return math.MaxInt
	}
	return max(requestsOver*int(h.endpoint.slots), h.room()+1)
}

// holdBack keeps a caller's packet of an open flow if its request has to wait, and
// tells whether it does.
func (h *Hold) holdBack(now time.Time, f *flow, p link.Packet, c *frame.Carry) bool {
	w, ok := h.waiting[p.Key]
	if !ok || w.flow != f {
		if c.Busy < busyLeast || f.phase != phaseIdle || f.fins != 0 || !f.brings(p) {
			return false
		}
		if h.inUse < h.requestRoom() || len(h.waiting) >= mostWaiting {
			return false
		}
		w = &waiter{
			flow:   f,
			packet: p,
			carry:  c,
			since:  now,
			until:  now.Add(f.aim - time.Duration(workMargin*float64(h.work))),
		}
		h.waiting[p.Key] = w
		h.add(Waits{
			Key:  p.Key,
			Busy: c.Busy,
		})
	}
	switch {
	case p.IsReset():
		delete(h.waiting, p.Key)
		return false
	case p.Payload == 0 && p.Flags&flagFin == 0:
		return false
	}
	w.end = now.Add(callerGone)
	isCopy := slices.ContainsFunc(w.packets, func(o heldPacket) bool {
		return o.packet.Sequence == p.Sequence && o.packet.Payload == p.Payload
	})
	if isCopy || len(w.packets) >= mostPackets {
		return true
	}
	kept := *c
	kept.Packet = slices.Clone(c.Packet)
	w.packets = append(w.packets, heldPacket{
		packet: p,
		carry:  &kept,
	})
	return true
}

// release gives a request that waited to the endpoint.
func (h *Hold) release(now time.Time, w *waiter) {
	for i := range w.packets {
		p := &w.packets[i]
		h.fromCaller(now, w.flow, p.packet, p.carry.Packet)
		h.give(now, p.packet, p.carry, askOwned)
	}
}
