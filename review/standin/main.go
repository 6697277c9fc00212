// Command standin plays one case of the review: it starts the project's programs as
// separate processes on loopback, with stand-ins of the platform's store, endpoints,
// routers and requesters as PROTOCOL.md describes them, and checks one rule.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	serviceName = "dienstplan"
	// startTime is how long the machines run before traffic starts.
	startTime = 6 * time.Second
	// firstReportDelay is how long after its start an endpoint sends its first report;
	// the endpoints of the users' bench take up to 0.2 s.
	firstReportDelay = 200 * time.Millisecond

	balancerCount = 3
	endpointCount = 3
	callerCount   = 4
)

var target = netip.MustParseAddrPort("198.18.0.1:8443")

// trial is one run of a case.
type trial struct {
	fleet   *fleet
	rec     *record
	trouble bool
	mutex   sync.Mutex
	boots   []*boot
}

var cases = map[string]func(*trial) error{
	"early-flows":   earlyFlows,
	"clock-restart": clockRestart,
	"clock-drain":   clockDrain,
	"roll-and-add":  rollAndAdd,
	"late-write":    lateWrite,
}

// plannedCases are cases without unplanned disruptions: restarts of processes excuse
// nothing there.
var plannedCases = map[string]bool{"roll-and-add": true, "late-write": true}

func main() {
	name := flag.String("case", "", "name of the case")
	folder := flag.String("folder", ".", "folder for record.txt")
	binary := flag.String("binary", "target/cwnode", "program under test")
	keep := flag.Bool("keep", false, "keep the logs of the processes")
	flag.Parse()
	os.Exit(play(*name, *folder, *binary, *keep))
}

func play(name, folder, binary string, keep bool) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return 2
	}
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	t := &trial{rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	rec.add("case %s, disruption: %t", name, t.trouble)
	t.fleet, err = newFleet(rec, binary, config(), balancerCount, callerCount)
	if err == nil {
		t.fleet.planned = plannedCases[name]
		err = t.startAll()
		if err == nil {
			err = run(t)
		}
		t.fleet.close(keep)
		if keep {
			fmt.Println("logs:", t.fleet.folder)
		}
	}
	switch {
	case err != nil:
		rec.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case rec.brokenRules() > 0:
		rec.add("result: broken %d times", rec.brokenRules())
		return 1
	default:
		rec.add("result: the rule held")
		return 0
	}
}

// config is the operator's config: one route, as fleetbench wire shows it.
func config() []byte {
	return fmt.Appendf(nil, `{"version":7,"routes":[{"name":"r-1","host":"%s","prefix":"/%d/","kind":"safe","timeoutMs":2500,"targetLatencyMs":250,"priority":2,"service":%q,"attempts":2}],`+
		`"services":[{"name":%q,"healthPath":"/health","maxConns":2000,"protocol":"h1","tls":false}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`,
		target.Addr(), target.Port(), serviceName, serviceName)
}

// startAll starts all machines and waits until traffic may start.
func (t *trial) startAll() error {
	for _, a := range t.fleet.balancers {
		if err := t.fleet.startNode(a, "", true); err != nil {
			return err
		}
	}
	for i := range endpointCount {
		if err := t.fleet.startNode(t.fleet.sideAddr(i), serviceName, true); err != nil {
			return err
		}
		b, err := t.fleet.startEndpoint(i, fmt.Sprintf("i-%d-1", i), serviceName, firstReportDelay, 0)
		if err != nil {
			return err
		}
		t.boots = append(t.boots, b)
	}
	time.Sleep(startTime)
	if n := t.fleet.fabric.inRotation(); n != balancerCount {
		return fmt.Errorf("%d of %d balancers are in rotation", n, balancerCount)
	}
	return nil
}

// openFlows opens flows from all requesters at the same time, one after the other on each,
// and makes one request on each flow.
func (t *trial) openFlows(perCaller int, gap time.Duration) (list []*callerFlow) {
	var mutex sync.Mutex
	var group sync.WaitGroup
	for _, c := range t.fleet.callers {
		group.Go(func() {
			for range perCaller {
				f, err := c.connect(target)
				if err != nil {
					t.rec.add("a requester opens no flow: %v", err)
					continue
				}
				if t.use(f) == nil {
					mutex.Lock()
					list = append(list, f)
					mutex.Unlock()
				}
				time.Sleep(gap)
			}
		})
	}
	group.Wait()
	return list
}

// use makes one request on an open flow and judges a reset.
func (t *trial) use(f *callerFlow) error {
	idle := time.Since(f.usedAt)
	err := f.request()
	if err == errReset {
		t.fleet.judgeReset(f, idle)
	}
	return err
}

