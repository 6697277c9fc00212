package entry

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/evac"
	"github.com/clementinewing/clementinewing/internal/relay/router"
)

// Names of the latencies that a balancer measures.
const (
	// LatencyOpening is the time from a caller's SYN to the announcement of its owner.
	LatencyOpening = "opening_placed"
	// LatencyStore is the duration of a store call.
	LatencyStore = "store_call"
)

// LatencyNames returns the names of all latencies.
func LatencyNames() []string {
	return []string{LatencyOpening, LatencyStore}
}

// WithObserver sets the function that records latencies by name.
func WithObserver(observe func(name string, took time.Duration)) Option {
	return func(b *Balancer) {
		b.recordLatency = observe
	}
}

// counts holds the counters of a balancer.
type counts struct {
	packets      uint64
	malformed    uint64
	sendErrors   uint64
	ownerQueries uint64
	// ownerBatches counts batches of owner queries, ownerFlows the flows in them and lookups
	// the parallel lookups that ended.
	ownerBatches  uint64
	ownerFlows    uint64
	lookups       [router.OutcomeCount]uint64
	storeCalls    uint64
	storeFailures uint64
	recordReads   uint64
	plansIgnored  uint64
	// pauses counts how often the process was found to have been paused.
	pauses uint64
	// ownPolls counts polls of the store that were made although others had told of theirs.
	ownPolls uint64
	// plansRefused counts plans in the store that are not allowed.
	plansRefused uint64
	outliers     uint64
	forwarded    [maxReasons]uint64
	rejected     [maxReasons]uint64
	resets       [maxReasons]uint64
	dropped      [maxReasons]uint64
}

// maxReasons is the length of arrays that are indexed by router.Reason.
const maxReasons = 64

func oneIf(set bool) float64 {
	if set {
		return 1
	}
	return 0
}

// storeAge returns the time since the store last answered any balancer, or the uptime of
// this process if it has not answered yet.
func (b *Balancer) storeAge() time.Duration {
	at := b.pollSchedule.LastPoll()
	if at.IsZero() {
		at = b.startedAt
	}
	return time.Since(at)
}

// State is the published state of a balancer.
type State struct {
	PlanVersion  uint64 `json:"plan_version"`
	PlanRevision uint64 `json:"plan_revision"`
	StoreAgeMS   int64  `json:"store_answer_age_ms"`
	// Lookups are the lookups of flow owners in progress.
	Lookups router.Lookups `json:"lookups"`
	// SpillShare is the largest share of new flows of a service that leave the failure domain.
	SpillShare float64  `json:"spill_share"`
	Balancers  []string `json:"balancers"`
	// Openings are the SYNs placed since the start whose endpoint announced its load.
	Openings OpeningState `json:"openings"`
	Agents   []AgentState `json:"side_processes"`
	// Evacuations is absent if the deployment does not evacuate failure domains.
	Evacuations *EvacuationState `json:"evacuations,omitempty"`
}

// EvacuationState is what the balancer knows of the evacuated failure domains.
type EvacuationState struct {
	Known    bool   `json:"known"`
	Era      uint64 `json:"store_era"`
	Revision uint64 `json:"store_revision"`
	// Zones are the names of the evacuated failure domains, or the hashes of those whose name
	// this balancer has not read itself.
	Zones []string `json:"zones"`
	// Carried are those that are evacuated because they were so before the store came back from
	// an older copy.
	Carried []string `json:"kept_from_earlier_era,omitempty"`
}

// OpeningState counts placed SYNs by the load of the endpoints that took them.
type OpeningState struct {
	Announced   uint64 `json:"load_announced"`
	BeyondSlots uint64 `json:"beyond_slots"`
	// WhileFree counts those of BeyondSlots after whose placement another endpoint reported a
	// free slot.
	WhileFree uint64 `json:"beyond_slots_while_free"`
}

// AgentState is the published state of one agent as the balancer knows it.
type AgentState struct {
	Address string  `json:"address"`
	Service uint64  `json:"service_id"`
	State   string  `json:"state"`
	AgeMS   int64   `json:"report_age_ms"`
	Slots   uint16  `json:"slots"`
	InUse   uint16  `json:"in_use"`
	Average float64 `json:"average"`
	Silent  bool    `json:"silent"`
	// Evacuated reports whether the agent's failure domain is evacuated.
	Evacuated bool `json:"evacuated"`
	// Refusals is as in frame.LoadReport. Suspect reports whether the endpoint is not known to
	// serve and is asked last.
	Refusals uint16 `json:"refusals"`
	Suspect  bool   `json:"suspect"`
	// ServiceTimeMS is as in frame.LoadReport. Capacity is below 1 for an endpoint that gets
	// fewer new flows because it is slow, fails or has just come back.
	ServiceTimeMS uint16  `json:"service_time_ms"`
	Capacity      float64 `json:"capacity"`
	// Estimate is the number of requests that even placement expects the endpoint to have.
	Estimate float64 `json:"estimate"`
	// Registered reports whether the member record lists the agent, as far as is known.
	Registered bool `json:"registered"`
}

// State returns the balancer's current state.
func (b *Balancer) State() State {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := time.Now()
	s := State{
		PlanVersion:  b.activePlan.Version(),
		PlanRevision: b.activePlan.Revision(),
		StoreAgeMS:   b.storeAge().Milliseconds(),
		Lookups:      b.router.Lookups(),
		SpillShare:   b.router.SpillShare(),
		Openings:     OpeningState(b.router.EvenCounts()),
	}
	for _, h := range b.members.Balancers() {
		s.Balancers = append(s.Balancers, h.String())
	}
	for _, h := range b.members.PresentAgents() {
		x := b.members.Agent(h)
		s.Agents = append(s.Agents, AgentState{
			Address: h.String(),
			Service: uint64(x.Service),
			State:   x.State.String(),
			AgeMS:   now.Sub(x.HeardAt).Milliseconds(),
			Slots:   x.Slots,
			InUse:   x.InUse,
			Average: float64(x.Average) / 64,
			Silent:  x.Silent(now),

			Refusals: x.Refusals,
			Suspect:  x.Suspect(),

			ServiceTimeMS: x.ServiceTimeMS,
			Capacity:      b.router.Capacity(x.Service, h),
			Estimate:      x.Load.Estimate(now),

			Registered: b.members.Registered(h),
			Evacuated:  b.evacuations.source.Evacuated(evac.Zone(x.Zone)),
		})
	}
	s.Evacuations = b.evacuations.state()
	return s
}

func (e *evacuations) state() *EvacuationState {
	if e.source == nil {
		return nil
	}
	return &EvacuationState{
		Known:    e.source.Known(),
		Era:      e.source.Position().Era,
		Revision: e.source.Position().Revision,
		Zones:    e.namesOf(e.source.Zones()),
		Carried:  e.namesOf(e.carried()),
	}
}

// Ready reports whether the network's routers should send packets to the balancer.
func (b *Balancer) Ready() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.ready && !b.leaving
}
