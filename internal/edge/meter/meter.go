// Package meter serves the metrics and state of a running role over HTTP: metrics from
// tally in the Prometheus text format on /metrics, one JSON document on /state, and
// readiness on /ready.
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

// Total is the value of a counter since the start of the process. Reason is empty if the
// counter has no reason label.
type Total struct {
	Name   string
	Reason string
	Value  uint64
}

// Level is the value of a gauge.
type Level struct {
	Name  string
	Value float64
}

// Sample holds the counters and gauges of a role at one time.
type Sample struct {
	Totals []Total
	Levels []Level
}

// Meter publishes the samples of one role.
type Meter struct {
	sample     func() Sample
	state      func() any
	ready      func() bool
	scope      tally.Scope
	closer     io.Closer
	handler    http.Handler
	further    map[string]http.Handler
	mutex      sync.Mutex
	lastTotals map[counterID]uint64
}

type counterID struct {
	name   string
	reason string
}

// New returns a Meter for a role. Metric names get the prefix clementinewing and the
// role.
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
		sample:     sample,
		state:      state,
		ready:      ready,
		scope:      scope,
		closer:     closer,
		handler:    reporter.HTTPHandler(),
		further:    map[string]http.Handler{},
		lastTotals: map[counterID]uint64{},
	}
}

// latencyBuckets double from 1 ms, about one hop, to about 16 s, beyond every deadline.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

// NewLatencyHistogram returns a function that records a latency in the named histogram.
func (m *Meter) NewLatencyHistogram(name string) func(time.Duration) {
	return m.scope.Histogram(name, latencyBuckets).RecordDuration
}

// Serve serves HTTP on address until ctx ends.
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
	go m.collectPeriodically(ctx)
	err = server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	return errors.Join(err, m.closer.Close())
}

// Handle adds a handler for a path. It has to be called before Handler and Serve.
func (m *Meter) Handle(path string, h http.Handler) {
	m.further[path] = h
}

// Handler returns the handler for /metrics, /state, /ready and the paths of Handle.
func (m *Meter) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", m.handler)
	mux.HandleFunc("/state", m.serveState)
	mux.HandleFunc("/ready", m.serveReady)
	for path, h := range m.further {
		mux.Handle(path, h)
	}
	return mux
}

// serveReady responds with 200 if the role is ready for work, otherwise with 503.
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

func (m *Meter) collectPeriodically(ctx context.Context) {
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

// Collect updates the tally counters and gauges from a new sample.
func (m *Meter) Collect() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	s := m.sample()
	for _, t := range s.Totals {
		m.advanceCounter(t)
	}
	for _, l := range s.Levels {
		m.scope.Gauge(l.Name).Update(l.Value)
	}
}

func (m *Meter) advanceCounter(t Total) {
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
	scope.Counter(t.Name).Inc(int64(t.Value - m.lastTotals[id]))
	m.lastTotals[id] = t.Value
}
