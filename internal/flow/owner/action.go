package owner

import (
	"net/netip"

	"github.com/clementinewing/clementinewing/internal/world/link"
)

// Action is something the agent must do in response to an event.
type Action interface {
	action()
}

// Connect opens a connection to the upstream. The agent keeps the opening until Accept,
// Reject, Abort or ForwardToCandidate; the last three cancel the connection.
// Serial distinguishes flows with the same key.
type Connect struct {
	Key    link.Key
	Serial uint64
}

// Queue queues the current packet, an opening, until a slot is free. The agent
// keeps it as for Connect. Connect, ForwardToCandidate, Reject or Abort with the
// same Serial follows.
type Queue struct {
	Key    link.Key
	Serial uint64
}

// Accept lets the stack complete the caller's handshake.
type Accept struct {
	Key    link.Key
	Serial uint64
}

// Deliver passes the current packet to the stack.
type Deliver struct {
	Key link.Key
}

// ForwardToCandidate sends a packet to another candidate of its message: the current
// packet if Serial is zero, else the opening of that flow, which the agent keeps.
type ForwardToCandidate struct {
	Key      link.Key
	Serial   uint64
	Position int
	Denied   uint16
	// Round is copied into the message, see PacketForEndpoint.
	Round uint8
	// ViaBalancer sends the packet to the message's balancer, which forwards it
	// unchanged to Position: that candidate does not answer this endpoint
	// directly.
	ViaBalancer bool
	Reason      Reason
}

// Reject answers the opening of Key with a reset, so that the caller knows that its
// request was not run. Serial is zero if the opening is the current packet, else that
// of its Connect.
type Reject struct {
	Key    link.Key
	Serial uint64
	Reason Reason
}

// Reset answers the current packet with a reset: no endpoint owns its flow.
type Reset struct {
	Key    link.Key
	Reason Reason
}

// Drop discards the current packet.
type Drop struct {
	Reason Reason
}

// Hint tells a balancer that this endpoint owns the flow.
type Hint struct {
	Key      link.Key
	Balancer netip.AddrPort
}

// Abort closes a flow and its upstream connection. If Silent, nothing is sent to the
// caller, which may be served by another endpoint under the same key.
type Abort struct {
	Key    link.Key
	Serial uint64
	Silent bool
	Reason Reason
}

// Drained reports that a drain is complete: no flow is left.
type Drained struct{}

func (Connect) action()            {}
func (Queue) action()              {}
func (Accept) action()             {}
func (Deliver) action()            {}
func (ForwardToCandidate) action() {}
func (Reject) action()             {}
func (Reset) action()              {}
func (Drop) action()               {}
func (Hint) action()               {}
func (Abort) action()              {}
func (Drained) action()            {}
