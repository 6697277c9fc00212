package owner

import (
	"math/bits"
	"net/netip"
)

// maxCandidates is the length of a list that may have been cut.
const maxCandidates = 16

// walk is the way of a packet along its candidates, seen from one of them.
type walk struct {
	position   uint8
	candidates uint8
	round      uint8
	// denied are the candidates that have said no, gone those whose incarnation
	// is known to be dead, silent those that do not answer.
	denied uint16
	gone   uint16
	silent uint16
	// serial is that of the flow whose opening was kept, else zero.
	serial uint64
	// balancer is where the packet came from.
	balancer netip.AddrPort
}

func walkOf(e *Arrived) walk {
	return walk{
		position:   uint8(e.Position),
		candidates: uint8(e.Candidates),
		round:      e.Round,
		denied:     e.Denied,
		gone:       e.Gone,
		silent:     e.Silent,
		balancer:   e.Balancer,
	}
}

// valid tells whether the positions of a message make sense.
func (e *Arrived) valid() bool {
	return e.Position >= 0 && e.Position < e.Candidates && e.Candidates <= maxCandidates
}

// own is the bit of this candidate.
func (w walk) own() uint16 {
	return 1 << w.position
}

// all has the bits of every candidate.
func (w walk) all() uint16 {
	return uint16(1<<w.candidates - 1)
}

// rest are the candidates that may still say yes.
func (w walk) rest() uint16 {
	return w.all() &^ (w.denied | w.gone | w.own())
}

// others are the candidates of a second round.
func (w walk) others() uint16 {
	return w.all() &^ (w.gone | w.silent | w.own())
}

// goesOn tells whether an opening can be handed on.
func (w walk) goesOn() bool {
	return w.rest()&^w.silent != 0 || w.round < lastRound && w.others() != 0
}

// next is the first of the given candidates after this one, around the list.
func (w walk) next(among uint16) int {
	later := among &^ (w.own()<<1 - 1)
	if later != 0 {
		return bits.TrailingZeros16(later)
	}
	return bits.TrailingZeros16(among)
}

// pick is the turn-th of the given candidates.
func pick(among uint16, turn int) int {
	for range turn % bits.OnesCount16(among) {
		among &= among - 1
	}
	return bits.TrailingZeros16(among)
}
