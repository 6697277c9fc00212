// Package wire is the datagram format between balancers and side processes: a
// fixed header, the ranked candidates, one IPv4 packet and a keyed tag. All
// numbers are big-endian.
package wire

import (
	"net/netip"

	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/pact"
)

// Kind is what a datagram is for.
type Kind uint8

const (
	// Packet carries one IPv4 packet towards the owner of its flow.
	Packet Kind = iota + 1
	// Hint tells a balancer who owns a flow. It carries the first bytes of the
	// packet that named the flow, and one candidate.
	Hint
	// Probe asks the other end of a link for an Answer.
	Probe
	// Answer returns a Probe.
	Answer
)

// MaxCandidates bounds the candidates of one message.
const MaxCandidates = 16

// Candidate is one endpoint that may own or take the flow.
type Candidate struct {
	Agent       netip.AddrPort
	Incarnation node.Incarnation
}

// Message is one datagram between the roles.
type Message struct {
	Kind    Kind
	Service pact.ServiceID
	// Position is the index of the candidate this copy is addressed to.
	Position uint8
	// Denied has bit i set once candidate i has said that the flow is not its
	// own (continuing packets) or has refused it (opening packets).
	Denied uint16
	// Balancer is where hints about this flow go.
	Balancer   netip.AddrPort
	Candidates []Candidate
	// Inner is the IPv4 packet. After Open it points into the datagram.
	Inner []byte
}
