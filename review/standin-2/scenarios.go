package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/clementinewing/clementinewing/platform/fake"
)

const (
	warmUp = 6 * time.Second
	// rollInterval is the time between two planned stops.
	rollInterval = 2 * time.Second
	// slowFactor and slowDuration are the dose of the disruption, calmWindow is longer than
	// stableWindowMs.
	slowFactor   = 5
	slowDuration = 6500 * time.Millisecond
	calmWindow   = 5 * time.Second
	// callers open flows, with pauses of up to maxPauseMS.
	callers    = 6
	maxPauseMS = 60
	// maxOwnEnds is how often a process may end by itself in a day on a tenth of the machines,
	// and minMachines the least number of machines that counts.
	maxOwnEnds  = 3
	minMachines = 2
)

// endedTooOften reports whether processes have ended by themselves too often on too many machines.
func (d *deployment) endedTooOften() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	count := 0
	for _, p := range d.processes {
		if p.ended >= maxOwnEnds {
			count++
		}
	}
	d.noteLocked("machines whose process ended by itself %d times or more: %d of %d", maxOwnEnds, count, len(d.processes))
	return count >= minMachines && 10*count >= len(d.processes)
}

// playSettings changes bounds.graceS to a fraction on two thirds of the machines, with SIGHUP, and
// then stops all processes in turn.
func playSettings(d *deployment, trouble bool) (broken bool, err error) {
	t, err := d.startTraffic()
	if err != nil {
		return false, err
	}
	if err = d.awaitReady(); err != nil {
		return false, err
	}
	for i, p := range d.processes {
		if i%3 == 2 {
			continue
		}
		grace := "6"
		if trouble {
			grace = "4.5"
		}
		d.note("settings of %s %s change: bounds.graceS = %s", p.role, p.address, grace)
		d.change(p, "bounds.graceS", grace)
	}
	time.Sleep(rollInterval)
	for _, p := range d.processes {
		d.note("planned stop of %s %s", p.role, p.address)
		d.stop(p)
		time.Sleep(rollInterval)
	}
	time.Sleep(2 * warmUp)
	t.end(d)
	return d.endedTooOften(), nil
}

// playSlow makes all endpoints slow for some seconds while callers open flows and send a request on
// each. They send the next request when the endpoints have been well for longer than the window of
// the rule.
func playSlow(d *deployment, trouble bool) (broken bool, err error) {
	if err = d.awaitReady(); err != nil {
		return false, err
	}
	d.setSlowness(trouble, slowFactor)
	end := time.Now().Add(slowDuration)
	o := &openFlows{}
	for c := range callers {
		caller, err := fake.NewCaller(d.net.Caller(c), uint64(c+1), d.account, d.inRotation)
		if err != nil {
			return false, err
		}
		defer func() { _ = caller.Close() }()
		o.group.Go(func() { o.openUntil(d, caller, c, end) })
	}
	o.group.Wait()
	d.setSlowness(trouble, 1)
	time.Sleep(calmWindow)
	for n, f := range o.list {
		o.group.Go(func() { o.use(d, f, n) })
	}
	o.group.Wait()
	d.note("flows that answered their first request: %d; reset although their endpoint holds them: %d", len(o.list), o.resets)
	return o.resets > 0, nil
}

// openFlows are flows on which a request was answered.
type openFlows struct {
	group  sync.WaitGroup
	mutex  sync.Mutex
	list   []openFlow
	resets int
}

// openFlow is a flow and the request that was answered on it.
type openFlow struct {
	*fake.Flow
	request string
}

// openUntil opens flows one after the other and sends a request on each.
func (o *openFlows) openUntil(d *deployment, caller *fake.Caller, c int, end time.Time) {
	for n := 0; time.Now().Before(end); n++ {
		f, err := caller.Open(d.route().Target)
		request := fmt.Sprintf("first-%d-%d", c, n)
		if err == nil {
			d.note("caller %d: flow open, %s sent", c, request)
			err = f.Do(request, service, requestDeadline)
		}
		if err != nil {
			d.note("caller %d: %s: %v", c, request, err)
		} else {
			d.note("caller %d: %s answered by endpoint %s", c, request, f.Endpoint)
			o.mutex.Lock()
			o.list = append(o.list, openFlow{
				Flow:    f,
				request: request,
			})
			o.mutex.Unlock()
		}
		time.Sleep(time.Duration(rand.IntN(maxPauseMS)) * time.Millisecond)
	}
}

// use sends a second request on a flow. A reset counts if the endpoint still holds the flow.
func (o *openFlows) use(d *deployment, f openFlow, n int) {
	endpoint, request := f.Endpoint, fmt.Sprintf("second-%d", n)
	d.note("%s sent on the flow of %s", request, f.request)
	err := f.Do(request, service, requestDeadline)
	switch {
	case err == nil:
		d.note("%s answered by endpoint %s", request, f.Endpoint)
	case errors.Is(err, fake.ErrReset) && d.holds(endpoint, f.request):
		d.note("%s: RESET; endpoint %s holds the flow of %s and sent no reset", request, endpoint, f.request)
		o.mutex.Lock()
		o.resets++
		o.mutex.Unlock()
	default:
		d.note("%s: %v", request, err)
	}
}

// setSlowness makes all endpoints slow if there is to be trouble.
func (d *deployment) setSlowness(trouble bool, x int) {
	if !trouble {
		return
	}
	d.note("endpoints take %d times as long", x)
	for _, s := range d.endpoints {
		s.setSlowness(x)
	}
}
