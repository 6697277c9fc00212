package main

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clementinewing/clementinewing/platform/fake"
)

// Traffic of the callers.
const (
	requestInterval = 50 * time.Millisecond
	requestDeadline = 2500 * time.Millisecond
	// maxTries is the first attempt and the retries of a request.
	maxTries = 3
)

// window counts the requests that began in a second.
type window struct {
	sent   int
	served int
}

// traffic sends requests, a flow each, until it is stopped.
type traffic struct {
	mutex   sync.Mutex
	windows []window
	stop    chan struct{}
	group   sync.WaitGroup
	resets  atomic.Int64
}

func (d *deployment) startTraffic() (t *traffic, err error) {
	caller, err := fake.NewCaller(d.net.Caller(0), 1, d.account, d.inRotation)
	if err != nil {
		return nil, err
	}
	t = &traffic{
		stop: make(chan struct{}),
	}
	t.group.Go(func() {
		defer func() { _ = caller.Close() }()
		var requests sync.WaitGroup
		defer requests.Wait()
		for n := 0; ; n++ {
			select {
			case <-t.stop:
				return
			case <-time.After(requestInterval):
			}
			requests.Go(func() { t.request(d, caller, n) })
		}
	})
	return t, nil
}

// request sends one request, with retries while it cannot have run.
func (t *traffic) request(d *deployment, caller *fake.Caller, n int) {
	second := int(time.Since(d.start) / time.Second)
	deadline := time.Now().Add(requestDeadline)
	var err error
	for try := range maxTries {
		if err = t.try(d, caller, fmt.Sprintf("r-%d-%d", n, try), deadline); err == nil || errors.Is(err, fake.ErrReset) || errors.Is(err, fake.ErrDeadline) {
			break
		}
		if !time.Now().Before(deadline) {
			break
		}
	}
	t.mutex.Lock()
	for len(t.windows) <= second {
		t.windows = append(t.windows, window{})
	}
	t.windows[second].sent++
	if err == nil {
		t.windows[second].served++
	}
	t.mutex.Unlock()
	if err != nil {
		d.note("request %d of second %d: %v", n, second, err)
	}
}

func (t *traffic) try(d *deployment, caller *fake.Caller, id string, deadline time.Time) error {
	f, err := caller.Open(d.route().Target)
	if err != nil {
		return err
	}
	defer f.Close()
	err = f.Do(id, service, time.Until(deadline))
	if errors.Is(err, fake.ErrReset) {
		t.resets.Add(1)
	}
	return err
}

// end stops the traffic and records what was served in each second.
func (t *traffic) end(d *deployment) []window {
	close(t.stop)
	t.group.Wait()
	for i, w := range t.windows {
		d.note("second %d: %d requests, %d served", i, w.sent, w.served)
	}
	return t.windows
}
