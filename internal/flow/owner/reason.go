package owner

import (
	"fmt"

	"github.com/clementinewing/clementinewing/internal/flow/admit"
)

// Reason is the reason for which a packet was rejected, forwarded or dropped, or a
// flow aborted. Each has a counter. An opening that should be forwarded, but has no
// candidate left, is rejected with the reason for forwarding it.
type Reason uint8

const (
	// None is the zero value and not counted.
	None Reason = iota
	// SlotsFull forwards or rejects an opening: the upstream has no free slot.
	SlotsFull
	// ConnectionsFull forwards or rejects an opening: the upstream is at its connection
	// limit.
	ConnectionsFull
	// Threshold forwards an opening: other candidates may have more free slots.
	Threshold
	// ColdStart forwards or rejects an opening: the cold-start ramp leaves no slot free.
	ColdStart
	// Shedding forwards or rejects an opening: the adaptive limit leaves no slot free.
	Shedding
	// RetryBudget rejects an opening: no slot is free and the retry budget is empty.
	RetryBudget
	// Draining forwards, drops or rejects an opening: this endpoint is being drained.
	Draining
	// ConnectFailed forwards or rejects an opening: the connection to the upstream
	// failed.
	ConnectFailed
	// Expired rejects an opening whose deadline has passed.
	Expired
	// Repeated drops another copy of an opening that is queued or connecting.
	Repeated
	// Occupied forwards or drops an opening: another flow has its key.
	Occupied
	// NotMine forwards a packet: its flow is not owned here.
	NotMine
	// OtherIncarnation forwards a packet for an earlier incarnation at this address.
	OtherIncarnation
	// OtherService forwards a packet for another service.
	OtherService
	// Malformed drops a message with an invalid position or candidate count.
	Malformed
	// NoOwnerYet drops a packet that every candidate denied, until the reset delay
	// has passed.
	NoOwnerYet
	// NoOwner resets a flow that every candidate denied for the whole reset delay,
	// or drops a reset of such a flow.
	NoOwner
	// SilentCandidate forwards a packet to a silent candidate: only such are left.
	SilentCandidate
	// ListCut drops a packet that every candidate of a possibly truncated list
	// denied.
	ListCut
	// Late drops a packet of a flow that has ended.
	Late
	// EndedEarly answers a packet of a flow that this endpoint aborted with a reset.
	EndedEarly
	// HandshakeExpired aborts a flow whose caller did not complete the handshake in
	// time.
	HandshakeExpired
	// DrainDeadline aborts a flow that is still open at the deadline of a drain.
	DrainDeadline
	// Cancelled aborts a flow whose caller reset it before it was open.
	Cancelled
	// IdleExpired aborts a datagram flow that had no packets for the idle timeout.
	IdleExpired
	// Woken drops an opening that may have arrived while the process was paused.
	Woken
	// Stale aborts a connection to the upstream whose flow no longer exists.
	Stale

	reasonCount
)

var reasonNames = [reasonCount]string{
	None:             "none",
	SlotsFull:        "slots_full",
	ConnectionsFull:  "connections_full",
	Threshold:        "threshold",
	ColdStart:        "cold_start",
	Shedding:         "shedding",
	RetryBudget:      "retry_budget",
	Draining:         "draining",
	ConnectFailed:    "connect_failed",
	Expired:          "expired",
	Repeated:         "repeated",
	Occupied:         "occupied",
	NotMine:          "not_mine",
	OtherIncarnation: "other_incarnation",
	OtherService:     "other_service",
	Malformed:        "malformed",
	NoOwnerYet:       "no_owner_yet",
	NoOwner:          "no_owner",
	SilentCandidate:  "silent_candidate",
	ListCut:          "list_cut",
	Late:             "late",
	EndedEarly:       "ended_early",
	HandshakeExpired: "handshake_expired",
	DrainDeadline:    "drain_deadline",
	Cancelled:        "cancelled",
	IdleExpired:      "idle_expired",
	Woken:            "woken",
	Stale:            "stale",
}

// String returns the name of the reason in metrics and logs.
func (r Reason) String() string {
	if r >= reasonCount {
		return fmt.Sprintf("reason_%d", uint8(r))
	}
	return reasonNames[r]
}

// admitReasons maps the reasons of package admit.
var admitReasons = map[admit.Reason]Reason{
	admit.SlotsFull:       SlotsFull,
	admit.ConnectionsFull: ConnectionsFull,
	admit.Threshold:       Threshold,
	admit.ColdStart:       ColdStart,
	admit.Shedding:        Shedding,
	admit.Draining:        Draining,
	admit.RetryBudget:     RetryBudget,
	admit.DeadlinePassed:  Expired,
}

// Reasons returns every reason except None.
func Reasons() []Reason {
	out := make([]Reason, 0, reasonCount-1)
	for r := None + 1; r < reasonCount; r++ {
		out = append(out, r)
	}
	return out
}

// Counts is a snapshot of the flows and counters of a Table.
type Counts struct {
	// Queued, Connecting, HalfOpen, Open and Lingering are the current numbers of
	// flows by state.
	Queued     int
	Connecting int
	HalfOpen   int
	Open       int
	Lingering  int
	// Admitted counts admitted flows, Hints sent hints.
	Admitted uint64
	Hints    uint64
	// Reasons counts packets and flows by Reason.
	Reasons [reasonCount]uint64
}

// Of returns the count of one reason.
func (c Counts) Of(r Reason) uint64 {
	if r >= reasonCount {
		return 0
	}
	return c.Reasons[r]
}
