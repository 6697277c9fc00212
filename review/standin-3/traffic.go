package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/clementinewing/clementinewing/platform/fake"
)

const (
	// requestDeadline is how long a caller waits for the answer to a request.
	requestDeadline = 2500 * time.Millisecond
	requestPause    = 60 * time.Millisecond
)

// request is what a caller saw of one request.
type request struct {
	service string
	sentAt  time.Time
	served  bool
}

// traffic runs callers that open a flow for each request.
type traffic struct {
	deployment *deployment
	mutex      sync.Mutex
	requests   []request
	closing    chan struct{}
	group      sync.WaitGroup
}

// startTraffic starts callers that send requests to a target in turn.
func startTraffic(d *deployment, callers int, targets map[string]netip.AddrPort, services []string) (t *traffic, err error) {
	t = &traffic{
		deployment: d,
		closing:    make(chan struct{}),
	}
	for i := range callers {
		c, err := fake.NewCaller(d.net.Caller(i), uint64(time.Now().UnixNano())+uint64(i), d.account, d.balancers)
		if err != nil {
			return nil, err
		}
		service := services[i%len(services)]
		t.group.Go(func() {
			t.run(c, i, service, targets[service])
			_ = c.Close()
		})
	}
	return t, nil
}

func (t *traffic) run(c *fake.Caller, caller int, service string, target netip.AddrPort) {
	for n := 0; ; n++ {
		select {
		case <-t.closing:
			return
		case <-time.After(requestPause):
		}
		id := fmt.Sprintf("q-%d-%d", caller, n)
		sentAt := time.Now()
		f, err := c.Open(target)
		if err == nil {
			err = f.Do(id, service, requestDeadline)
			f.Close()
		}
		outcome := "answered"
		if err != nil {
			outcome = err.Error()
		}
		t.deployment.record.note("%s to %s, sent %.0f ms ago: %s, ran %d times", id, service,
			time.Since(sentAt).Seconds()*1000, outcome, t.deployment.account.RunCount(id))
		t.mutex.Lock()
		t.requests = append(t.requests, request{
			service: service,
			sentAt:  sentAt,
			served:  err == nil,
		})
		t.mutex.Unlock()
	}
}

// stop ends the callers.
func (t *traffic) stop() {
	close(t.closing)
	t.group.Wait()
}

// served counts the requests sent in a period, and those of them that were answered.
func (t *traffic) served(from, until time.Time) (sent, answered int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, q := range t.requests {
		if q.sentAt.Before(from) || !q.sentAt.Before(until) {
			continue
		}
		sent++
		if q.served {
			answered++
		}
	}
	return sent, answered
}
