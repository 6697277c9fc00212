package main

import (
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/clementinewing/clementinewing/platform/fake"
)

// The cases of endpoints that are back at once: after a crash when the whole system has been started
// again, after a crash alone, and after planned restarts in place.
const (
	balancerCount = 2
	callerCount   = 48
	slots         = 4
	requestWork   = 10 * time.Millisecond
	// settleTime is how long the deployment runs before anything is judged, calmTime how long
	// the callers are watched before the final fault.
	settleTime = 4 * time.Second
	calmTime   = 5 * time.Second
	// crashDelay is the time from the return of the system's processes to the crash of the
	// endpoints, awayTime how long an endpoint is away.
	crashDelay = 3 * time.Second
	awayTime   = 2 * time.Second
	// drainTime is how long an endpoint goes on serving after its drain report was acknowledged: a
	// little longer than the bound drainMs. restartPause is the time from its end to its next
	// start, nextPause the time until the next endpoint is restarted.
	drainTime    = 3200 * time.Millisecond
	restartPause = 20 * time.Millisecond
	nextPause    = 300 * time.Millisecond
	// recoveryTime is the bound recoveryS of the pages, watchTime how long callers are then
	// watched.
	recoveryTime = 12 * time.Second
	watchTime    = 10 * time.Second
)

// machines are the services of the endpoints, one on each machine.
var machines = []string{"dienstplan", "dienstplan", "dienstplan", "blattdruck"}

var targets = map[string]netip.AddrPort{
	"dienstplan": netip.MustParseAddrPort("198.18.0.1:443"),
	"blattdruck": netip.MustParseAddrPort("198.18.0.1:8443"),
}

func config(version int) []byte {
	return fake.Config(version,
		fake.Route{
			Target:  targets["dienstplan"],
			Service: "dienstplan",
		},
		fake.Route{
			Target:  targets["blattdruck"],
			Service: "blattdruck",
		},
	)
}

// endpoints are the endpoints of a deployment, by machine.
type endpoints struct {
	deployment *deployment
	list       []*fake.Endpoint
}

// start starts the next incarnation of a machine's endpoint, under the id that it had.
func (e *endpoints) start(machine int) error {
	x := e.deployment.net.Endpoint(machine, fmt.Sprintf("i-%d", machine), machines[machine],
		time.Now().UnixMilli(), e.deployment.account)
	x.DrainFor = drainTime
	x.Slots = slots
	x.Work = requestWork
	x.NoNewAfter = time.Hour
	if err := x.Start(); err != nil {
		return err
	}
	e.list[machine] = x
	e.deployment.record.note("endpoint %s of %s started", x.ID, x.Service)
	return nil
}

// crash ends all endpoints without notice. Each is started again after awayTime.
func (e *endpoints) crash() {
	var w sync.WaitGroup
	for machine, x := range e.list {
		w.Go(func() {
			x.Crash()
			e.deployment.record.note("endpoint %s crashed", x.ID)
			time.Sleep(awayTime)
			if err := e.start(machine); err != nil {
				e.deployment.record.note("endpoint on machine %d: %v", machine, err)
			}
		})
	}
	w.Wait()
}

// restart restarts the endpoints one after the other, as planned work.
func (e *endpoints) restart() error {
	for machine, x := range e.list {
		x.Shutdown()
		e.deployment.record.note("endpoint %s of %s stopped, drain acknowledged: %t", x.ID, x.Service, x.DrainAcknowledged())
		time.Sleep(restartPause)
		if err := e.start(machine); err != nil {
			return err
		}
		time.Sleep(nextPause)
	}
	return nil
}

func (e *endpoints) stop() {
	for _, x := range e.list {
		if x != nil {
			x.Crash()
		}
	}
}

