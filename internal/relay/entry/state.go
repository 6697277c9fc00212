package entry

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/edge/meter"
	"github.com/clementinewing/clementinewing/internal/relay/guide"
)

// Names of latencies that a balancer observes.
const (
	// TimeOpening is from a caller's opening to word of who has it.
	TimeOpening = "opening_placed"
	// TimeStore is a call of the store.
	TimeStore = "store_call"
)

// Times gives the names of all latencies.
func Times() []string {
	return []string{TimeOpening, TimeStore}
}

// WithObserver sets what records latencies by name.
func WithObserver(observe func(name string, took time.Duration)) Option {
	return func(b *Balancer) {
		b.observe = observe
	}
}

// counts are the counters of a balancer.
type counts struct {
	packets       uint64
	malformed     uint64
	sendErrors    uint64
	asked         uint64
	storeCalls    uint64
	storeFailures uint64
	sent          [reasons]uint64
	refused       [reasons]uint64
	resets        [reasons]uint64
	dropped       [reasons]uint64
}

// reasons is room for every guide.Reason.
const reasons = 32

// Sample gives the counters and levels of now.
func (b *Balancer) Sample() (s meter.Sample) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	c := &b.counts
	s.Totals = []meter.Total{
		{Name: "packets", Value: c.packets},
		{Name: "malformed", Value: c.malformed},
		{Name: "send_errors", Value: c.sendErrors},
		{Name: "owner_questions", Value: c.asked},
		{Name: "store_calls", Value: c.storeCalls},
		{Name: "store_failures", Value: c.storeFailures},
		{Name: "log_lines_dropped", Value: b.log.Dropped()},
	}
	for _, r := range guide.Reasons() {
		s.Totals = append(s.Totals,
			meter.Total{Name: "sent", Reason: r.String(), Value: c.sent[r]},
			meter.Total{Name: "openings_refused", Reason: r.String(), Value: c.refused[r]},
			meter.Total{Name: "flows_reset", Reason: r.String(), Value: c.resets[r]},
			meter.Total{Name: "packets_dropped", Reason: r.String(), Value: c.dropped[r]},
		)
	}
	s.Levels = []meter.Level{
		{Name: "flows", Value: float64(b.guide.Flows())},
		{Name: "side_processes", Value: float64(len(b.members.Sides()))},
		{Name: "balancers", Value: float64(len(b.members.Balancers()))},
		{Name: "plan_version", Value: float64(b.planVersion())},
		{Name: "store_answer_age_seconds", Value: b.storeAge().Seconds()},
	}
	return s
}

func (b *Balancer) planVersion() uint64 {
	if p := b.held.Current(); p != nil {
		return p.Version
	}
	return 0
}

// storeAge is how long ago the store last answered any balancer; before the first
// answer it is the age of this process.
func (b *Balancer) storeAge() time.Duration {
	at := b.turns.LastAnswer()
	if at.IsZero() {
		at = b.started
	}
	return time.Since(at)
}

// State is what a balancer believes.
type State struct {
	PlanVersion  uint64      `json:"plan_version"`
	PlanRevision uint64      `json:"plan_revision"`
	StoreAgeMS   int64       `json:"store_answer_age_ms"`
	Balancers    []string    `json:"balancers"`
	Sides        []SideState `json:"side_processes"`
}

// SideState is what a balancer believes of one side process.
type SideState struct {
	Address string  `json:"address"`
	Service uint64  `json:"service_id"`
	State   string  `json:"state"`
	AgeMS   int64   `json:"report_age_ms"`
	Slots   uint16  `json:"slots"`
	InUse   uint16  `json:"in_use"`
	Average float64 `json:"average"`
	Silent  bool    `json:"silent"`
}

// State gives what the balancer believes now.
func (b *Balancer) State() State {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := time.Now()
	s := State{
		PlanVersion:  b.planVersion(),
		PlanRevision: b.held.Revision(),
		StoreAgeMS:   b.storeAge().Milliseconds(),
	}
	for _, h := range b.members.Balancers() {
		s.Balancers = append(s.Balancers, h.String())
	}
	for _, h := range b.members.Sides() {
		x := b.members.Side(h)
		s.Sides = append(s.Sides, SideState{
			Address: h.String(),
			Service: uint64(x.Service),
			State:   x.State.String(),
			AgeMS:   now.Sub(x.HeardAt).Milliseconds(),
			Slots:   x.Slots,
			InUse:   x.InUse,
			Average: float64(x.Average) / 64,
			Silent:  x.Silent(now),
		})
	}
	return s
}

// Ready tells whether the balancer takes packets of callers.
func (b *Balancer) Ready() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.ready && !b.leaving
}
