package owner

import (
	"fmt"

	"github.com/clementinewing/clementinewing/internal/flow/admit"
)

// Reason says why a packet was refused, handed on or dropped; each has a counter.
type Reason uint8

const (
	// None is no refusal.
	None Reason = iota
	// SlotsFull refuses an opening: the upstream has no free slot.
	SlotsFull
	// ConnectionsFull refuses an opening: the upstream holds all its connections.
	ConnectionsFull
	// Threshold hands an opening on: other candidates may have more room.
	Threshold
	// ColdStart refuses an opening: the upstream's ramp leaves no slot free.
	ColdStart
	// Shedding refuses an opening: the adaptive limit leaves no slot free.
	Shedding
	// RetryBudget refuses an opening: too many were handed on lately.
	RetryBudget
	// Draining hands an opening on: this endpoint takes no new flows.
	Draining
	// ConnectFailed hands an opening on: the upstream took no connection.
	ConnectFailed
	// Expired refuses an opening that outlived its deadline.
	Expired
	// Repeated drops another copy of an opening that already waits.
	Repeated
	// Occupied hands an opening on: its key is held by another flow.
	Occupied
	// NotMine hands a packet on: its flow is not owned here.
	NotMine
	// OtherIncarnation hands a packet on for a past life at this address.
	OtherIncarnation
	// OtherService hands a packet on that names another service.
	OtherService
	// Malformed drops a message whose positions make no sense.
	Malformed
	// NoOwnerYet drops a packet that every candidate denied, for a while.
	NoOwnerYet
	// NoOwner resets a flow that every candidate denied for long enough.
	NoOwner
	// SilentCandidate hands a packet to a silent candidate, the last one left.
	SilentCandidate
	// ListCut drops a packet that all of a possibly truncated list denied.
	ListCut
	// Late drops a packet of a flow that has ended.
	Late
	// EndedEarly resets a flow that this endpoint has aborted.
	EndedEarly
	// HandshakeExpired aborts a flow whose caller did not complete it in time.
	HandshakeExpired
	// DrainDeadline aborts a flow that outlived a drain.
	DrainDeadline
	// Cancelled aborts a flow whose caller reset it before it was open.
	Cancelled
	// IdleExpired aborts a datagram flow that carried nothing for too long.
	IdleExpired
	// Woken drops an opening that may have come while the process stood still.
	Woken
	// Stale aborts a connection to the upstream that nobody waits for.
	Stale

	reasons
)

var reasonNames = [reasons]string{
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

// String gives the reason as counters and logs name it.
func (r Reason) String() string {
	if r >= reasons {
		return fmt.Sprintf("reason_%d", uint8(r))
	}
	return reasonNames[r]
}

// admitReasons gives the gate's reasons their names here.
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

// Reasons lists every reason but None.
func Reasons() []Reason {
	out := make([]Reason, 0, reasons-1)
	for r := None + 1; r < reasons; r++ {
		out = append(out, r)
	}
	return out
}

// Counts is a snapshot of what a Table holds and what it has done.
type Counts struct {
	// Waiting, Connecting, Half, Open and Lingering are flows held now.
	Waiting    int
	Connecting int
	Half       int
	Open       int
	Lingering  int
	// Taken counts flows admitted, Hints hints sent.
	Taken uint64
	Hints uint64
	// Reasons counts by Reason.
	Reasons [reasons]uint64
}

// Of gives the count of one reason.
func (c Counts) Of(r Reason) uint64 {
	if r >= reasons {
		return 0
	}
	return c.Reasons[r]
}
