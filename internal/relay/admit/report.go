package admit

import (
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/health"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

const (
	// defaultReportInterval is the interval of an endpoint's reports unless WithReportInterval
	// sets it.
	defaultReportInterval = 1200 * time.Millisecond
	// reportTimeout is how long an endpoint waits for the answer to a report.
	reportTimeout = time.Second
	// maxEnded bounds the ended incarnations that are kept.
	maxEnded = 8
)

// incarnation identifies one start of an endpoint. Its start time tells incarnations apart,
// but may not order them: the wall clock that it was read from may have been set back.
type incarnation struct {
	id        string
	startedAt uint64
}

// claim is the report of an incarnation that is not believed yet to be the one that runs.
type claim struct {
	incarnation
	sequence uint64
	// acceptAt is from when on a further report proves that the incarnation runs.
	acceptAt time.Time
}

// ReportRefused reports that a report or a notice of the endpoint had no effect and must not
// be acknowledged: it may come from an incarnation that has ended.
type ReportRefused struct {
	ID        string
	StartedAt uint64
}

func (ReportRefused) action() {}

// handleReport applies a report of the endpoint.
func (h *Controller) handleReport(now time.Time, r Report) {
	e := &h.endpoint
	before := e.state()
	x := incarnation{
		id:        r.ID,
		startedAt: r.StartedAt,
	}
	switch runs := e.reported && !e.left && x == e.incarnation; {
	case runs && r.Sequence <= e.sequence:
		// A later report of the same incarnation has been applied.
		return
	case !runs && !e.replacedBy(now, x, r.Sequence):
		h.emit(ReportRefused{
			ID:        r.ID,
			StartedAt: r.StartedAt,
		})
		return
	case !runs:
		h.startIncarnation(now, x)
	}
	if e.gone {
		h.awaitRegistration(now)
	}
	e.gone = false
	e.left = false
	e.sequence = r.Sequence
	e.slots = max(r.Slots, 1)
	e.draining = r.Draining
	e.coldUntil = r.ColdUntil
	h.reportWarmth(now, r.ColdUntil)
	e.reported = true
	e.proven = true
	e.silent = false
	e.refusedOpening = false
	e.claim = claim{}
	e.claimableAt = now.Add(2*e.reportInterval + reportTimeout)
	e.health.Reported(now, e.claimableAt)
	h.service = spec.NewServiceID(r.Service)
	h.emitStateChange(before, EndpointReport)
}

// replacedBy reports whether incarnation x, which has sent a report, runs in place of the
// current one. It does if the current one is known to have ended or has an earlier start time,
// unless x was itself replaced before. Otherwise the report may be a late one of an
// incarnation that has ended. Only the incarnation that runs keeps reporting, so x is believed
// once the current one has missed its reports and x has reported again.
func (e *endpoint) replacedBy(now time.Time, x incarnation, sequence uint64) bool {
	switch {
	case !e.reported:
		return true
	case x != e.incarnation && !slices.Contains(e.ended, x) && (e.gone || x.startedAt > e.startedAt):
		return true
	case x != e.claim.incarnation:
		e.claim = claim{
			incarnation: x,
			sequence:    sequence,
			acceptAt:    now.Add(e.reportInterval),
		}
		return false
	case sequence <= e.claim.sequence:
		return false
	}
	e.claim.sequence = sequence
	return !now.Before(e.claim.acceptAt) && !now.Before(e.claimableAt)
}

// startIncarnation resets the state for another incarnation of the endpoint.
func (h *Controller) startIncarnation(now time.Time, x incarnation) {
	e := &h.endpoint
	if e.reported {
		h.markFlowsUnverified()
		h.averageLoad = 0
		e.ended = append(e.ended, e.incarnation)
		e.ended = e.ended[max(0, len(e.ended)-maxEnded):]
	}
	e.incarnation = x
	e.sequence = 0
	e.health.Started(now)
	e.times = health.Times{}
}

// handleEndpointStopped applies the endpoint's notice that it stops. Before the first report
// the notice may be a late one of an earlier incarnation, so the endpoint only gets no new
// flows until it reports.
func (h *Controller) handleEndpointStopped(now time.Time, id string) {
	e := &h.endpoint
	before := e.state()
	switch {
	case !e.reported:
		e.draining = true
	case e.id != id:
		h.emit(ReportRefused{
			ID: id,
		})
		return
	default:
		h.suspectRestart()
		e.gone = true
		e.left = true
		h.endRegistration()
		e.claim = claim{}
		e.claimableAt = now.Add(2*e.reportInterval + reportTimeout)
	}
	h.emitStateChange(before, EndpointLeft)
}
