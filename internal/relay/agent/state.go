package agent

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/edge/meter"
	"github.com/clementinewing/clementinewing/internal/relay/hold"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// Names of latencies that an agent observes.
const (
	// TimeOpening is from an opening that is given to the endpoint to its answer.
	TimeOpening = "opening_answered"
	// TimeRequest is from the first byte of a request to that of its answer.
	TimeRequest = "request_answered"
	// TimeStore is a call of the store.
	TimeStore = "store_call"
)

// Times gives the names of all latencies.
func Times() []string {
	return []string{TimeOpening, TimeRequest, TimeStore}
}

// WithObserver sets what records latencies by name.
func WithObserver(observe func(name string, took time.Duration)) Option {
	return func(a *Agent) {
		a.observe = observe
	}
}

// counts are the counters of an agent.
type counts struct {
	arrived       uint64
	accepted      uint64
	requests      uint64
	held          uint64
	givenUp       uint64
	reports       uint64
	probes        uint64
	malformed     uint64
	sendErrors    uint64
	storeCalls    uint64
	storeFailures uint64
	handedOn      [reasons]uint64
	givenBack     [reasons]uint64
}

// reasons is room for every hold.Reason.
const reasons = 32

// Sample gives the counters and levels of now.
func (a *Agent) Sample() (s meter.Sample) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	c := &a.counts
	s.Totals = []meter.Total{
		{Name: "packets_arrived", Value: c.arrived},
		{Name: "openings_accepted", Value: c.accepted},
		{Name: "requests", Value: c.requests},
		{Name: "requests_held", Value: c.held},
		{Name: "requests_given_up", Value: c.givenUp},
		{Name: "endpoint_reports", Value: c.reports},
		{Name: "endpoint_probes", Value: c.probes},
		{Name: "malformed", Value: c.malformed},
		{Name: "send_errors", Value: c.sendErrors},
		{Name: "store_calls", Value: c.storeCalls},
		{Name: "store_failures", Value: c.storeFailures},
		{Name: "log_lines_dropped", Value: a.log.Dropped()},
	}
	for _, r := range hold.Reasons() {
		s.Totals = append(s.Totals,
			meter.Total{Name: "handed_on", Reason: r.String(), Value: c.handedOn[r]},
			meter.Total{Name: "given_back", Reason: r.String(), Value: c.givenBack[r]},
		)
	}
	s.Levels = []meter.Level{
		{Name: "in_use", Value: float64(a.hold.InUse())},
		{Name: "flows", Value: float64(a.hold.Flows())},
		{Name: "balancers", Value: float64(len(a.balancers.Hosts()))},
	}
	return s
}

// State is what an agent believes.
type State struct {
	Service   string   `json:"service"`
	State     string   `json:"state"`
	Born      uint64   `json:"born"`
	Slots     uint16   `json:"slots"`
	InUse     int      `json:"in_use"`
	Flows     int      `json:"flows"`
	Balancers []string `json:"balancers"`
}

// State gives what the agent believes now.
func (a *Agent) State() State {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	l := a.hold.Load(time.Now())
	s := State{
		Service: a.settings.Service,
		State:   l.State.String(),
		Born:    l.Born,
		Slots:   l.Slots,
		InUse:   a.hold.InUse(),
		Flows:   a.hold.Flows(),
	}
	for _, h := range a.balancers.Hosts() {
		s.Balancers = append(s.Balancers, h.String())
	}
	return s
}

// Ready tells whether the endpoint may be given new flows.
func (a *Agent) Ready() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.hold.Load(time.Now()).State == node.Serving
}
