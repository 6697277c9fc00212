// Package verify checks the results of a soak run: which of the callers'
// observations are violations, given the faults that were injected.
package verify

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/platform/fake"
)

const (
	// faultAftermath is how long after a fault on a machine its flows may still
	// be affected.
	faultAftermath = 4 * time.Second
	// planTimeout is how long a plan may take to come into force everywhere while
	// the store answers.
	planTimeout = 3 * time.Second
	// evacuationTimeout is how long after the store's answer an evacuated failure domain may still
	// get new flows while the store answers.
	evacuationTimeout = 5 * time.Second
	// minServedShare is the share of requests that must be served after the last
	// fault.
	minServedShare = 0.9
)

// Flow is a caller's record of one flow.
type Flow struct {
	Opened time.Time
	Ended  time.Time
	// Endpoint is the owner of the flow, empty if the flow never opened.
	Endpoint string
	Agent    int
	Err      error
}

// FaultWindow is the time during which a fault was injected into a part of the
// system.
type FaultWindow struct {
	From, Until time.Time
}

// covers reports whether at is in the window or at most faultAftermath after it.
func (w FaultWindow) covers(at time.Time) bool {
	return !at.Before(w.From) && at.Before(w.Until.Add(faultAftermath))
}

// Evacuation is the time during which operators had evacuated a failure domain.
type Evacuation struct {
	Zone string
	FaultWindow
}

// Record holds the injected faults.
type Record struct {
	// Agents holds the unplanned faults of each agent or its endpoint.
	Agents map[int][]FaultWindow
	// Balancers holds the unplanned faults of all balancers.
	Balancers []FaultWindow
	Store     []FaultWindow
	// Evacuations are those of all failure domains, Restores the times at which the store came
	// back from an older copy.
	Evacuations []Evacuation
	Restores    []time.Time
	// EndedAt is when an endpoint ended or began to drain.
	EndedAt map[string]time.Time
}

// CheckReset checks a flow that was reset. A reset is a violation if the flow's
// endpoint was alive and neither its machine nor any balancer had a fault.
func (r *Record) CheckReset(f Flow) error {
	if !errors.Is(f.Err, fake.ErrReset) {
		return nil
	}
	if end, ok := r.EndedAt[f.Endpoint]; ok && !f.Ended.Before(end) {
		return nil
	}
	if inFaultWindow(r.Agents[f.Agent], f.Ended) || inFaultWindow(r.Balancers, f.Ended) {
		return nil
	}
	return fmt.Errorf("flow of endpoint %s was reset although the endpoint was alive and no fault was injected", f.Endpoint)
}

func inFaultWindow(list []FaultWindow, at time.Time) bool {
	for _, w := range list {
		if w.covers(at) {
			return true
		}
	}
	return false
}

// CheckRoute checks the result of opening a flow to a route that was added or
// dropped at the time changed. present tells which of the two.
func (r *Record) CheckRoute(present bool, changed, at time.Time, err error) error {
	if at.Before(changed.Add(planTimeout)) || inFaultWindow(r.Store, at) || inFaultWindow(r.Balancers, at) {
		return nil
	}
	switch {
	case present && errors.Is(err, fake.ErrRefused) && r.allEvacuated(at):
		return nil
	case present && errors.Is(err, fake.ErrRefused):
		return fmt.Errorf("route added %s ago refuses flows", at.Sub(changed))
	case !present && err == nil:
		return fmt.Errorf("route dropped %s ago still serves flows", at.Sub(changed))
	default:
		return nil
	}
}

// EvacuatedAt reports whether a failure domain that was evacuated at the time from may get no new
// flow at the time at. A fault of the store in between delays the evacuation.
func (r *Record) EvacuatedAt(from, at time.Time) bool {
	if at.Before(from.Add(evacuationTimeout)) {
		return false
	}
	for _, w := range r.Store {
		if w.From.Before(at) && w.Until.Add(faultAftermath).After(from) {
			return false
		}
	}
	return true
}

// allEvacuated reports whether every failure domain may be evacuated. An evacuation stays in force
// if the store has come back from a copy without its withdrawal, until operators repeat that.
func (r *Record) allEvacuated(at time.Time) bool {
	zones := map[string]bool{}
	for _, e := range r.Evacuations {
		restored := slices.ContainsFunc(r.Restores, func(t time.Time) bool {
			return t.After(e.From) && t.Before(at)
		})
		if !at.Before(e.From) && (restored || e.covers(at)) {
			zones[e.Zone] = true
		}
	}
	return len(zones) == fake.Zones
}

// CheckRunCount checks how often a request ran that was sent on one flow.
func CheckRunCount(id string, runs int) error {
	if runs > 1 {
		return fmt.Errorf("request %s ran %d times", id, runs)
	}
	return nil
}

// CheckRecovery checks the requests that were sent after the last fault.
func CheckRecovery(served, asked int) error {
	if asked > 0 && float64(served) < minServedShare*float64(asked) {
		return fmt.Errorf("after the last fault %d of %d requests were served", served, asked)
	}
	return nil
}
