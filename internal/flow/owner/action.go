package owner

import (
	"net/netip"

	"github.com/clementinewing/clementinewing/internal/world/link"
)

// Action is what the side process has to do about an event.
type Action interface {
	action()
}

// Connect opens a connection to the upstream. The packet that asked for the flow
// is kept by the caller of Step until Accept, Refuse, Abort or Pass; the last three
// give the connection up. Serial tells flows under the same key apart.
type Connect struct {
	Key    link.Key
	Serial uint64
}

// Keep says that the packet at hand, an opening, waits for a slot and is kept as
// for Connect. Connect, Pass, Refuse or Abort with the same Serial follows.
type Keep struct {
	Key    link.Key
	Serial uint64
}

// Accept lets the stack complete the caller's handshake.
type Accept struct {
	Key    link.Key
	Serial uint64
}

// Deliver gives the packet at hand to the stack.
type Deliver struct {
	Key link.Key
}

// Pass hands the packet of Key to another candidate of its message. The packet
// is the one at hand if Serial is zero, else the kept opening of that flow.
type Pass struct {
	Key      link.Key
	Serial   uint64
	Position int
	Denied   uint16
	// Round goes into the message, see Arrived.
	Round uint8
	// Relay asks to send it to the message's balancer, which sends it on to
	// Position unchanged: from here that candidate does not answer.
	Relay  bool
	Reason Reason
}

// Refuse answers the opening of Key with a reset: its work was not run. Serial is
// zero if the opening is the packet at hand, else that of its Connect.
type Refuse struct {
	Key    link.Key
	Serial uint64
	Reason Reason
}

// Reset answers the packet at hand with a reset: no endpoint owns its flow.
type Reset struct {
	Key    link.Key
	Reason Reason
}

// Drop forgets the packet at hand.
type Drop struct {
	Reason Reason
}

// Hint tells a balancer that this endpoint owns the flow.
type Hint struct {
	Key      link.Key
	Balancer netip.AddrPort
}

// Abort cuts a flow and its upstream connection. A silent one sends nothing to the
// caller, who may be served by another endpoint under the same key.
type Abort struct {
	Key    link.Key
	Serial uint64
	Silent bool
	Reason Reason
}

// Emptied says that a drain has ended: no flow is left.
type Emptied struct{}

func (Connect) action() {}
func (Keep) action()    {}
func (Accept) action()  {}
func (Deliver) action() {}
func (Pass) action()    {}
func (Refuse) action()  {}
func (Reset) action()   {}
func (Drop) action()    {}
func (Hint) action()    {}
func (Abort) action()   {}
func (Emptied) action() {}
