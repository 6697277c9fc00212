// Package plan draws the faults of a soak run at random. The plan depends only on
// the seed, the time span and the sizes of the deployment.
package plan

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is the kind of an event.
type Kind int

// Kinds of faults and of planned work.
const (
	// KillBalancer and KillAgent end a process with SIGKILL; it is restarted
	// after a delay.
	KillBalancer Kind = iota
	KillAgent
	// StopBalancer and StopAgent end a process with SIGTERM; planned work.
	StopBalancer
	StopAgent
	// PauseBalancer and PauseAgent suspend a process for the event's duration.
	PauseBalancer
	PauseAgent
	// KillAll kills every balancer and agent at once.
	KillAll
	// CrashEndpoint ends an endpoint without warning; its next incarnation starts
	// after the event's duration.
	CrashEndpoint
	// LeaveEndpoint drains and stops an endpoint; a new one replaces it.
	LeaveEndpoint
	// StoreBusy, StoreSilent, StoreReset, StoreLost and StoreSlow put the store
	// into a failure mode for the event's duration.
	StoreBusy
	StoreSilent
	StoreReset
	StoreLost
	StoreSlow
	// AddRoute and DropRoute change the configuration; planned work.
	AddRoute
	DropRoute
	// Hangup changes the settings of a balancer and an agent with SIGHUP; planned work.
	Hangup
	// The kinds above are drawn separately from those below, so that a seed keeps
	// its events of the kinds above when kinds are added below.
	processKinds
)

// Kinds of faults of the links to the store.
const (
	// StoreLate makes the store apply requests late and answer none of them.
	StoreLate = processKinds + iota
	// LinkSilent silences the open connections to the store permanently.
	LinkSilent
	// LinkReset resets the open connections to the store.
	LinkReset
	// LinkOneWay drops the store's answers for the event's duration, LinkSlow
	// delays them.
	LinkOneWay
	LinkSlow
	linkKinds
)

// StoreRestored takes the store away for the event's duration and brings it back without
// its last changes, as many as the event's target. It is drawn separately from the kinds
// above for the same reason.
const (
	StoreRestored = linkKinds + iota
	restoreKinds
)

// RollBalancers ends all balancers with SIGTERM, RollAgent one agent; they are away for the
// event's duration. Planned work, drawn separately from the kinds above for the same reason.
const (
	RollBalancers = restoreKinds + iota
	RollAgent
	rollKinds
)

// EvacuateZone evacuates the failure domain of the target agent for the event's duration. Planned
// work, drawn separately from the kinds above for the same reason.
const (
	EvacuateZone = rollKinds + iota

	kindCount
)

var kindNames = [kindCount]string{
	"kill_balancer", "kill_side", "stop_balancer", "stop_side", "pause_balancer",
	"pause_side", "kill_all", "crash_endpoint", "leave_endpoint", "store_busy",
	"store_silent", "store_reset", "store_lost", "store_slow", "add_route",
	"drop_route", "hangup", "store_late", "link_silent", "link_reset", "link_one_way",
	"link_slow", "store_restored", "roll_balancers", "roll_side", "evacuate_zone",
}

// String returns the kind as reports print it.
func (k Kind) String() string {
	return kindNames[k]
}

// Event is one fault or planned change. Offset is its time after the start of the
// run; Target is the number of a balancer or of an agent, or of lost changes.
type Event struct {
	Offset   time.Duration
	Kind     Kind
	Target   int
	Duration time.Duration
}

// String returns the event as reports print it.
func (e Event) String() string {
	return fmt.Sprintf("%6.2fs %s %d for %.1fs", e.Offset.Seconds(), e.Kind, e.Target, e.Duration.Seconds())
}

const (
	// quietMargin is the time without faults at the beginning, while the system
	// starts, and twice that at the end, so that it can recover.
	quietMargin = 2 * time.Second
	maxGap      = 1500 * time.Millisecond
	maxDuration = 3 * time.Second
	// sameTimeProbability is the probability that an event has the same offset as the
	// one before it.
	sameTimeProbability = 0.3
	// maxLinkGap bounds the time between two faults of the links.
	maxLinkGap = 8 * time.Second
	// maxRestoreGap bounds the time between two restores of the store, maxLostChanges the
	// changes that one of them loses.
	maxRestoreGap  = 15 * time.Second
	maxLostChanges = 12
	// maxRollGap bounds the time between two series of restarts, rollOverlap the time from the
	// restart of the balancers to that of an agent, and maxRolledAgents the agents in a series.
	maxRollGap      = 8 * time.Second
	rollOverlap     = 4 * time.Second
	maxRolledAgents = 3
	// maxEvacuationGap bounds the time between two evacuations. Each takes longer than the time
	// after which it must hold, by minEvacuation and up to maxDuration more.
	maxEvacuationGap = 12 * time.Second
	minEvacuation    = 5500 * time.Millisecond
)

