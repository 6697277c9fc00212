package guide

// Reason says why a packet went where it did.
type Reason uint8

// Reasons of actions.
const (
	// ToOwner: the owner was known.
	ToOwner Reason = iota
	// Placed: a new flow went to the least loaded endpoint.
	Placed
	// Repeated: a copy of an opening went to the endpoint that answered it.
	Repeated
	// Resent: nobody answered an opening in time.
	Resent
	// Lookup: the owner was not known here.
	Lookup
	// NoPlan: no configuration has been read yet.
	NoPlan
	// NoRoute: the configuration has no route to the target.
	NoRoute
	// NoEndpoint: no endpoint of the service takes new flows.
	NoEndpoint
	// Starting: the balancer has just started and knows no endpoint.
	Starting
	// TableFull: too many flows are remembered.
	TableFull
	// AllRejected: no candidate took the opening.
	AllRejected
	// OwnerUnknown: no endpoint said that the flow is its own.
	OwnerUnknown
	// AllDenied: every endpoint has denied the flow for long enough.
	AllDenied
	// OwnerRestarted: the owner started anew and lost the flow.
	OwnerRestarted

	reasonCount
)

var reasonNames = [reasonCount]string{
	ToOwner:        "to_owner",
	Placed:         "placed",
	Repeated:       "repeated",
	Resent:         "resent",
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
}

// Reasons gives every reason.
func Reasons() (list []Reason) {
	for r := range reasonCount {
		list = append(list, r)
	}
	return list
}

// String gives the reason as logs and counters print it.
func (r Reason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return "unknown"
}
