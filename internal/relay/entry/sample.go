package entry

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/edge/meter"
	"github.com/clementinewing/clementinewing/internal/relay/router"
)

// Sample returns the current counters and gauges.
func (b *Balancer) Sample() (s meter.Sample) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s.Totals = b.totals()
	s.Levels = b.levels(time.Now())
	return s
}

func (b *Balancer) totals() (list []meter.Total) {
	c := &b.counts
	list = []meter.Total{
		{Name: "packets", Value: c.packets},
		{Name: "malformed", Value: c.malformed},
		{Name: "send_errors", Value: c.sendErrors},
		{Name: "owner_questions", Value: c.ownerQueries},
		{Name: "owner_batches", Value: c.ownerBatches},
		{Name: "owner_batch_flows", Value: c.ownerFlows},
		{Name: "store_calls", Value: c.storeCalls},
		{Name: "store_failures", Value: c.storeFailures},
		{Name: "pauses", Value: c.pauses},
		{Name: "own_polls", Value: c.ownPolls},
		{Name: "record_reads", Value: c.recordReads},
		{Name: "store_restores", Value: b.position.Restores()},
		{Name: "plans_ignored", Value: c.plansIgnored},
		{Name: "plans_refused", Value: c.plansRefused},
		{Name: "endpoint_outliers", Value: c.outliers},
		{Name: "log_lines_dropped", Value: b.log.Dropped()},
		{Name: "evacuation_changes", Value: b.evacuations.changes},
		{Name: "evacuation_answers", Value: b.evacuations.answers},
	}
	even := b.router.EvenCounts()
	list = append(list,
		meter.Total{Name: "openings_load_announced", Value: even.Announced},
		meter.Total{Name: "openings_beyond_slots", Value: even.BeyondSlots},
		meter.Total{Name: "openings_beyond_slots_while_free", Value: even.WhileFree},
	)
	for _, r := range router.Reasons() {
		list = append(list,
			meter.Total{Name: "sent", Reason: r.String(), Value: c.forwarded[r]},
			meter.Total{Name: "openings_refused", Reason: r.String(), Value: c.rejected[r]},
			meter.Total{Name: "flows_reset", Reason: r.String(), Value: c.resets[r]},
			meter.Total{Name: "packets_dropped", Reason: r.String(), Value: c.dropped[r]},
		)
	}
	for o := range router.OutcomeCount {
		list = append(list, meter.Total{
			Name:   "lookups",
			Reason: o.String(),
			Value:  c.lookups[o],
		})
	}
	return list
}

func (b *Balancer) levels(now time.Time) (list []meter.Level) {
	suspects := 0
	for _, x := range b.members.Agents() {
		if x.Suspect() && x.AcceptsFlows(now) {
			suspects++
		}
	}
	lookups := b.router.Lookups()
	unreachable := 0.0
	if _, found := b.members.Unreachable(now); found {
		unreachable = 1
	}
	list = []meter.Level{
		{Name: "members_unreachable", Value: unreachable},
		{Name: "suspect_endpoints", Value: float64(suspects)},
		{Name: "spill_share", Value: b.router.SpillShare()},
		{Name: "outlier_endpoints", Value: float64(b.router.LowCapacity())},
		{Name: "flows", Value: float64(b.router.Flows())},
		{Name: "lookups_unsent", Value: float64(lookups.Unsent)},
		{Name: "lookups_undecided", Value: float64(lookups.Undecided)},
		{Name: "lookups_unsettled", Value: float64(lookups.Unsettled)},
		{Name: "side_processes", Value: float64(len(b.members.PresentAgents()))},
		{Name: "balancers", Value: float64(len(b.members.Balancers()))},
		{Name: "plan_version", Value: float64(b.activePlan.Version())},
		{Name: "store_answer_age_seconds", Value: b.storeAge().Seconds()},
		{Name: "store_era", Value: float64(b.position.Latest().Era)},
		{Name: "store_revision", Value: float64(b.position.Latest().Revision)},
	}
	if b.evacuations.source != nil {
		list = append(list,
			meter.Level{Name: "evacuations_known", Value: oneIf(b.evacuations.source.Known())},
			meter.Level{Name: "evacuated_zones", Value: float64(len(b.evacuations.source.Zones()))},
		)
	}
	return list
}
