package router

// Reason is why a packet was forwarded, refused, reset or dropped.
type Reason uint8

// Reasons of actions.
const (
	// ToOwner: the packet went to the known owner.
	ToOwner Reason = iota
	// Placed: a new flow went to the endpoint with the lowest expected load.
	Placed
	// Repeated: a retransmitted SYN went to the endpoint that answered the first one.
	Repeated
	// Resent: no endpoint answered a SYN in time.
	Resent
	// OfferedAgain: all candidates refused a SYN, which goes to endpoints not asked before.
	OfferedAgain
	// Lookup: the owner is not known to this balancer.
	Lookup
	// NoPlan: no configuration has been read yet.
	NoPlan
	// NoRoute: the configuration has no route to the target.
	NoRoute
	// NoEndpoint: no endpoint of the service takes new flows.
	NoEndpoint
	// Starting: the balancer has just started and knows no endpoint yet.
	Starting
	// TableFull: the flow table is full.
	TableFull
	// AllRejected: no candidate accepted the SYN.
	AllRejected
	// OwnerUnknown: the lookup found no owner, or the flow is marked as having none.
	OwnerUnknown
	// AllDenied: every endpoint has denied the flow in two lookups.
	AllDenied
	// OwnerRestarted: the owner restarted and lost the flow.
	OwnerRestarted
	// Evacuated: the endpoints of the service that take new flows are all in evacuated failure
	// domains.
	Evacuated
	// QueueTooLong: no candidate can serve the SYN before its caller gives up, and no other
	// endpoint of the service has told of a free slot.
	QueueTooLong
	// Replaced: agents have refused a SYN because their failure domain is evacuated, and it went
	// to endpoints of others.
	Replaced

	reasonCount
)

var reasonNames = [reasonCount]string{
	ToOwner:        "to_owner",
	Placed:         "placed",
	Repeated:       "repeated",
	Resent:         "resent",
	OfferedAgain:   "offered_again",
	Lookup:         "lookup",
	NoPlan:         "no_plan",
	NoRoute:        "no_route",
	NoEndpoint:     "no_endpoint",
	Starting:       "starting",
	TableFull:      "table_full",
	AllRejected:    "all_rejected",
	OwnerUnknown:   "owner_unknown",
	AllDenied:      "all_denied",
	OwnerRestarted: "owner_restarted",
	Evacuated:      "evacuated",
	QueueTooLong:   "queue_too_long",
	Replaced:       "placed_again",
}

// Reasons returns all reasons.
func Reasons() (list []Reason) {
	for r := range reasonCount {
		list = append(list, r)
	}
	return list
}

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return "unknown"
}
