package main

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/clementinewing/clementinewing/internal/soak/fleet"
	"github.com/clementinewing/clementinewing/internal/soak/verify"
	"github.com/clementinewing/clementinewing/platform/fake"
)

const (
	callers        = 12
	requestPause   = 60 * time.Millisecond
	requestTimeout = 3 * time.Second
	// recoveryTimeout is how long after the last fault requests may still fail.
	recoveryTimeout = 4 * time.Second
	// probeInterval is the pause between two flows to the changing route.
	probeInterval = 250 * time.Millisecond
)

var (
	rota           = netip.MustParseAddrPort("198.18.0.1:443")
	sheets         = netip.MustParseAddrPort("198.18.0.1:8443")
	changingTarget = netip.MustParseAddrPort("198.18.0.7:80")
)

// config returns the plan with or without the changing route.
func config(version int, with bool) []byte {
	routes := []fake.Route{
		{Target: rota, Service: "rota"},
		{Target: sheets, Service: "sheets"},
	}
	if with {
		routes = append(routes, fake.Route{Target: changingTarget, Service: "sheets"})
	}
	return fake.Config(version, routes...)
}

// traffic runs the callers and records what they observed.
type traffic struct {
	fleet            *fleet.Fleet
	mutex            sync.Mutex
	ids              []string
	flows            []verify.Flow
	served           int
	refused          int
	afterFaults      struct{ asked, served int }
	recoveryDeadline time.Time
	version          int
	routePresent     bool
	routeChangedAt   time.Time
	closing          chan struct{}
	group            sync.WaitGroup
}

func newTraffic(f *fleet.Fleet, seed uint64) *traffic {
	t := &traffic{
		fleet:          f,
		version:        1,
		routeChangedAt: time.Now(),
		closing:        make(chan struct{}),
	}
	for i := range callers {
		c, err := fake.NewCaller(f.Net.Caller(i), seed*callers+uint64(i), f.Account, f.ReadyBalancers)
		if err != nil {
			f.Account.RecordViolation("cannot start caller: %v", err)
			continue
		}
		t.group.Go(func() { t.runCaller(c, i) })
	}
	return t
}

// putPlan puts a plan with or without the changing route into the store.
func (t *traffic) putPlan(with bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.version++
	if with != t.routePresent {
		t.routePresent = with
		t.routeChangedAt = time.Now()
	}
	t.fleet.Store.Put("op/config", config(t.version, with))
}

// endFaults is called after the last fault.
func (t *traffic) endFaults() {
	t.mutex.Lock()
	t.recoveryDeadline = time.Now().Add(recoveryTimeout)
	t.mutex.Unlock()
}

// runCaller runs one caller: the first probes the changing route, the others open
// one flow for many requests or one for each request.
func (t *traffic) runCaller(c *fake.Caller, i int) {
	defer func() { _ = c.Close() }()
	for n := 0; !t.stopped(); n++ {
		switch {
		case i == 0:
			t.probeRoute(c)
		case i%2 == 0:
			t.runFlow(c, fmt.Sprintf("s-%d-%d", i, n), rota, "rota", 1)
		default:
			t.runFlow(c, fmt.Sprintf("l-%d-%d", i, n), sheets, "sheets", 200)
		}
	}
}

func (t *traffic) stopped() bool {
	select {
	case <-t.closing:
		return true
	default:
		return false
	}
}

func (t *traffic) probeRoute(c *fake.Caller) {
	t.mutex.Lock()
	present, since := t.routePresent, t.routeChangedAt
	t.mutex.Unlock()
	asked := time.Now()
	f, err := c.Open(changingTarget)
	if err == nil {
		f.Close()
	}
	t.mutex.Lock()
	same := t.routePresent == present && t.routeChangedAt.Equal(since)
	t.mutex.Unlock()
	if same {
		t.fleet.Check(func(r *verify.Record) error {
			return r.CheckRoute(present, since, asked, err)
		})
	}
	time.Sleep(probeInterval)
}

// runFlow opens a flow and sends requests on it, at most the given number.
func (t *traffic) runFlow(c *fake.Caller, id string, target netip.AddrPort, service string, requests int) {
	asked := time.Now()
	f, err := c.Open(target)
	if err != nil {
		t.recordResult(asked, err)
		time.Sleep(requestPause)
		return
	}
	defer f.Close()
	for n := 0; n < requests && err == nil && !t.stopped(); n++ {
		asked = time.Now()
		requestID := fmt.Sprintf("%s-%d", id, n)
		t.mutex.Lock()
		t.ids = append(t.ids, requestID)
		t.mutex.Unlock()
		err = f.Do(requestID, service, requestTimeout)
		t.recordResult(asked, err)
		time.Sleep(requestPause)
	}
	if f.Endpoint == "" {
		return
	}
	t.mutex.Lock()
	t.flows = append(t.flows, verify.Flow{
		Ended:    time.Now(),
		Endpoint: f.Endpoint,
		Agent:    agentNumber(f.Endpoint),
		Err:      err,
	})
	t.mutex.Unlock()
}

// agentNumber returns the machine number in an endpoint's id, e-MACHINE-INCARNATION.
func agentNumber(id string) int {
	parts := strings.Split(id, "-")
	n, err := strconv.Atoi(parts[1])
	if err != nil {
		return -1
	}
	return n
}

func (t *traffic) recordResult(asked time.Time, err error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if err == nil {
		t.served++
	}
	if errors.Is(err, fake.ErrRefused) {
		t.refused++
	}
	if !t.recoveryDeadline.IsZero() && asked.After(t.recoveryDeadline) {
		t.afterFaults.asked++
		if err == nil {
			t.afterFaults.served++
		}
	}
}

// finish stops the callers and checks what they observed.
func (t *traffic) finish(r *result) {
	close(t.closing)
	t.group.Wait()
	for _, id := range t.ids {
		t.fleet.Check(func(*verify.Record) error { return verify.CheckRunCount(id, t.fleet.Account.RunCount(id)) })
	}
	for _, f := range t.flows {
		if errors.Is(f.Err, fake.ErrReset) {
			r.Resets++
		}
		t.fleet.Check(func(x *verify.Record) error { return x.CheckReset(f) })
	}
	t.fleet.Check(func(*verify.Record) error { return verify.CheckRecovery(t.afterFaults.served, t.afterFaults.asked) })
	r.Requests = len(t.ids)
	r.Served = t.served
	r.Refused = t.refused
}
