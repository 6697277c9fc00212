package admit

// Reason is why a new flow was not admitted, or Accepted if it was.
type Reason uint8

const (
	// Accepted means that the flow was admitted.
	Accepted Reason = iota
	// SlotsFull means that all slots of the upstream are in use.
	SlotsFull
	// ConnectionsFull means that the upstream is at its connection limit.
	ConnectionsFull
	// Threshold means that a slot is free, but the policy keeps it free in the first
	// round, because a later candidate is probably less loaded.
	Threshold
	// ColdStart means that the cold-start ramp leaves no slot free.
	ColdStart
	// Shedding means that the adaptive limit leaves no slot free.
	Shedding
	// Draining means that the endpoint is being drained.
	Draining
	// RetryBudget means that no slot is free and the retry budget is empty.
	RetryBudget
	// DeadlinePassed means that the deadline of the flow has passed.
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

// String returns the name of the reason in metrics and logs.
func (r Reason) String() string {
	if r >= reasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// Reasons returns every reason, Accepted first.
func Reasons() []Reason {
	all := make([]Reason, reasonCount)
	for i := range all {
		all[i] = Reason(i)
	}
	return all
}
