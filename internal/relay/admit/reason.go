package admit

// Reason says why a packet was forwarded or returned, or why a state changed.
type Reason uint8

// Reasons of actions.
const (
	// OtherService: the packet is for another service than the endpoint's.
	OtherService Reason = iota + 1
	// Leaving: the endpoint or this process is draining or has stopped.
	Leaving
	// NotServing: the endpoint has not reported yet, has refused a SYN before its first
	// report, or is silent.
	NotServing
	// Unproven: nothing has arrived from the endpoint yet, and one SYN is already
	// pending.
	Unproven
	// TableFull: the flow table is full.
	TableFull
	// SlotsFull: every slot of the endpoint is in use.
	SlotsFull
	// FlowsFull: the endpoint holds its share of open flows.
	FlowsFull
	// QueueFull: the queue holds as many SYNs as can be served in time.
	QueueFull
	// EarlierCopy: an earlier copy of the SYN is at another candidate.
	EarlierCopy
	// WaitedLong: the SYN was queued until its caller gave up.
	WaitedLong
	// UnknownFlow: the endpoint does not own the flow.
	UnknownFlow
	// OtherAnswer: the caller has accepted another endpoint's answer to its SYN.
	OtherAnswer
	// EndpointRefused: the endpoint refused the SYN.
	EndpointRefused
	// EndpointDenied: the endpoint bounced or reset a packet of a flow that it does not
	// own.
	EndpointDenied
	// OpeningUnanswered: the endpoint did not answer a SYN in time.
	OpeningUnanswered
	// NoWord: the endpoint did not show in time whether it owns the flow.
	OwnershipUnknown
	// EndpointReport: the endpoint reported.
	EndpointReport
	// EndpointLeft: the endpoint announced that it stops.
	EndpointLeft
	// EndpointAnswer: a packet arrived from the endpoint.
	EndpointAnswer
	// BalancerMemory: a balancer recorded the state before this process started.
	BalancerMemory
	// NotListening: nothing listens at the endpoint's address.
	NotListening
	// FlowEnded: the flow was the endpoint's, which no longer holds it.
	FlowEnded
	// Registered: the member record lists this agent.
	Registered
	// Unregistered: no balancer can register this agent, which serves all the same.
	Unregistered
	// Evacuated: the endpoint's failure domain is evacuated.
	Evacuated
	// ColdFull: the endpoint is cold and has got as many SYNs as it can serve.
	ColdFull
	// SlowStart: the endpoint has its share of new flows, which still grows after it was cold or
	// its failure domain was evacuated.
	SlowStart
	// EvacuationsKnown: a balancer has told which failure domains are evacuated.
	EvacuationsKnown
	// EvacuationsUnknown: no balancer has confirmed in time which failure domains are evacuated.
	EvacuationsUnknown
	// Suspect: the endpoint is not known to serve, and one SYN is already pending.
	Suspect
	// QueueTooLong: the SYN cannot be served before its caller gives up.
	QueueTooLong

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
	OwnershipUnknown:  "no_word",
	EndpointReport:    "endpoint_report",
	EndpointLeft:      "endpoint_left",
	EndpointAnswer:    "endpoint_answer",
	BalancerMemory:    "balancer_memory",
	NotListening:      "not_listening",
	FlowEnded:         "flow_ended",
	Registered:        "registered",
	Unregistered:      "unregistered",

	Evacuated:          "evacuated",
	ColdFull:           "cold_full",
	SlowStart:          "slow_start",
	EvacuationsKnown:   "evacuations_known",
	EvacuationsUnknown: "evacuations_unknown",
	Suspect:            "suspect",
	QueueTooLong:       "queue_too_long",
}

// Reasons returns all reasons.
func Reasons() (list []Reason) {
	for r := OtherService; r < reasonCount; r++ {
		list = append(list, r)
	}
	return list
}

// String returns the reason as printed in logs and metrics.
func (r Reason) String() string {
	if r > 0 && r < reasonCount {
		return reasonNames[r]
	}
	return "unknown"
}
