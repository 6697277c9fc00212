// Package wire is the datagram format between balancers and side processes: a
// fixed header, the ranked candidates, one IPv4 packet and a keyed tag. All
// numbers are big-endian. docs/design/0002-wire.md gives the layout.
//
// A Sealer belongs to one thread and writes datagrams; an Opener belongs to one
// thread and reads them. The Openers of a process share one Senders table, so
// that a replay is found whichever socket it arrives at.
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
	// Answer returns a Probe: every field but the kind is the probe's.
	Answer
)

// MaxRounds bounds how often every candidate may have refused an opening.
const MaxRounds = 3

// MaxCandidates bounds the candidates of one message.
const MaxCandidates = 16

// Sizes of a datagram in bytes.
const (
	HeaderBytes    = 40
	CandidateBytes = 14
	TagBytes       = 16
	// MaxBytes bounds a datagram: a packet of 8,960 bytes with one candidate
	// fits, as does one of 8,936 with every candidate.
	MaxBytes = 9216
)

// formatVersion is the first byte of every datagram.
const formatVersion = 1

// Offsets in the header.
const (
	atVersion  = 0
	atKind     = 1
	atEpoch    = 2
	atCount    = 3
	atPosition = 4
	atRound    = 5
	atDenied   = 6
	atSender   = 8
	atSequence = 16
	atService  = 24
	atAddress  = 32
	atLength   = 38
)

// Candidate is one endpoint that may own or take the flow.
type Candidate struct {
	Agent       netip.AddrPort
	Incarnation node.Incarnation
}

// Message is one datagram between the roles. Addresses are IPv4; the zero
// AddrPort stands for none.
type Message struct {
	Kind    Kind
	Service pact.ServiceID
	// Position is the index of the candidate this copy is addressed to.
	Position uint8
	// Denied has bit i set once candidate i has said that the flow is not its
	// own (continuing packets) or has refused it (opening packets).
	Denied uint16
	// Round counts how often every candidate has refused the opening.
	Round uint8
	// Balancer is where hints about this flow go.
	Balancer   netip.AddrPort
	Candidates []Candidate
	// Inner is the IPv4 packet. After Open it points into the datagram.
	Inner []byte
}

// MaxInner is the largest packet that fits beside count candidates, in bytes.
func MaxInner(count int) int {
	return MaxBytes - HeaderBytes - TagBytes - count*CandidateBytes
}
