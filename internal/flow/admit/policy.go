package admit

import "time"

const (
	// candidateWaitTimeout is how long a new flow waits at one candidate after
	// all have rejected it, before it goes to the next one.
	candidateWaitTimeout = 10 * time.Millisecond
	// forwardsPerNewFlow and forwardBurst are the default retry budget: the tokens
	// added per new flow, one for each forward, and the most that are kept.
	forwardsPerNewFlow = 8.0
	forwardBurst       = 100.0
	// maxRounds is the number of rounds over the candidate list after which an
	// endpoint that drains or has no free connection rejects a flow.
	maxRounds = 3
	// maxWaitersPerSlot limits the length of the queue.
	maxWaitersPerSlot = 16
)

// Policy is how early a service forwards new flows while a slot is still free.
// Earlier forwarding spreads load more evenly, but costs extra forwards and
// places more flows on an endpoint other than the first of their candidate list.
type Policy struct {
	// SpareSlots is the number of slots that an endpoint keeps free in the first
	// round.
	SpareSlots int
	// SpareCandidates is the number of leading candidates that keep slots free;
	// the others admit flows as long as any slot is free.
	SpareCandidates int
}

// ForwardWhenFull is the policy to forward only if no slot is free.
func ForwardWhenFull() Policy {
	return Policy{}
}

// ForwardEarly is the policy to keep one slot free at the first candidate.
func ForwardEarly() Policy {
	return Policy{
		SpareSlots:      1,
		SpareCandidates: 1,
	}
}

// ForwardsEarly reports whether an endpoint with so many of its slots in use
// forwards a flow in spite of a free slot, at the given position of the first
// round.
func (p Policy) ForwardsEarly(used, slots, position int) bool {
	return position < p.SpareCandidates && slots > p.SpareSlots && used >= slots-p.SpareSlots
}

// MaxWaiters is the greatest length of the queue of an endpoint with the given
// slots.
func (p Policy) MaxWaiters(slots int) int {
	return maxWaitersPerSlot * slots
}