// startAll starts a deployment with its endpoints and callers.
func startAll(r run) (d *deployment, e *endpoints, t *traffic, err error) {
	if d, err = newDeployment(r.binary, r.folder, r.record); err != nil {
		return nil, nil, nil, err
	}
	e = &endpoints{
		deployment: d,
		list:       make([]*fake.Endpoint, len(machines)),
	}
	d.store.Put("op/config", config(1))
	err = d.startBalancers(balancerCount)
	for i, service := range machines {
		if err == nil {
			err = e.start(i)
		}
		if err == nil {
			err = d.startProcess(d.net.Agent(i), i, service)
		}
	}
	if err == nil {
		time.Sleep(settleTime)
		t, err = startTraffic(d, callerCount, targets, machines)
	}
	if err != nil {
		e.stop()
		d.close()
	}
	return d, e, t, err
}

// endpointsBackAtOnce plays the crash after the final fault.
func endpointsBackAtOnce(r run) (err error) {
	d, e, t, err := startAll(r)
	if err != nil {
		return err
	}
	defer d.close()
	defer e.stop()
	calmFrom := time.Now()
	time.Sleep(calmTime)
	calmUntil := time.Now()
	backAt := finalFault(r, d, e)
	time.Sleep(time.Until(backAt.Add(recoveryTime + watchTime)))
	t.stop()
	return judgeRecovery(r, t, calmFrom, calmUntil, backAt)
}

// endpointsCrash plays the crash without the final fault.
func endpointsCrash(r run) (err error) {
	d, e, t, err := startAll(r)
	if err != nil {
		return err
	}
	defer d.close()
	defer e.stop()
	calmFrom := time.Now()
	time.Sleep(calmTime)
	calmUntil := time.Now()
	if r.trouble {
		e.crash()
	}
	backAt := time.Now()
	time.Sleep(time.Until(backAt.Add(recoveryTime + watchTime)))
	t.stop()
	return judgeRecovery(r, t, calmFrom, calmUntil, backAt)
}

// endpointsRestartedInPlace plays the planned restarts.
func endpointsRestartedInPlace(r run) (err error) {
	d, e, t, err := startAll(r)
	if err != nil {
		return err
	}
	defer d.close()
	defer e.stop()
	calmFrom := time.Now()
	time.Sleep(calmTime)
	calmUntil := time.Now()
	if r.trouble {
		if err = e.restart(); err != nil {
			return err
		}
	}
	backAt := time.Now()
	time.Sleep(time.Until(backAt.Add(recoveryTime + watchTime)))
	t.stop()
	return judgeRecovery(r, t, calmFrom, calmUntil, backAt)
}

// finalFault kills all processes of the system right after a change of the configuration was
// acknowledged, and lets the endpoints crash once the processes are back. It returns when the
// processes are back.
func finalFault(r run, d *deployment, e *endpoints) (backAt time.Time) {
	d.store.Put("op/config", config(2))
	if !r.trouble {
		return time.Now().Add(restartDelay)
	}
	r.record.note("final fault: all processes of the system are killed")
	d.signal(syscall.SIGKILL, func(*process) bool { return true })
	backAt = time.Now().Add(restartDelay)
	time.Sleep(time.Until(backAt))
	r.record.note("the processes are back")
	time.Sleep(crashDelay)
	e.crash()
	return backAt
}

// judgeRecovery checks rule RECOVER.
func judgeRecovery(r run, t *traffic, calmFrom, calmUntil, backAt time.Time) error {
	before, servedBefore := t.served(calmFrom, calmUntil)
	from := backAt.Add(recoveryTime)
	after, served := t.served(from, from.Add(watchTime-requestDeadline))
	r.record.note("before the disruption: %d of %d requests served; later than %s after its end: %d of %d",
		servedBefore, before, recoveryTime, served, after)
	fmt.Printf("before: %d of %d served; after: %d of %d served\n", servedBefore, before, served, after)
	if 4*servedBefore < before || before == 0 || after == 0 {
		return fmt.Errorf("only %d of %d requests were served before the disruption", servedBefore, before)
	}
	if 4*served < after {
		return fmt.Errorf("%w: RECOVER: %d of %d requests served", errBroken, served, after)
	}
	return nil
}
