// Package origin is a fake upstream: a small HTTP server that runs requests, keeps
// feeds open and records every run.
package origin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Paths of the server. RunPath answers once the work of the request is done. FeedPath
// sends a line every feedInterval until the caller disconnects.
const (
	RunPath  = "/run"
	FeedPath = "/feed"
)

const feedInterval = 200 * time.Millisecond

// Run records that an upstream ran a request.
type Run struct {
	Service  string
	Upstream string
	ID       string
}

// Ledger records the runs of each request at all upstreams that share it.
type Ledger struct {
	mutex sync.Mutex
	runs  map[string][]Run
}

// Upstream is one running fake upstream.
type Upstream struct {
	service      string
	name         string
	workDuration time.Duration
	ledger       *Ledger
	listener     net.Listener
	server       *http.Server
	// ActiveRequests is the number of requests being run, OpenFeeds that of open feeds.
	ActiveRequests atomic.Int64
	OpenFeeds      atomic.Int64
	// RequestCount counts the requests that were run since the start.
	RequestCount atomic.Int64
}

// Option sets one property of an Upstream.
type Option func(*Upstream)

// WithWorkDuration sets the time that a request takes.
func WithWorkDuration(work time.Duration) Option {
	return func(u *Upstream) {
		u.workDuration = work
	}
}

// WithLedger sets the ledger, so that upstreams can share one.
func WithLedger(l *Ledger) Option {
	return func(u *Upstream) {
		u.ledger = l
	}
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		runs: map[string][]Run{},
	}
}

// Runs returns the runs of one request.
func (l *Ledger) Runs(id string) []Run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]Run(nil), l.runs[id]...)
}

func (l *Ledger) add(r Run) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.runs[r.ID] = append(l.runs[r.ID], r)
}

// New starts an upstream of a service at address. Port 0 selects a free port.
func New(service, name string, address netip.AddrPort, options ...Option) (u *Upstream, err error) {
	defer func() { err = eris.Wrapf(err, "starting upstream %s", name) }()
	u = &Upstream{
		service: service,
		name:    name,
		ledger:  NewLedger(),
	}
	for _, o := range options {
		o(u)
	}
	u.listener, err = net.Listen("tcp4", address.String())
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc(RunPath, u.run)
	mux.HandleFunc(FeedPath, u.feed)
	u.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: time.Minute,
	}
	go func() {
		_ = u.server.Serve(u.listener)
	}()
	return u, nil
}

// Address returns the address on which the upstream listens.
func (u *Upstream) Address() netip.AddrPort {
	return u.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Kill stops the upstream at once and closes all its connections.
func (u *Upstream) Kill() {
	_ = u.server.Close()
}

// Stop shuts the upstream down once its requests are answered or ctx ends.
func (u *Upstream) Stop(ctx context.Context) error {
	return u.server.Shutdown(ctx)
}

func (u *Upstream) run(w http.ResponseWriter, r *http.Request) {
	u.ActiveRequests.Add(1)
	defer u.ActiveRequests.Add(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.URL.Query().Get("id")
	u.ledger.add(Run{
		Service:  u.service,
		Upstream: u.name,
		ID:       id,
	})
	u.RequestCount.Add(1)
	select {
	case <-time.After(u.workDuration):
	case <-r.Context().Done():
		return
	}
	fmt.Fprintf(w, "%s %s %s %d\n", u.service, u.name, id, len(body))
}

func (u *Upstream) feed(w http.ResponseWriter, r *http.Request) {
	u.OpenFeeds.Add(1)
	defer u.OpenFeeds.Add(-1)
	control := http.NewResponseController(w)
	ticker := time.NewTicker(feedInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		_, err := fmt.Fprintf(w, "%s %s %d\n", u.service, u.name, n)
		if err = errors.Join(err, control.Flush()); err != nil {
			return
		}
		select {
		case <-ticker.C:
		case <-r.Context().Done():
			return
		}
	}
}
