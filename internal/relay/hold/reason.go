package hold

// Reason says why a packet was passed on or a belief changed.
type Reason uint8

// Reasons of actions.
const (
	// OtherService: the packet is for another service than the endpoint's.
	OtherService Reason = iota + 1
	// Leaving: the endpoint or this process is to end.
	Leaving
	// NotServing: the endpoint has not reported yet or is silent.
	NotServing
	// Unproven: nothing has come from the endpoint yet, and it has an opening.
	Unproven
	// TableFull: too many flows are known.
	TableFull
	// SlotsFull: every slot of the endpoint is in use.
	SlotsFull
	// FlowsFull: the endpoint has its share of open flows.
	FlowsFull
	// QueueFull: as many openings wait for a slot as can be served in time.
	QueueFull
	// EarlierCopy: an earlier copy of the opening is with another candidate.
	EarlierCopy
	// WaitedLong: the opening waited for a slot until its caller gave up.
	WaitedLong
	// UnknownFlow: the endpoint does not hold the flow.
	UnknownFlow
	// OtherAnswer: the caller has taken another endpoint's answer to its opening.
	OtherAnswer
	// EndpointRefused: the endpoint returned the opening.
	EndpointRefused
	// EndpointDenied: the endpoint returned a packet of a flow it does not hold.
	EndpointDenied
	// OpeningUnanswered: the endpoint did not answer an opening in time.
	OpeningUnanswered
	// NoWord: the endpoint did not say whether it holds the flow.
	NoWord
	// EndpointReport: the endpoint reported.
	EndpointReport
	// EndpointLeft: the endpoint said that it ends.
	EndpointLeft
	// EndpointAnswer: a packet came from the endpoint.
	EndpointAnswer
	// BalancerMemory: a balancer remembers it from before this process.
	BalancerMemory
	// NotListening: nothing listens at the endpoint's address.
	NotListening

	reasonCount
)

var reasonNames = [reasonCount]string{
	OtherService:      "other_service",
	Leaving:           "leaving",
	NotServing:        "not_serving",
	Unproven:          "unproven",
	TableFull:         "table_full",
	SlotsFull:         "slots_full",
	FlowsFull:         "flows_full",
	QueueFull:         "queue_full",
	EarlierCopy:       "earlier_copy",
	WaitedLong:        "waited_long",
	UnknownFlow:       "unknown_flow",
	OtherAnswer:       "other_answer",
	EndpointRefused:   "endpoint_refused",
	EndpointDenied:    "endpoint_denied",
	OpeningUnanswered: "opening_unanswered",
	NoWord:            "no_word",
	EndpointReport:    "endpoint_report",
	EndpointLeft:      "endpoint_left",
	EndpointAnswer:    "endpoint_answer",
	BalancerMemory:    "balancer_memory",
	NotListening:      "not_listening",
}

// Reasons gives every reason.
func Reasons() (list []Reason) {
	for r := OtherService; r < reasonCount; r++ {
		list = append(list, r)
	}
	return list
}

// String gives the reason as logs and counters print it.
func (r Reason) String() string {
	if r > 0 && r < reasonCount {
		return reasonNames[r]
	}
	return "unknown"
}
