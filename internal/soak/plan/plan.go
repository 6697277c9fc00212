// Package plan draws the faults of a soak run. A plan is a pure function of its
// seed and sizes.
package plan

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is what is done.
type Kind int

// Kinds of faults and of planned work.
const (
	// KillBalancer and the like end a process without warning; it is started
	// again after For.
	KillBalancer Kind = iota
	KillSide
	// StopBalancer and StopSide ask a process to end; planned work.
	StopBalancer
	StopSide
	// PauseBalancer and PauseSide stop a process for For.
	PauseBalancer
	PauseSide
	// KillAll kills every process of ours at once.
	KillAll
	// CrashEndpoint ends an endpoint; another life of it starts after For.
	CrashEndpoint
	// LeaveEndpoint lets an endpoint drain and leave; a new one takes its place.
	LeaveEndpoint
	// StoreBusy, StoreSilent, StoreReset, StoreLost and StoreSlow are modes of
	// the store for For.
	StoreBusy
	StoreSilent
	StoreReset
	StoreLost
	StoreSlow
	// AddRoute and DropRoute change the plan; planned work.
	AddRoute
	DropRoute
	// Hangup sends SIGHUP to a balancer; planned work.
	Hangup
	// The kinds above are drawn together, those below apart from them, so that a
	// seed keeps its events when kinds are added.
	processKinds
)

// Kinds of faults of the links to the store.
const (
	// StoreLate lets the store answer nothing and do what it is asked later.
	StoreLate = processKinds + iota
	// LinkSilent lets open connections to the store go silent for good.
	LinkSilent
	// LinkReset resets them.
	LinkReset
	// LinkOneWay swallows the store's answers for For, LinkSlow delays them.
	LinkOneWay
	LinkSlow

	kinds
)

var names = [kinds]string{
	"kill_balancer", "kill_side", "stop_balancer", "stop_side", "pause_balancer",
	"pause_side", "kill_all", "crash_endpoint", "leave_endpoint", "store_busy",
	"store_silent", "store_reset", "store_lost", "store_slow", "add_route",
	"drop_route", "hangup", "store_late", "link_silent", "link_reset", "link_one_way",
	"link_slow",
}

// String gives the kind as reports print it.
func (k Kind) String() string {
	return names[k]
}

// Event is one fault.
type Event struct {
	At     time.Duration
	Kind   Kind
	Target int
	For    time.Duration
}

// String gives the event as reports print it.
func (e Event) String() string {
	return fmt.Sprintf("%6.2fs %s %d for %.1fs", e.At.Seconds(), e.Kind, e.Target, e.For.Seconds())
}

const (
	// calm is how long no fault comes at the beginning and at the end: the system
	// starts, and has recovered by the end.
	calm    = 2 * time.Second
	gapMost = 1500 * time.Millisecond
	forMost = 3 * time.Second
	// series is the chance that an event comes right after another.
	series = 0.3
	// linkGapMost bounds the time between two faults of the links.
	linkGapMost = 8 * time.Second
)

// Draw makes the plan of a seed for a time span.
func Draw(seed uint64, span time.Duration, balancers, sides int) (events []Event) {
	r := rand.New(rand.NewPCG(seed, 0))
	for at := calm; at < span-2*calm-forMost; {
		k := Kind(r.IntN(int(processKinds)))
		target := r.IntN(sides)
		if slices.Contains([]Kind{KillBalancer, StopBalancer, PauseBalancer, Hangup}, k) {
			target = r.IntN(balancers)
		}
		events = append(events, Event{
			At:     at,
			Kind:   k,
			Target: target,
			For:    time.Duration(r.Int64N(int64(forMost))),
		})
		if r.Float64() >= series {
			at += time.Duration(r.Int64N(int64(gapMost)))
		}
	}
	events = append(events, drawLinks(seed, span)...)
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return events
}

// drawLinks draws the faults of the links to the store.
func drawLinks(seed uint64, span time.Duration) (events []Event) {
	r := rand.New(rand.NewPCG(seed, 1))
	at := calm
	for {
		at += time.Duration(r.Int64N(int64(linkGapMost)))
		if at >= span-2*calm-forMost {
			return events
		}
		events = append(events, Event{
			At:   at,
			Kind: processKinds + Kind(r.IntN(int(kinds-processKinds))),
			For:  time.Duration(r.Int64N(int64(forMost))),
		})
	}
}
