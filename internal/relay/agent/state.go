package agent

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/edge/meter"
	"github.com/clementinewing/clementinewing/internal/relay/admit"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
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
	// shed counts SYNs that left the queue because they could not be served in time.
	shed    uint64
	reports uint64
	// reportsRefused counts reports and notices that were not acknowledged.
	reportsRefused uint64
	// reportsMalformed counts reports that cannot be decoded.
	reportsMalformed uint64
	probes           uint64
	suspicions       uint64
	malformed        uint64
	// ownerBatches counts batches of owner queries, ownerFlows the flows in them and verdicts
	// the answers.
	ownerBatches  uint64
	ownerFlows    uint64
	verdicts      [frame.VerdictCount]uint64
	sendErrors    uint64
	storeCalls    uint64
	storeFailures uint64
	// evacuationChanges counts how often the failure domain was evacuated or in use again, or the
	// rate of cold endpoints changed.
	evacuationChanges uint64
	forwarded         [maxReasons]uint64
	returned          [maxReasons]uint64
}

// maxReasons is the length of arrays that are indexed by admit.Reason.
const maxReasons = 64

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
		{Name: "openings_shed", Value: c.shed},
		{Name: "endpoint_reports", Value: c.reports},
		{Name: "endpoint_reports_refused", Value: c.reportsRefused},
		{Name: "endpoint_reports_malformed", Value: c.reportsMalformed},
		{Name: "endpoint_probes", Value: c.probes},
		{Name: "endpoint_suspicions", Value: c.suspicions},
		{Name: "malformed", Value: c.malformed},
		{Name: "owner_batches", Value: c.ownerBatches},
		{Name: "owner_batch_flows", Value: c.ownerFlows},
		{Name: "send_errors", Value: c.sendErrors},
		{Name: "store_calls", Value: c.storeCalls},
		{Name: "store_failures", Value: c.storeFailures},
		{Name: "log_lines_dropped", Value: a.log.Dropped()},
		{Name: "evacuation_changes", Value: c.evacuationChanges},
	}
	for _, r := range admit.Reasons() {
		s.Totals = append(s.Totals,
			meter.Total{Name: "handed_on", Reason: r.String(), Value: c.forwarded[r]},
			meter.Total{Name: "given_back", Reason: r.String(), Value: c.returned[r]},
		)
	}
	for v := range frame.VerdictCount {
		s.Totals = append(s.Totals, meter.Total{
			Name:   "owner_answers",
			Reason: v.String(),
			Value:  c.verdicts[v],
		})
	}
	q := a.controller.Shedding(time.Now())
	s.Levels = []meter.Level{
		{Name: "in_use", Value: float64(a.controller.InUse())},
		{Name: "flows", Value: float64(a.controller.Flows())},
		{Name: "endpoint_refusals", Value: float64(a.controller.Load(time.Now()).Refusals)},
		{Name: "queued_openings", Value: float64(q.Openings)},
		{Name: "queued_requests", Value: float64(q.Requests)},
		{Name: "slot_time_ms", Value: float64(q.SlotTime.Milliseconds())},
		{Name: "balancers", Value: float64(len(a.balancers.Hosts()))},
	}
	if e := a.controller.Evacuation(time.Now()); e.Followed {
		s.Levels = append(s.Levels,
			meter.Level{Name: "evacuations_known", Value: oneIf(e.Known)},
			meter.Level{Name: "evacuated", Value: oneIf(e.Evacuated)},
			meter.Level{Name: "cold", Value: oneIf(e.Cold)},
			meter.Level{Name: "cold_unless_reported", Value: oneIf(e.MayBeCold)},
			meter.Level{Name: "cold_limit", Value: float64(e.ColdLimit)},
			meter.Level{Name: "openings_last_second", Value: float64(e.Delivered)},
		)
	}
	return s
}

func oneIf(set bool) float64 {
	if set {
		return 1
	}
	return 0
}

// countAnswers counts the answers to a batch of owner queries.
func (a *Agent) countAnswers(verdicts []frame.Verdict) {
	for _, v := range verdicts {
		a.counts.verdicts[v]++
	}
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
	Registered bool `json:"registered"`
	// Refusals is as in frame.LoadReport. Suspect reports whether the endpoint is not known to
	// serve.
	Refusals uint16 `json:"refusals"`
	Suspect  bool   `json:"suspect"`
	// ServiceTimeMS is as in frame.LoadReport.
	ServiceTimeMS uint16   `json:"service_time_ms"`
	Balancers     []string `json:"balancers"`
	// Evacuation is absent if the deployment does not evacuate failure domains.
	Evacuation *EvacuationState `json:"evacuation,omitempty"`
	// Queue is what waits for a slot.
	Queue QueueState `json:"queue"`
}

// EvacuationState is what the agent knows of its failure domain and its endpoint's warmth.
type EvacuationState struct {
	// Known is false while the agent takes no new flow because it does not know which failure
	// domains are evacuated.
	Known     bool `json:"known"`
	Evacuated bool `json:"evacuated"`
	// Carried reports that the failure domain is evacuated because it was so before the store
	// came back from an older copy.
	Carried bool `json:"kept_from_earlier_era"`
	// Cold reports that the endpoint is cold, MayBeCold that it is or may have started anew without
	// having reported. ColdRate is the requests per second that it can then serve, ColdLimit the
	// new flows that it gets in a second, 0 for no limit.
	Cold      bool    `json:"cold"`
	MayBeCold bool    `json:"cold_unless_reported"`
	ColdRate  float64 `json:"cold_per_second"`
	ColdLimit int     `json:"cold_limit"`
	// Delivered is the number of new flows that it got in the last second.
	Delivered int `json:"openings_last_second"`
}

// QueueState is the published state of an agent's queue. The last two fields are 0 unless load
// shedding is enabled.
type QueueState struct {
	Openings int `json:"openings"`
	Requests int `json:"requests"`
	// SlotTimeMS is the average time that a request occupies a slot, ArrivalsPerSecond the rate
	// of the requests that the endpoint serves in time.
	SlotTimeMS        int64   `json:"slot_time_ms"`
	ArrivalsPerSecond float64 `json:"arrivals_per_second"`
}

// State returns the agent's current state.
func (a *Agent) State() State {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	l := a.controller.Load(time.Now())
	q := a.controller.Shedding(time.Now())
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
		Refusals:    l.Refusals,
		Suspect:     l.Refusals >= frame.SuspectRefusals,

		ServiceTimeMS: l.ServiceTimeMS,
		Queue: QueueState{
			Openings:          q.Openings,
			Requests:          q.Requests,
			SlotTimeMS:        q.SlotTime.Milliseconds(),
			ArrivalsPerSecond: q.ArrivalRate,
		},
	}
	for _, h := range a.balancers.Hosts() {
		s.Balancers = append(s.Balancers, h.String())
	}
	if e := a.controller.Evacuation(time.Now()); e.Followed {
		s.Evacuation = &EvacuationState{
			Known:     e.Known,
			Evacuated: e.Evacuated,
			Carried:   e.Carried,
			Cold:      e.Cold,
			MayBeCold: e.MayBeCold,
			ColdRate:  e.ColdRate,
			ColdLimit: e.ColdLimit,
			Delivered: e.Delivered,
		}
	}
	return s
}

// Ready reports whether the endpoint accepts new flows.
func (a *Agent) Ready() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.controller.Load(time.Now()).State == node.Serving
}
