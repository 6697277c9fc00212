package agent

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/edge/meter"
	"github.com/clementinewing/clementinewing/internal/relay/admit"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// Names of the latencies that an agent measures.
const (
	// LatencyOpening is the time from the delivery of a SYN to the endpoint to its answer.
	LatencyOpening = "opening_answered"
	// LatencyRequest is the time from the first byte of a request to the first byte of its
	// response.
	LatencyRequest = "request_answered"
	// LatencyStore is the duration of a store call.
	LatencyStore = "store_call"
)

// LatencyNames returns the names of all latencies.
func LatencyNames() []string {
	return []string{LatencyOpening, LatencyRequest, LatencyStore}
}

// WithObserver sets the function that records latencies by name.
func WithObserver(observe func(name string, took time.Duration)) Option {
	return func(a *Agent) {
		a.recordLatency = observe
	}
}

// counts holds the counters of an agent.
type counts struct {
	arrived  uint64
	accepted uint64
	// beyondSlots counts the SYNs that the endpoint was given without a free slot.
	beyondSlots uint64
	requests    uint64
	queued      uint64
	abandoned   uint64
	reports     uint64
	// reportsRefused counts reports and notices that were not acknowledged.
	reportsRefused uint64
	probes         uint64
	malformed      uint64
	sendErrors     uint64
	storeCalls     uint64
	storeFailures  uint64
	forwarded      [maxReasons]uint64
	returned       [maxReasons]uint64
}

// maxReasons is the length of arrays that are indexed by admit.Reason.
const maxReasons = 32

// Sample returns the current counters and gauges.
func (a *Agent) Sample() (s meter.Sample) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	c := &a.counts
	s.Totals = []meter.Total{
		{Name: "packets_arrived", Value: c.arrived},
		{Name: "openings_accepted", Value: c.accepted},
		{Name: "openings_beyond_slots", Value: c.beyondSlots},
		{Name: "requests", Value: c.requests},
		{Name: "requests_held", Value: c.queued},
		{Name: "requests_given_up", Value: c.abandoned},
		{Name: "endpoint_reports", Value: c.reports},
		{Name: "endpoint_reports_refused", Value: c.reportsRefused},
		{Name: "endpoint_probes", Value: c.probes},
		{Name: "malformed", Value: c.malformed},
		{Name: "send_errors", Value: c.sendErrors},
		{Name: "store_calls", Value: c.storeCalls},
		{Name: "store_failures", Value: c.storeFailures},
		{Name: "log_lines_dropped", Value: a.log.Dropped()},
	}
	for _, r := range admit.Reasons() {
		s.Totals = append(s.Totals,
			meter.Total{Name: "handed_on", Reason: r.String(), Value: c.forwarded[r]},
			meter.Total{Name: "given_back", Reason: r.String(), Value: c.returned[r]},
		)
	}
	s.Levels = []meter.Level{
		{Name: "in_use", Value: float64(a.controller.InUse())},
		{Name: "flows", Value: float64(a.controller.Flows())},
		{Name: "balancers", Value: float64(len(a.balancers.Hosts()))},
	}
	return s
}

// State is the published state of an agent.
type State struct {
	Service string `json:"service"`
	State   string `json:"state"`
	Born    uint64 `json:"born"`
	Slots   uint16 `json:"slots"`
	InUse   int    `json:"in_use"`
	Flows   int    `json:"flows"`
	// Accepted counts the SYNs that the endpoint has answered, BeyondSlots those of them that
	// it was given without a free slot.
	Accepted    uint64 `json:"openings_accepted"`
	BeyondSlots uint64 `json:"openings_beyond_slots"`
	// SawAllFlows reports whether the endpoint holds no flow that the agent does not know.
	SawAllFlows bool `json:"saw_all_flows"`
	// Registered reports whether the member record lists the agent, as far as it knows.
	Registered bool     `json:"registered"`
	Balancers  []string `json:"balancers"`
}

// State returns the agent's current state.
func (a *Agent) State() State {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	l := a.controller.Load(time.Now())
	s := State{
		Service: a.settings.Service,
		State:   l.State.String(),
		Born:    l.StartedAt,
		Slots:   l.Slots,
		InUse:   a.controller.InUse(),
		Flows:   a.controller.Flows(),

		Accepted:    a.counts.accepted,
		BeyondSlots: a.counts.beyondSlots,

		SawAllFlows: a.controller.SawAllFlows(),
		Registered:  l.Registered,
	}
	for _, h := range a.balancers.Hosts() {
		s.Balancers = append(s.Balancers, h.String())
	}
	return s
}

// Ready reports whether the endpoint accepts new flows.
func (a *Agent) Ready() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.controller.Load(time.Now()).State == node.Serving
}
