package owner

import (
	"net/netip"
	"time"

	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// Event is an event at one endpoint.
type Event interface {
	event()
}

// PacketForEndpoint reports a packet of a flow, in a message of a balancer or another
// agent. Before calling Step, the agent appends to the message's candidate list the
// endpoints of its own service that are missing there, up to the maximum length of the
// list: a balancer may not know a new endpoint yet.
type PacketForEndpoint struct {
	Packet      link.Packet
	Service     spec.ServiceID
	Incarnation node.Incarnation
	// Position is this endpoint's index in the candidate list of the message, and
	// Candidates the length of the list.
	Position   int
	Candidates int
	// Denied has bit i set once candidate i has denied owning the flow.
	Denied uint16
	// Round is 0 while an opening is forwarded through the candidate list for the
	// first time, and 1 for the second time, when each candidate admits it unless it
	// is full.
	Round uint8
	// Silent has bit i set while candidate i does not answer the probes of this agent:
	// it is tried last and its denial is never assumed.
	Silent uint16
	// Dead has bit i set once the listed incarnation of candidate i is known to be
	// dead: its flows ended with it.
	Dead     uint16
	Balancer netip.AddrPort
}

// UpstreamConnected reports that the upstream accepted the connection for a flow. Serial
// is that of the Connect; zero means the flow that has the key now.
type UpstreamConnected struct {
	Key    link.Key
	Serial uint64
}

// UpstreamFailed reports that the connection to the upstream failed.
type UpstreamFailed struct {
	Key    link.Key
	Serial uint64
	Reason Reason
}

// PacketFromEndpoint reports a packet from this endpoint's own stack to the caller. It
// must be passed to Step before the packet is sent, because a flow accepts only packets
// that acknowledge what it has sent.
type PacketFromEndpoint struct {
	Packet link.Packet
}

// FlowEnded reports that the stack and the upstream have closed a flow, also because
// the caller did not answer keepalives. Serial is as in UpstreamConnected.
type FlowEnded struct {
	Key    link.Key
	Serial uint64
}

// Drain starts a drain, or changes its deadline: no new flows are admitted, and the
// remaining ones are aborted at Deadline.
type Drain struct {
	Deadline time.Time
}

// Tick processes the deadlines that have passed.
type Tick struct{}

func (PacketForEndpoint) event()  {}
func (UpstreamConnected) event()  {}
func (UpstreamFailed) event()     {}
func (PacketFromEndpoint) event() {}
func (FlowEnded) event()          {}
func (Drain) event()              {}
func (Tick) event()               {}
