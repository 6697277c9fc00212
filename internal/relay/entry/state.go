package entry

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/edge/meter"
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
	packets       uint64
	malformed     uint64
	sendErrors    uint64
	ownerQueries  uint64
	storeCalls    uint64
	storeFailures uint64
	recordReads   uint64
	plansIgnored  uint64
	forwarded     [maxReasons]uint64
	rejected      [maxReasons]uint64
	resets        [maxReasons]uint64
	dropped       [maxReasons]uint64
}

// maxReasons is the length of arrays that are indexed by router.Reason.
const maxReasons = 32

// Sample returns the current counters and gauges.
func (b *Balancer) Sample() (s meter.Sample) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	c := &b.counts
	s.Totals = []meter.Total{
		{Name: "packets", Value: c.packets},
		{Name: "malformed", Value: c.malformed},
		{Name: "send_errors", Value: c.sendErrors},
		{Name: "owner_questions", Value: c.ownerQueries},
		{Name: "store_calls", Value: c.storeCalls},
		{Name: "store_failures", Value: c.storeFailures},
		{Name: "record_reads", Value: c.recordReads},
		{Name: "store_restores", Value: b.position.Restores()},
		{Name: "plans_ignored", Value: c.plansIgnored},
		{Name: "log_lines_dropped", Value: b.log.Dropped()},
	}
	even := b.router.EvenCounts()
	s.Totals = append(s.Totals,
		meter.Total{Name: "openings_load_announced", Value: even.Announced},
		meter.Total{Name: "openings_beyond_slots", Value: even.BeyondSlots},
		meter.Total{Name: "openings_beyond_slots_while_free", Value: even.WhileFree},
	)
	for _, r := range router.Reasons() {
		s.Totals = append(s.Totals,
			meter.Total{Name: "sent", Reason: r.String(), Value: c.forwarded[r]},
			meter.Total{Name: "openings_refused", Reason: r.String(), Value: c.rejected[r]},
			meter.Total{Name: "flows_reset", Reason: r.String(), Value: c.resets[r]},
			meter.Total{Name: "packets_dropped", Reason: r.String(), Value: c.dropped[r]},
		)
	}
	unreachable := 0.0
	if _, found := b.members.Unreachable(time.Now()); found {
		unreachable = 1
	}
	s.Levels = []meter.Level{
		{Name: "members_unreachable", Value: unreachable},
		{Name: "flows", Value: float64(b.router.Flows())},
		{Name: "side_processes", Value: float64(len(b.members.PresentAgents()))},
		{Name: "balancers", Value: float64(len(b.members.Balancers()))},
		{Name: "plan_version", Value: float64(b.activePlan.Version())},
		{Name: "store_answer_age_seconds", Value: b.storeAge().Seconds()},
		{Name: "store_era", Value: float64(b.position.Latest().Era)},
		{Name: "store_revision", Value: float64(b.position.Latest().Revision)},
	}
	return s
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
	PlanVersion  uint64   `json:"plan_version"`
	PlanRevision uint64   `json:"plan_revision"`
	StoreAgeMS   int64    `json:"store_answer_age_ms"`
	Balancers    []string `json:"balancers"`
	// Openings are the SYNs placed since the start whose endpoint announced its load.
	Openings OpeningState `json:"openings"`
	Agents   []AgentState `json:"side_processes"`
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

			Estimate: x.Load.Estimate(now),

			Registered: b.members.Registered(h),
		})
	}
	return s
}

// Ready reports whether the network's routers should send packets to the balancer.
func (b *Balancer) Ready() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.ready && !b.leaving
}
