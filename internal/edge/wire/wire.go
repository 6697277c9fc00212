// Package wire encodes and authenticates the datagrams between balancers and
// agents: a fixed header, the ranked candidates, one IPv4 packet and an
// authentication tag. All numbers are big-endian. docs/design/0002-wire.md gives
// the layout.
//
// A Sealer writes datagrams and an Opener reads them; neither is safe for
// concurrent use. The Openers of a process share one Senders table, so that a
// replay is detected at whichever socket it arrives.
package wire

import (
	"net/netip"

	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// Kind is the purpose of a datagram.
type Kind uint8

const (
	// Packet forwards one IPv4 packet towards the owner of its flow.
	Packet Kind = iota + 1
	// Hint tells a balancer the owner of a flow. It carries the first bytes of a
	// packet of the flow, and the owner as its only candidate.
	Hint
	// Probe asks the other end of a link for an Answer.
	Probe
	// Answer replies to a Probe and repeats every field of it but the kind.
	Answer
)

// MaxRounds bounds how many times all candidates may have refused a SYN.
const MaxRounds = 3

// MaxCandidates bounds the candidates of one message.
const MaxCandidates = 16

// Sizes of a datagram in bytes.
const (
	HeaderBytes    = 40
	CandidateBytes = 14
	TagBytes       = 16
	// MaxBytes bounds a datagram. It fits a packet of 8,960 bytes with one
	// candidate, or of 8,936 bytes with MaxCandidates.
	MaxBytes = 9216
)

// formatVersion is the first byte of every datagram.
const formatVersion = 1

// Offsets in the header.
const (
	versionOffset  = 0
	kindOffset     = 1
	epochOffset    = 2
	countOffset    = 3
	positionOffset = 4
	roundOffset    = 5
	deniedOffset   = 6
	senderOffset   = 8
	sequenceOffset = 16
	serviceOffset  = 24
	balancerOffset = 32
	lengthOffset   = 38
)

// Candidate is an endpoint that may own or accept the flow.
type Candidate struct {
	Agent       netip.AddrPort
	Incarnation node.Incarnation
}

// Message is the content of one datagram. Addresses are IPv4; the zero AddrPort
// means none.
type Message struct {
	Kind    Kind
	Service spec.ServiceID
	// Position is the index of the candidate that this datagram is sent to.
	Position uint8
	// Denied has bit i set if candidate i has denied that it owns the flow or,
	// for a SYN, has refused it.
	Denied uint16
	// Round counts how many times all candidates have refused the SYN.
	Round uint8
	// Balancer is the address that hints about this flow are sent to.
	Balancer   netip.AddrPort
	Candidates []Candidate
	// Inner is the IPv4 packet. After Open it points into the datagram.
	Inner []byte
}

// MaxInner returns the size in bytes of the largest packet that fits with count
// candidates.
func MaxInner(count int) int {
	return MaxBytes - HeaderBytes - TagBytes - count*CandidateBytes
}