// useAll makes one request on each flow, all at the same time.
func (t *trial) useAll(list []*callerFlow) (answered int) {
	var mutex sync.Mutex
	var group sync.WaitGroup
	for _, f := range list {
		group.Go(func() {
			if t.use(f) == nil {
				mutex.Lock()
				answered++
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	return answered
}

// restartEndpoint crashes an endpoint and starts it again on the same machine.
func (t *trial) restartEndpoint(i int, old *boot, id string, down, clockAhead time.Duration) (*boot, error) {
	old.end("crashes")
	time.Sleep(down)
	t.fleet.disturb(i)
	return t.fleet.startEndpoint(i, id, serviceName, firstReportDelay, clockAhead)
}

// idleTime is the pause of the requesters on an open flow: longer than stableWindowMs, well
// within idleTimeoutMs.
const idleTime = 5500 * time.Millisecond

// earlyFlows: an endpoint crashes and is back after 0.3 s. Requesters open flows to it
// before its first report, make a request, pause and make another one.
func earlyFlows(t *trial) error {
	before := t.openFlows(3, 0)
	if len(before) == 0 {
		return fmt.Errorf("no flow was answered before the disruption")
	}
	time.Sleep(time.Second)
	if t.trouble {
		if _, err := t.restartEndpoint(0, t.boots[0], "i-0-2", 300*time.Millisecond, 0); err != nil {
			return err
		}
	}
	time.Sleep(20 * time.Millisecond)
	flows := t.openFlows(6, 5*time.Millisecond)
	t.rec.add("%d flows are open and have been answered", len(flows))
	time.Sleep(idleTime)
	t.rec.add("%d of %d flows are answered after the pause", t.useAll(flows), len(flows))
	return nil
}

// clockRestart: an endpoint is added on a machine whose clock is ahead. The clock jumps
// back, then the agent beside the endpoint is restarted as planned work.
func clockRestart(t *trial) error {
	ahead := time.Duration(0)
	if t.trouble {
		ahead = clockJump
	}
	added := t.fleet.sideAddr(endpointCount)
	if err := t.addEndpoint(endpointCount, ahead); err != nil {
		return err
	}
	time.Sleep(350 * time.Millisecond)
	flows := t.openFlows(8, 5*time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	t.rec.add("the clock of %s is right again", added)
	t.fleet.disturb(endpointCount)
	t.fleet.terminate(added)
	time.Sleep(restartDelay)
	if err := t.fleet.startNode(added, serviceName, false); err != nil {
		return err
	}
	time.Sleep(idleTime)
	t.rec.add("%d of %d flows are answered after the pause", t.useAll(flows), len(flows))
	return nil
}

// clockJump is how far a clock is ahead: clock_step of kellenplan-by has x = 2400.
const clockJump = 2400 * time.Millisecond

// addEndpoint adds a machine with an agent and an endpoint, whose clock is ahead.
func (t *trial) addEndpoint(i int, clockAhead time.Duration) error {
	a := t.fleet.sideAddr(i)
	if err := t.fleet.startNode(a, serviceName, false); err != nil {
		return err
	}
	time.Sleep(900 * time.Millisecond)
	if clockAhead > 0 {
		t.rec.add("the clock of %s is ahead by %s", a, clockAhead)
	}
	b, err := t.fleet.startEndpoint(i, fmt.Sprintf("i-%d-1", i), serviceName, 20*time.Millisecond, clockAhead)
	t.mutex.Lock()
	t.boots = append(t.boots, b)
	t.mutex.Unlock()
	return err
}

// clockDrain: an endpoint is added on a machine whose clock is ahead. The clock jumps
// back; the endpoint crashes and starts again. Later it drains.
func clockDrain(t *trial) error {
	ahead := time.Duration(0)
	if t.trouble {
		ahead = clockJump
	}
	if err := t.addEndpoint(endpointCount, ahead); err != nil {
		return err
	}
	b := t.boots[endpointCount]
	time.Sleep(700 * time.Millisecond)
	t.fleet.disturb(endpointCount)
	if t.trouble {
		t.rec.add("the clock of %s is right again", t.fleet.sideAddr(endpointCount))
		time.Sleep(300 * time.Millisecond)
		var err error
		if b, err = t.restartEndpoint(endpointCount, b, fmt.Sprintf("i-%d-2", endpointCount), 300*time.Millisecond, 0); err != nil {
			return err
		}
	}
	time.Sleep(stableWindow + 2*time.Second)
	b.drain()
	end := time.Now().Add(drainBound + 4*time.Second)
	for time.Now().Before(end) {
		for _, f := range t.openFlows(1, 0) {
			f.end()
		}
		time.Sleep(50 * time.Millisecond)
	}
	b.mutex.Lock()
	late, acked := b.lateOpenings, !b.drainAckedAt.IsZero()
	b.mutex.Unlock()
	if !acked {
		return fmt.Errorf("the drain of %s was not acknowledged", b.id)
	}
	if late > 0 {
		t.rec.breakRule("DRAIN", "%d openings reached %s later than %s after its drain was acknowledged", late, b.id, drainBound)
	}
	b.leave()
	return nil
}

const (
	rolls          = 4
	addedPerRoll   = 1
	steadyFlows    = 40
	steadyInterval = 400 * time.Millisecond
	flowRequests   = 8
	// phaseStep shifts a restart of the balancers against the 250 ms after which an agent
	// reports again.
	phaseStep = 65 * time.Millisecond
)

// rollAndAdd: planned work only. All balancers are restarted at the same time, and
// endpoints are added while the balancers drain. Requesters keep using their flows.
func rollAndAdd(t *trial) error {
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, c := range t.fleet.callers {
		for range steadyFlows {
			group.Go(func() { t.keepUsing(c, stop) })
		}
	}
	var err error
	for r := range rolls {
		time.Sleep(time.Second)
		if err = t.rollBalancers(endpointCount+r*addedPerRoll, addedPerRoll, time.Duration(r)*phaseStep, t.trouble); err != nil {
			break
		}
		time.Sleep(time.Second)
	}
	close(stop)
	group.Wait()
	return err
}

// rollBalancers adds endpoints after a delay and, if restart is set, restarts all balancers
// meanwhile.
func (t *trial) rollBalancers(firstAdded, added int, delay time.Duration, restart bool) (err error) {
	var group sync.WaitGroup
	errs := make(chan error, balancerCount+added)
	for i := range added {
		group.Go(func() {
			time.Sleep(500*time.Millisecond + delay)
			errs <- t.addEndpoint(firstAdded+i, 0)
		})
	}
	if restart {
		for _, a := range t.fleet.balancers {
			group.Go(func() {
				t.fleet.terminate(a)
				time.Sleep(restartDelay)
				errs <- t.fleet.startNode(a, "", false)
			})
		}
	}
	group.Wait()
	close(errs)
	for e := range errs {
		if e != nil {
			err = e
		}
	}
	return err
}

// keepUsing uses one flow after the other until stop is closed. A flow ends after some
// requests, so that new endpoints get flows too.
func (t *trial) keepUsing(c *caller, stop <-chan struct{}) {
	for {
		f, err := c.connect(target)
		for n := 0; err == nil && n < flowRequests; n++ {
			select {
			case <-stop:
				f.end()
				return
			case <-time.After(rand.N(2 * steadyInterval)):
			}
			err = t.use(f)
		}
		if err == nil {
			f.end()
		}
		select {
		case <-stop:
			return
		case <-time.After(steadyInterval):
		}
	}
}

const (
	lateWrites = 2
	// lateWriteDelay is how much later a write without an answer is done; fleetbench kinds
	// has 1 to 6 s.
	lateWriteDelay = 5500 * time.Millisecond
	// membersKey is the key of the system's record of its members.
	membersKey = "fleet/members"
)

// lateWrite: the store does not answer one write and does it seconds later, after newer
// ones. When that is over for longer than stableWindowMs, all balancers are restarted at
// the same time as planned work.
func lateWrite(t *trial) error {
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, c := range t.fleet.callers {
		for range 2 * steadyFlows {
			group.Go(func() { t.keepUsing(c, stop) })
		}
	}
	var err error
	for r := range lateWrites {
		if err = t.loseOneWrite(endpointCount + 2*r); err != nil {
			break
		}
		time.Sleep(time.Duration(r+2) * phaseStep)
		if err = t.rollBalancers(0, 0, 0, true); err != nil {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	close(stop)
	group.Wait()
	return err
}

// loseOneWrite adds two endpoints, one after the other. The first write of the member
// record gets no answer and is done late. Then it waits until the store has been calm for
// longer than stableWindowMs.
func (t *trial) loseOneWrite(firstAdded int) error {
	lost := false
	late := make(chan struct{})
	if t.trouble {
		t.fleet.store.setLoseWrite(func(keys []string) time.Duration {
			if lost || len(keys) != 1 || keys[0] != membersKey {
				t.rec.add("the store answers a write of %v", keys)
				return 0
			}
			lost = true
			t.rec.add("the store does not answer a write of %v; it is done %s later", keys, lateWriteDelay)
			time.AfterFunc(lateWriteDelay+100*time.Millisecond, func() { close(late) })
			return lateWriteDelay
		})
	}
	for i := range 2 {
		if err := t.addEndpoint(firstAdded+i, 0); err != nil {
			return err
		}
		time.Sleep(2 * time.Second)
	}
	t.rec.add("the store's member record: %s", t.fleet.store.get(membersKey))
	if t.trouble {
		select {
		case <-late:
		case <-time.After(2 * lateWriteDelay):
			return fmt.Errorf("the member record was not written")
		}
		t.fleet.store.setLoseWrite(nil)
		t.rec.add("the store is sound again; its member record: %s", t.fleet.store.get(membersKey))
	}
	time.Sleep(stableWindow + 500*time.Millisecond)
	return nil
}
