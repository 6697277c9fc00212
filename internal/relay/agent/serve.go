package agent

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/admit"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// headerTimeout limits the time that a client may take to send a request header.
const headerTimeout = 5 * time.Second

// serve starts the HTTP servers for readiness checks and for the endpoint's reports.
func (a *Agent) serve() (closers []io.Closer, err error) {
	for _, l := range []struct {
		address netip.AddrPort
		handler http.Handler
	}{
		{
			address: a.settings.Ready,
			handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
		},
		{
			address: a.settings.Control,
			handler: a.reports(a),
		},
	} {
		listener, err := net.Listen("tcp4", l.address.String())
		if err != nil {
			return closers, err
		}
		server := &http.Server{
			Handler:           l.handler,
			ReadHeaderTimeout: headerTimeout,
		}
		closers = append(closers, server)
		go func() { _ = server.Serve(listener) }()
	}
	return closers, nil
}

// Report handles a report of the endpoint. It reports whether the report took effect.
func (a *Agent) Report(r admit.Report) (applied bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.counts.reports++
	return a.applyReport(admit.ReportReceived{
		Report: r,
	})
}

// Left handles the endpoint's notice that it stops. It reports whether the notice took
// effect.
func (a *Agent) Left(id string) (applied bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.applyReport(admit.EndpointStopped{
		ID: id,
	})
}

func (a *Agent) applyReport(e admit.Event) (applied bool) {
	actions := a.controller.Step(time.Now(), e)
	refused := slices.ContainsFunc(actions, func(x admit.Action) bool {
		_, is := x.(admit.ReportRefused)
		return is
	})
	a.execute(actions)
	return !refused
}

// Malformed counts and logs a report that cannot be decoded.
func (a *Agent) Malformed(err error) {
	a.mutex.Lock()
	a.counts.reportsMalformed++
	a.mutex.Unlock()
	a.log.Important.Warn().Err(err).Msg("malformed endpoint report ignored")
}

func (a *Agent) logForward(h admit.ForwardToCandidate) {
	a.log.Important.Info().
		Str("flow", h.Key.String()).
		Bool("opening", h.Kind == link.Opening).
		Str("why", h.Reason.String()).
		Str("to", h.To.String()).
		Uint8("position", h.Forward.Position).
		Int("candidates", len(h.Forward.Candidates)).
		Int("in_use", a.controller.InUse()).
		Msg("packet handed on")
}

func (a *Agent) logReturn(g admit.ReturnToBalancer) {
	a.log.Important.Info().
		Str("flow", g.Key.String()).
		Str("why", g.Reason.String()).
		Str("to", g.To.String()).
		Bool("sure", g.Return.Conclusive).
		Bool("walked", g.Return.ListExhausted).
		Msg("packet returned to balancer")
}

func (a *Agent) recordAccepted(x admit.FlowAccepted) {
	a.counts.accepted++
	if x.BeyondSlots {
		a.counts.beyondSlots++
	}
	a.recordLatency(LatencyOpening, x.Latency)
	a.log.Routine.Info().
		Str("flow", x.Key.String()).
		Int("in_use", x.InUse).
		Int("slots", x.Slots).
		Bool("queued", x.Queued).
		Bool("beyond_slots", x.BeyondSlots).
		Int64("after_us", x.Latency.Microseconds()).
		Msg("opening accepted")
}

// logRequestStarted logs the ID of a request together with its flow.
func (a *Agent) logRequestStarted(b admit.RequestStarted) {
	a.log.Routine.Info().
		Str("flow", b.Key.String()).
		Str("request_id", a.codec.RequestID(b.Raw)).
		Int("in_use", a.controller.InUse()).
		Msg("request given to endpoint")
}

func (a *Agent) logShed(x admit.OpeningShed) {
	a.log.Important.Info().
		Str("flow", x.Key.String()).
		Uint8("priority", x.Priority).
		Int64("after_ms", x.QueueTime.Milliseconds()).
		Int("queued", x.Queued).
		Int("in_use", x.InUse).
		Msg("queued opening cannot be served in time; other candidates are asked")
}

func (a *Agent) logRequestQueued(w admit.RequestQueued) {
	a.log.Routine.Info().
		Str("flow", w.Key.String()).
		Uint16("service_busy", w.AverageLoad).
		Int("in_use", a.controller.InUse()).
		Msg("request queued until a slot is free")
}

func (a *Agent) logRequestAbandoned(g admit.RequestAbandoned) {
	a.log.Important.Info().
		Str("flow", g.Key.String()).
		Int64("after_ms", g.QueueTime.Milliseconds()).
		Int("in_use", a.controller.InUse()).
		Msg("queued request abandoned by its caller; it was not run")
}

func (a *Agent) recordReportRefused(r admit.ReportRefused) {
	a.counts.reportsRefused++
	a.log.Important.Warn().
		Str("id", r.ID).
		Uint64("born", r.StartedAt).
		Uint64("current_born", a.controller.Load(time.Now()).StartedAt).
		Msg("report refused: it may come from an endpoint that has ended")
}

func (a *Agent) recordEvacuationChange(c admit.EvacuationChanged) {
	a.counts.evacuationChanges++
	a.log.Important.Info().
		Str("zone", a.settings.Zone).
		Bool("evacuated", c.Evacuated).
		Bool("kept_from_earlier_era", c.Carried).
		Float64("cold_per_second", c.ColdRate).
		Int("in_use", a.controller.InUse()).
		Int("flows", a.controller.Flows()).
		Msg("evacuation of this failure domain, or rate of cold endpoints, changed")
}

func (a *Agent) logStateChange(c admit.StateChanged) {
	a.log.Important.Info().
		Str("state", c.State.String()).
		Str("why", c.Reason.String()).
		Int("in_use", a.controller.InUse()).
		Int("flows", a.controller.Flows()).
		Msg("endpoint changed")
}
