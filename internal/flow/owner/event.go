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
// process. Before it is stepped, endpoints of this endpoint's own service that the
// side process knows and the message lacks are added to the candidates, as far as
// there is room: a balancer may not know a new endpoint yet.
type Arrived struct {
	Packet      link.Packet
	Service     pact.ServiceID
	Incarnation node.Incarnation
	// Position is this endpoint's index among the Candidates of the message.
	Position   int
	Candidates int
	// Denied has bit i set once candidate i has said that the flow is not its own.
	Denied uint16
	// Round is 0 on an opening's first way along the candidates and 1 on the
	// second, on which each admits unless it is full.
	Round uint8
	// Silent has bit i set while candidate i does not answer this side process:
	// it is asked last and its denial is never assumed.
	Silent uint16
	// Gone has bit i set once the named incarnation of candidate i is known to
	// be dead: its flows died with it.
	Gone     uint16
	Balancer netip.AddrPort
}

// Connected says that the upstream accepted the connection for a flow. Serial is
// that of the Connect; zero means the flow now held under the key.
type Connected struct {
	Key    link.Key
	Serial uint64
}

// Failed says that the upstream did not accept the connection for a flow.
type Failed struct {
	Key    link.Key
	Serial uint64
	Reason Reason
}

// Answered is a packet from this endpoint's own stack to the caller. It has to be
// stepped before the packet leaves: a flow takes only packets that acknowledge
// what it has sent.
type Answered struct {
	Packet link.Packet
}

// Ended says that the stack and the upstream are done with a flow, also when the
// caller has not answered keepalives. Serial is as in Connected.
type Ended struct {
	Key    link.Key
	Serial uint64
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
