// Package judge decides what a soak run has shown, from what callers saw and what
// was done to the system.
package judge

import (
	"errors"
	"fmt"
	"time"

	"github.com/clementinewing/clementinewing/platform/fake"
)

const (
	// settle is how long after a fault on a machine its flows may suffer.
	settle = 4 * time.Second
	// planIn is how long a plan may take to be in force everywhere while the
	// store answers.
	planIn = 3 * time.Second
	// servedLeast is the share of requests to be served after the last fault.
	servedLeast = 0.9
)

// Flow is what a caller saw of one flow.
type Flow struct {
	Opened time.Time
	Ended  time.Time
	// Endpoint owned the flow, if it opened.
	Endpoint string
	Side     int
	Err      error
}

// Harm is a time during which something was done to a part of the system.
type Harm struct {
	From, Until time.Time
}

// touches tells whether the harm was on within settle before at.
func (h Harm) touches(at time.Time) bool {
	return !at.Before(h.From) && at.Before(h.Until.Add(settle))
}

// Record is everything that was done, kept by the injector.
type Record struct {
	// Sides holds unplanned harm to a side process or its endpoint.
	Sides map[int][]Harm
	// Balancers holds unplanned harm to any balancer.
	Balancers []Harm
	Store     []Harm
	// Ended is when an endpoint ended or said that it leaves.
	Ended map[string]time.Time
}

// Reset judges a flow that was reset. A reset breaks the promise if its endpoint
// lived and neither its machine nor a balancer was harmed.
func (r *Record) Reset(f Flow) error {
	if !errors.Is(f.Err, fake.ErrReset) {
		return nil
	}
	if end, ok := r.Ended[f.Endpoint]; ok && !f.Ended.Before(end) {
		return nil
	}
	if harmed(r.Sides[f.Side], f.Ended) || harmed(r.Balancers, f.Ended) {
		return nil
	}
	return fmt.Errorf("flow of endpoint %s was reset while it lived and nothing had harmed it", f.Endpoint)
}

func harmed(list []Harm, at time.Time) bool {
	for _, h := range list {
		if h.touches(at) {
			return true
		}
	}
	return false
}

// Route judges an opening to a route that was added or dropped at changed.
func (r *Record) Route(there bool, changed, at time.Time, err error) error {
	if at.Before(changed.Add(planIn)) || harmed(r.Store, at) || harmed(r.Balancers, at) {
		return nil
	}
	switch {
	case there && errors.Is(err, fake.ErrRefused):
		return fmt.Errorf("a route that was added %s ago is refused", at.Sub(changed))
	case !there && err == nil:
		return fmt.Errorf("a route that was dropped %s ago is served", at.Sub(changed))
	default:
		return nil
	}
}

// Runs judges how often a request ran that was sent on one flow.
func Runs(id string, runs int) error {
	if runs > 1 {
		return fmt.Errorf("request %s ran %d times", id, runs)
	}
	return nil
}

// Recovered judges the requests that were sent after the last fault.
func Recovered(served, asked int) error {
	if asked > 0 && float64(served) < servedLeast*float64(asked) {
		return fmt.Errorf("after the last fault %d of %d requests were served", served, asked)
	}
	return nil
}
