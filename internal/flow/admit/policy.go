package admit

import "time"

const (
	// holdAt is how long an opening waits at one candidate once all have refused
	// it, before the next is asked again.
	holdAt = 10 * time.Millisecond
	// handOversPerOpening and handOverBurst are the default retry budget.
	handOversPerOpening = 8.0
	handOverBurst       = 100.0
	// closedPasses is the number of walks along the list after which an endpoint
	// without connections, or one that drains, refuses.
	closedPasses = 3
	// waitingPerSlot bounds the openings that wait, a slot.
	waitingPerSlot = 16
)

// Policy is how readily a service's openings are handed on while a slot is
// free. Handing on further spreads work more evenly and costs a hand-over, and
// puts more flows off the first place of their ranked list.
type Policy struct {
	// Spare is the number of free slots that the endpoint keeps on the first
	// pass.
	Spare int
	// Positions is the number of first candidates that keep them; the later
	// ones take while any slot is free.
	Positions int
}

// Few hands on only when no slot is free.
func Few() Policy {
	return Policy{}
}

// Even keeps one slot free at the first candidate.
func Even() Policy {
	return Policy{
		Spare:     1,
		Positions: 1,
	}
}

// HandsOn tells whether an endpoint that uses so many of its slots hands on an
// opening at the given position of its first pass.
func (p Policy) HandsOn(used, slots, position int) bool {
	return position < p.Positions && slots > p.Spare && used >= slots-p.Spare
}

// Waiting is the number of openings that may wait at an endpoint with the given
// slots.
func (p Policy) Waiting(slots int) int {
	return waitingPerSlot * slots
}
