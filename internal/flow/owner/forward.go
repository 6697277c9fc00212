package owner

import (
	"math/bits"
	"net/netip"
)

// maxCandidates is the maximum length of a candidate list. A list of this length may
// have been truncated.
const maxCandidates = 16

// forwardState is the progress of a packet through its candidate list, as seen by one
// of the candidates.
type forwardState struct {
	position   uint8
	candidates uint8
	round      uint8
	// denied are the candidates that have denied the packet, dead those whose
	// incarnation is known to be dead, silent those that do not answer this agent.
	denied uint16
	dead   uint16
	silent uint16
	// serial is the serial number of the flow if the agent keeps its opening, else zero.
	serial uint64
	// balancer is the balancer that sent the packet.
	balancer netip.AddrPort
}

func newForwardState(e *PacketForEndpoint) forwardState {
	return forwardState{
		position:   uint8(e.Position),
		candidates: uint8(e.Candidates),
		round:      e.Round,
		denied:     e.Denied,
		dead:       e.Dead,
		silent:     e.Silent,
		balancer:   e.Balancer,
	}
}

// positionsValid reports whether the position is within the candidate list and the
// list within its maximum length.
func (e *PacketForEndpoint) positionsValid() bool {
	return e.Position >= 0 && e.Position < e.Candidates && e.Candidates <= maxCandidates
}

// ownBit returns the bit of this candidate.
func (s forwardState) ownBit() uint16 {
	return 1 << s.position
}

// allBits returns the bits of all candidates.
func (s forwardState) allBits() uint16 {
	return uint16(1<<s.candidates - 1)
}

// remaining returns the other candidates that have not denied and are not known to be
// dead.
func (s forwardState) remaining() uint16 {
	return s.allBits() &^ (s.denied | s.dead | s.ownBit())
}

// retryCandidates returns the candidates of a second round: the other ones that are
// neither dead nor silent.
func (s forwardState) retryCandidates() uint16 {
	return s.allBits() &^ (s.dead | s.silent | s.ownBit())
}

// canForward reports whether an opening can be forwarded.
func (s forwardState) canForward() bool {
	return s.remaining()&^s.silent != 0 || s.round < lastRound && s.retryCandidates() != 0
}

// nextCandidate returns the first of the given candidates after this one, wrapping
// around the list.
func (s forwardState) nextCandidate(candidates uint16) int {
	later := candidates &^ (s.ownBit()<<1 - 1)
	if later != 0 {
		return bits.TrailingZeros16(later)
	}
	return bits.TrailingZeros16(candidates)
}

// nthCandidate returns the turn-th of the given candidates, modulo their number.
func nthCandidate(candidates uint16, turn int) int {
	for range turn % bits.OnesCount16(candidates) {
		candidates &= candidates - 1
	}
	return bits.TrailingZeros16(candidates)
}
