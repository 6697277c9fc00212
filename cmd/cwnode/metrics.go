package main

import (
	"context"
	"net/netip"
	"time"

	"github.com/clementinewing/clementinewing/internal/edge/logs"
	"github.com/clementinewing/clementinewing/internal/edge/meter"
)

// observer creates a latency histogram for each name and returns a function that records
// into them.
func observer(m *meter.Meter, names []string) func(name string, took time.Duration) {
	timers := map[string]func(time.Duration){}
	for _, n := range names {
		timers[n] = m.NewLatencyHistogram(n + "_latency")
	}
	return func(name string, took time.Duration) {
		if t, ok := timers[name]; ok {
			t(took)
		}
	}
}

// serveMetrics publishes counters, histograms and state until ctx is done. If it fails, the
// process continues without the metrics page.
func serveMetrics(ctx context.Context, m *meter.Meter, address netip.AddrPort, l *logs.Logs) {
	if !address.IsValid() {
		return
	}
	if err := m.Serve(ctx, address); err != nil {
		l.Important.Error().Err(err).Msg("serving the metrics page failed")
	}
}
