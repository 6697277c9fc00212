// Package node describes the endpoints of the fleet and the states that they announce.
package node

import (
	"net/netip"

	"github.com/clementinewing/clementinewing/internal/world/spec"
	"github.com/clementinewing/clementinewing/internal/world/zone"
)

// Incarnation distinguishes successive processes at the same address. It is drawn at
// random when a process starts and never reused.
type Incarnation uint64

// State is the state that an endpoint announces.
type State uint8

const (
	// Joining endpoints have not shown yet that they can serve: they have just started,
	// or they do not answer or refused a flow.
	Joining State = iota + 1
	// Serving endpoints admit new flows.
	Serving
	// Draining endpoints keep their flows and admit no new ones.
	Draining
	// Gone endpoints have left the fleet and hold no flows.
	Gone
)

// Endpoint is one upstream of one service, reached through its agent.
type Endpoint struct {
	Service     spec.ServiceID
	Upstream    string
	Agent       netip.AddrPort
	Incarnation Incarnation
	Place       zone.Place
	Weight      uint32
	State       State
	// Sequence increases with every announcement of an incarnation.
	Sequence uint64
}

// String returns the name of the state in logs and tables.
func (s State) String() string {
	switch s {
	case Joining:
		return "joining"
	case Serving:
		return "serving"
	case Draining:
		return "draining"
	case Gone:
		return "gone"
	default:
		return "unknown"
	}
}
