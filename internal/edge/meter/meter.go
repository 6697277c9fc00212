// Package meter publishes counters and state of a running role over HTTP: metrics
// by tally in the Prometheus text format on /metrics, one JSON document on /state,
// and on /ready whether it may be given work.
package meter

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const (
	collectInterval = time.Second
	requestTimeout  = 10 * time.Second
)

// Total is a counter's value since the start of the process. Reason is empty for
// a counter that has none.
type Total struct {
	Name   string
	Reason string
	Value  uint64
}

// Level is a value that rises and falls.
type Level struct {
	Name  string
	Value float64
}

// Sample is what a role publishes at one time.
type Sample struct {
	Totals []Total
	Levels []Level
}

// Meter publishes the samples of one role.
type Meter struct {
	sample  func() Sample
	state   func() any
	ready   func() bool
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
	mutex   sync.Mutex
	last    map[counterID]uint64
}

type counterID struct {
	name   string
	reason string
}

// New makes a meter for a role; names in samples get the prefix clementinewing
// and the role.
func New(role string, sample func() Sample, state func() any, ready func() bool) *Meter {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "clementinewing_" + role,
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,

		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, collectInterval)
	return &Meter{
		sample:  sample,
		state:   state,
		ready:   ready,
		scope:   scope,
		closer:  closer,
		handler: reporter.HTTPHandler(),
		last:    map[counterID]uint64{},
	}
}

// latencyBuckets double from 1 ms to about 16 s, the range from one hop to past
// every deadline.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

// Timer makes a histogram of latencies; the function records one.
func (m *Meter) Timer(name string) func(time.Duration) {
	return m.scope.Histogram(name, latencyBuckets).RecordDuration
}

// Serve answers on address until ctx ends.
func (m *Meter) Serve(ctx context.Context, address netip.AddrPort) (err error) {
	defer func() { err = eris.Wrap(err, "serving metrics and state") }()
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           m.Handler(),
		ReadHeaderTimeout: requestTimeout,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	go m.collectEvery(ctx)
	err = server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	return errors.Join(err, m.closer.Close())
}

// Handler answers /metrics, /state and /ready.
func (m *Meter) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", m.handler)
	mux.HandleFunc("/state", m.serveState)
	mux.HandleFunc("/ready", m.serveReady)
	return mux
}

// serveReady answers 200 if the role may be given work, else 503.
func (m *Meter) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !m.ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

func (m *Meter) serveState(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(m.state())
}

func (m *Meter) collectEvery(ctx context.Context) {
	ticker := time.NewTicker(collectInterval)
	defer ticker.Stop()
	for {
		m.Collect()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Collect moves the tally counters to the totals of now.
func (m *Meter) Collect() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	s := m.sample()
	for _, t := range s.Totals {
		m.advance(t)
	}
	for _, l := range s.Levels {
		m.scope.Gauge(l.Name).Update(l.Value)
	}
}

func (m *Meter) advance(t Total) {
	id := counterID{
		name:   t.Name,
		reason: t.Reason,
	}
	scope := m.scope
	if t.Reason != "" {
		scope = scope.Tagged(map[string]string{
			"reason": t.Reason,
		})
	}
	scope.Counter(t.Name).Inc(int64(t.Value - m.last[id]))
	m.last[id] = t.Value
}
