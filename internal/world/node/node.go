// Package node describes the machines of the fleet and what they announce.
package node

import (
	"net/netip"

	"github.com/clementinewing/clementinewing/internal/world/pact"
	"github.com/clementinewing/clementinewing/internal/world/zone"
)

// Incarnation tells two lives at the same address apart. It is drawn at random
// when a process starts and never reused.
type Incarnation uint64

// State is what an endpoint says about itself.
type State uint8

const (
	// Joining endpoints are in their cold start.
	Joining State = iota + 1
	// Serving endpoints take new flows.
	Serving
	// Draining endpoints keep their flows and take no new ones.
	Draining
	// Gone endpoints have left and hold no flow.
	Gone
)

// Endpoint is one upstream of one service, reached through its side process.
type Endpoint struct {
	Service     pact.ServiceID
	Upstream    string
	Agent       netip.AddrPort
	Incarnation Incarnation
	Place       zone.Place
	Weight      uint32
	State       State
	// Sequence rises with every announcement of one incarnation.
	Sequence uint64
}

// String gives the state as logs and tables print it.
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
