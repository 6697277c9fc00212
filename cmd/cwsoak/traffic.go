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
	"github.com/clementinewing/clementinewing/internal/soak/judge"
	"github.com/clementinewing/clementinewing/platform/fake"
)

const (
	callers  = 12
	pause    = 60 * time.Millisecond
	deadline = 3 * time.Second
	// recoverIn is how long after the last fault requests may still fail.
	recoverIn = 4 * time.Second
	// probeEvery is how often the route that comes and goes is tried.
	probeEvery = 250 * time.Millisecond
)

var (
	rota    = netip.MustParseAddrPort("198.18.0.1:443")
	sheets  = netip.MustParseAddrPort("198.18.0.1:8443")
	changed = netip.MustParseAddrPort("198.18.0.7:80")
)

// config is the plan with or without the route that comes and goes.
func config(version int, with bool) []byte {
	routes := []fake.Route{
		{Target: rota, Service: "rota"},
		{Target: sheets, Service: "sheets"},
	}
	if with {
		routes = append(routes, fake.Route{Target: changed, Service: "sheets"})
	}
	return fake.Config(version, routes...)
}

// traffic is what callers do, and their account of it.
type traffic struct {
	fleet   *fleet.Fleet
	mutex   sync.Mutex
	ids     []string
	flows   []judge.Flow
	served  int
	refused int
	late    struct{ asked, served int }
	calmAt  time.Time
	version int
	there   bool
	since   time.Time
	closing chan struct{}
	group   sync.WaitGroup
}

func newTraffic(f *fleet.Fleet, seed uint64) *traffic {
	t := &traffic{
		fleet:   f,
		version: 1,
		since:   time.Now(),
		closing: make(chan struct{}),
	}
	for i := range callers {
		c, err := fake.NewCaller(f.Net.Caller(i), seed*callers+uint64(i), f.Account, f.Rotation)
		if err != nil {
			f.Account.RecordViolation("caller does not start: %v", err)
			continue
		}
		t.group.Go(func() { t.call(c, i) })
	}
	return t
}

// change puts a plan with or without the changing route into the store.
func (t *traffic) change(with bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.version++
	if with != t.there {
		t.there = with
		t.since = time.Now()
	}
	t.fleet.Store.Put("op/config", config(t.version, with))
}

// calm tells that no fault comes any more.
func (t *traffic) calm() {
	t.mutex.Lock()
	t.calmAt = time.Now().Add(recoverIn)
	t.mutex.Unlock()
}

// call is one caller: the first tries the changing route, the others keep flows
// open for many requests or open one for each.
func (t *traffic) call(c *fake.Caller, i int) {
	defer func() { _ = c.Close() }()
	for n := 0; !t.over(); n++ {
		switch {
		case i == 0:
			t.probe(c)
		case i%2 == 0:
			t.flow(c, fmt.Sprintf("s-%d-%d", i, n), rota, "rota", 1)
		default:
			t.flow(c, fmt.Sprintf("l-%d-%d", i, n), sheets, "sheets", 200)
		}
	}
}

func (t *traffic) over() bool {
	select {
	case <-t.closing:
		return true
	default:
		return false
	}
}

func (t *traffic) probe(c *fake.Caller) {
	t.mutex.Lock()
	there, since := t.there, t.since
	t.mutex.Unlock()
	asked := time.Now()
	f, err := c.Open(changed)
	if err == nil {
		f.Close()
	}
	t.mutex.Lock()
	same := t.there == there && t.since.Equal(since)
	t.mutex.Unlock()
	if same {
		t.fleet.Judge(func(r *judge.Record) error {
			return r.Route(there, since, asked, err)
		})
	}
	time.Sleep(probeEvery)
}

// flow opens a flow and sends up to some requests on it.
func (t *traffic) flow(c *fake.Caller, id string, target netip.AddrPort, service string, requests int) {
	asked := time.Now()
	f, err := c.Open(target)
	if err != nil {
		t.done(asked, err)
		time.Sleep(pause)
		return
	}
	defer f.Close()
	for n := 0; n < requests && err == nil && !t.over(); n++ {
		asked = time.Now()
		one := fmt.Sprintf("%s-%d", id, n)
		t.mutex.Lock()
		t.ids = append(t.ids, one)
		t.mutex.Unlock()
		err = f.Do(one, service, deadline)
		t.done(asked, err)
		time.Sleep(pause)
	}
	if f.Endpoint == "" {
		return
	}
	t.mutex.Lock()
	t.flows = append(t.flows, judge.Flow{
		Ended:    time.Now(),
		Endpoint: f.Endpoint,
		Side:     sideOf(f.Endpoint),
		Err:      err,
	})
	t.mutex.Unlock()
}

// sideOf is the machine's number in an endpoint's id, which is e-MACHINE-LIFE.
func sideOf(id string) int {
	parts := strings.Split(id, "-")
	n, err := strconv.Atoi(parts[1])
	if err != nil {
		return -1
	}
	return n
}

func (t *traffic) done(asked time.Time, err error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if err == nil {
		t.served++
	}
	if errors.Is(err, fake.ErrRefused) {
		t.refused++
	}
	if !t.calmAt.IsZero() && asked.After(t.calmAt) {
		t.late.asked++
		if err == nil {
			t.late.served++
		}
	}
}

// finish ends the callers and judges what they saw.
func (t *traffic) finish(r *result) {
	close(t.closing)
	t.group.Wait()
	for _, id := range t.ids {
		t.fleet.Judge(func(*judge.Record) error { return judge.Runs(id, t.fleet.Account.RunCount(id)) })
	}
	for _, f := range t.flows {
		if errors.Is(f.Err, fake.ErrReset) {
			r.Resets++
		}
		t.fleet.Judge(func(x *judge.Record) error { return x.Reset(f) })
	}
	t.fleet.Judge(func(*judge.Record) error { return judge.Recovered(t.late.served, t.late.asked) })
	r.Requests = len(t.ids)
	r.Served = t.served
	r.Refused = t.refused
}
