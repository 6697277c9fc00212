package entry

import (
	"compress/gzip"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/router"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// headerTimeout limits the time that a client may take to send a request header.
const headerTimeout = 5 * time.Second

// serve starts the HTTP servers for readiness checks and for the plan that other
// balancers fetch.
func (b *Balancer) serve() (closers []io.Closer, err error) {
	inner := http.NewServeMux()
	inner.HandleFunc(planPath, b.servePlan)
	for _, l := range []struct {
		address netip.AddrPort
		handler http.Handler
	}{
		{
			address: b.settings.Ready,
			handler: http.HandlerFunc(b.serveReady),
		},
		{
			address: netip.AddrPortFrom(b.settings.Address, b.settings.InnerPort),
			handler: inner,
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

func (b *Balancer) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !b.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (b *Balancer) servePlan(w http.ResponseWriter, _ *http.Request) {
	p := b.activePlan.Current()
	if p == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set(revisionHeader, strconv.FormatUint(p.Revision, 10))
	// The Go HTTP client requests gzip and decompresses it transparently.
	w.Header().Set("Content-Encoding", "gzip")
	z := gzip.NewWriter(w)
	_, err := z.Write(p.Raw)
	if err = errors.Join(err, z.Close()); err != nil {
		b.log.Important.Warn().Err(err).Msg("sending the plan to a balancer failed")
	}
}

func (b *Balancer) logForward(a router.Send) {
	if a.Reason == router.ToOwner {
		return
	}
	event := b.log.Routine.Info()
	if a.Reason != router.Placed {
		event = b.log.Important.Info()
	}
	event.
		Str("flow", a.Key.String()).
		Str("why", a.Reason.String()).
		Str("to", a.To.String()).
		Int("candidates", len(a.Forward.Candidates)).
		Bool("settled", a.Forward.Flags&frame.ListComplete != 0).
		Uint64("plan_version", b.activePlan.Version()).
		Msg("packet sent on")
}

func (b *Balancer) logOwnerQuery(a router.OwnerQuery) {
	b.log.Important.Info().
		Str("flow", a.Query.Key.String()).
		Int("candidates", len(a.To)).
		Bool("settled", a.ListComplete).
		Msg("owner query sent to all candidates")
}

// logLookup logs the end of a lookup among many agents. Those that the home of the flow answers
// are usual.
func (b *Balancer) logLookup(a router.LookupSettled) {
	event := b.log.Important.Info()
	if a.Outcome == router.LookupFoundByHome {
		event = b.log.Routine.Info()
	}
	if a.Missing != 0 {
		event.Str("missing", a.Missing.String())
	}
	event.
		Str("flow", a.Key.String()).
		Str("outcome", a.Outcome.String()).
		Int("repeats", a.Repeats).
		Int("unsent", b.router.Lookups().Unsent).
		Msg("owner lookup ended")
}

func (b *Balancer) logOutcome(message string, p link.Packet, why router.Reason) {
	event := b.log.Important.Info()
	if why == router.OwnerUnknown {
		b.addEvidence(event)
	}
	event.
		Str("flow", p.Key.String()).
		Str("why", why.String()).
		Uint32("sequence", p.Sequence).
		Int("bytes", p.Payload).
		Uint64("plan_version", b.activePlan.Version()).
		Int("side_processes", len(b.members.PresentAgents())).
		Msg(message)
}

// addEvidence adds to a log line why a flow whose owner is unknown is not reset: an agent that
// may hold it cannot be asked, or the member record has not been read since the lookup began.
func (b *Balancer) addEvidence(e *zerolog.Event) {
	now := time.Now()
	if h, found := b.members.Unreachable(now); found {
		e.Str("unreachable", h.String())
	}
	if at := b.members.RecordCalledAt(); !at.IsZero() {
		e.Int64("record_age_ms", now.Sub(at).Milliseconds())
	}
}