// Draw returns the plan of a seed for a time span.
func Draw(seed uint64, span time.Duration, balancers, agents int) (events []Event) {
	r := rand.New(rand.NewPCG(seed, 0))
	for at := quietMargin; at < span-2*quietMargin-maxDuration; {
		k := Kind(r.IntN(int(processKinds)))
		target := r.IntN(agents)
		if slices.Contains([]Kind{KillBalancer, StopBalancer, PauseBalancer, Hangup}, k) {
			target = r.IntN(balancers)
		}
		events = append(events, Event{
			Offset:   at,
			Kind:     k,
			Target:   target,
			Duration: time.Duration(r.Int64N(int64(maxDuration))),
		})
		if r.Float64() >= sameTimeProbability {
			at += time.Duration(r.Int64N(int64(maxGap)))
		}
	}
	events = append(events, drawLinkFaults(seed, span)...)
	events = append(events, drawRestores(seed, span)...)
	events = append(events, drawRolls(seed, span, agents)...)
	events = append(events, drawEvacuations(seed, span, agents)...)
	return sorted(events)
}

// DrawPlanned returns the plan of a seed with planned work only.
func DrawPlanned(seed uint64, span time.Duration, agents int) (events []Event) {
	return sorted(append(drawRolls(seed, span, agents), drawEvacuations(seed, span, agents)...))
}

// drawEvacuations draws evacuations of failure domains.
func drawEvacuations(seed uint64, span time.Duration, agents int) []Event {
	r := rand.New(rand.NewPCG(seed, 4))
	return drawSeries(r, span-minEvacuation, maxEvacuationGap, func() Event {
		return Event{
			Kind:     EvacuateZone,
			Target:   r.IntN(agents),
			Duration: minEvacuation + time.Duration(r.Int64N(int64(maxDuration))),
		}
	})
}

func sorted(events []Event) []Event {
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.Offset, b.Offset) })
	return events
}

// drawRolls draws series of planned restarts that overlap: all balancers at the same time,
// and agents around that time, whose endpoints are replaced as well.
func drawRolls(seed uint64, span time.Duration, agents int) (events []Event) {
	r := rand.New(rand.NewPCG(seed, 3))
	for _, e := range drawSeries(r, span-rollOverlap, maxRollGap, func() Event {
		return Event{
			Kind:     RollBalancers,
			Duration: time.Duration(r.Int64N(int64(maxDuration))),
		}
	}) {
		events = append(events, e)
		for range 1 + r.IntN(maxRolledAgents) {
			target := r.IntN(agents)
			events = append(events,
				Event{
					Offset: e.Offset + time.Duration(r.Int64N(int64(time.Second))),
					Kind:   LeaveEndpoint,
					Target: target,
				},
				Event{
					Offset:   e.Offset + time.Duration(r.Int64N(int64(rollOverlap))),
					Kind:     RollAgent,
					Target:   target,
					Duration: time.Duration(r.Int64N(int64(maxDuration))),
				})
		}
	}
	return events
}

// drawLinkFaults draws the faults of the links to the store.
func drawLinkFaults(seed uint64, span time.Duration) []Event {
	r := rand.New(rand.NewPCG(seed, 1))
	return drawSeries(r, span, maxLinkGap, func() Event {
		return Event{
			Kind:     processKinds + Kind(r.IntN(int(linkKinds-processKinds))),
			Duration: time.Duration(r.Int64N(int64(maxDuration))),
		}
	})
}

// drawRestores draws the restores of the store from an older copy.
func drawRestores(seed uint64, span time.Duration) []Event {
	r := rand.New(rand.NewPCG(seed, 2))
	return drawSeries(r, span, maxRestoreGap, func() Event {
		return Event{
			Kind:     StoreRestored,
			Target:   1 + r.IntN(maxLostChanges),
			Duration: time.Duration(r.Int64N(int64(maxDuration))),
		}
	})
}

// drawSeries draws events at most maxGap apart, each after its offset.
func drawSeries(r *rand.Rand, span, maxGap time.Duration, draw func() Event) (events []Event) {
	at := quietMargin
	for {
		at += time.Duration(r.Int64N(int64(maxGap)))
		if at >= span-2*quietMargin-maxDuration {
			return events
		}
		e := draw()
		e.Offset = at
		events = append(events, e)
	}
}
