package admit

// Reason says why an opening was not taken, or that it was.
type Reason uint8

const (
	// Accepted openings were taken.
	Accepted Reason = iota
	// SlotsFull means that all slots of the accepted file are in use.
	SlotsFull
	// ConnectionsFull means that all connections of the accepted file are in use.
	ConnectionsFull
	// Threshold means that a slot is free, but a later candidate is likely to be less
	// loaded.
	Threshold
	// ColdStart means that the cold-start ramp leaves no slot free.
	ColdStart
	// Shedding means that the adaptive limit leaves no slot free.
	Shedding
	// Draining means that the endpoint is leaving.
	Draining
	// RetryBudget means that no slot is free and no hand-over is left.
	RetryBudget
	// DeadlinePassed means that the opening is too old to be run.
	DeadlinePassed
	reasonCount
)

var reasonNames = [reasonCount]string{
	Accepted:        "accepted",
	SlotsFull:       "slots_full",
	ConnectionsFull: "connections_full",
	Threshold:       "threshold",
	ColdStart:       "cold_start",
	Shedding:        "shedding",
	Draining:        "draining",
	RetryBudget:     "retry_budget",
	DeadlinePassed:  "deadline_passed",
}

// String gives the reason as counters and logs name it.
func (r Reason) String() string {
	if r >= reasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// Reasons lists every reason, Accepted first.
func Reasons() []Reason {
	all := make([]Reason, reasonCount)
	for i := range all {
		all[i] = Reason(i)
	}
	return all
}
