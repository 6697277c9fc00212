package owner

import (
	"net/netip"
	"time"

	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/pact"
)

// Event is what happened at one side process.
type Event interface {
	event()
}

// Arrived is a packet of a flow, handed over by a balancer or another side
// process.
type Arrived struct {
	Packet      link.Packet
	Service     pact.ServiceID
	Incarnation node.Incarnation
	// Position is this endpoint's index among the Candidates of the message.
	Position   int
	Candidates int
	// Denied has bit i set once candidate i has said that the flow is not its own.
	Denied   uint16
	Balancer netip.AddrPort
}

// Connected says that the upstream accepted the connection for a flow.
type Connected struct {
	Key link.Key
}

// Failed says that the upstream did not accept the connection for a flow.
type Failed struct {
	Key    link.Key
	Reason Reason
}

// Answered is a TCP segment from this endpoint's own stack to the caller.
type Answered struct {
	Packet link.Packet
}

// Ended says that the stack and the upstream are done with a flow.
type Ended struct {
	Key link.Key
}

// Drain asks for a graceful stop: no new flows, and the rest cut at Deadline.
type Drain struct {
	Deadline time.Time
}

// Tick lets deadlines lapse.
type Tick struct{}

func (Arrived) event()   {}
func (Connected) event() {}
func (Failed) event()    {}
func (Answered) event()  {}
func (Ended) event()     {}
func (Drain) event()     {}
func (Tick) event()      {}
