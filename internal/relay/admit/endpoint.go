package admit

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/health"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// endpoint is what is known of the endpoint beside this agent.
type endpoint struct {
	incarnation
	// ended are incarnations that were replaced by another one, the latest last.
	ended []incarnation
	// claim is the pending claim of another incarnation, or of one that announced that it
	// stops. claimableAt is when the current incarnation has missed its reports.
	claim          claim
	claimableAt    time.Time
	reportInterval time.Duration
	sequence       uint64
	slots          uint16
	// reported is set once the endpoint has reported to this process.
	reported bool
	draining bool
	// gone is set when the endpoint has stopped, left when it announced this itself.
	gone bool
	left bool
	// leaving is set when this process is about to stop.
	leaving bool
	// proven is set once anything has arrived from the endpoint in this process's
	// lifetime, except packets that it did not accept.
	proven bool
	// heardAt is when the last packet arrived from the endpoint.
	heardAt time.Time
	// silent is set when the endpoint has left a SYN unanswered since its last sign of
	// life.
	silent bool
	// refusedOpening is set when the endpoint refused a SYN before its first report.
	refusedOpening bool
	// health tells whether the endpoint serves; suspect is what was last told of it.
	health  health.Endpoint
	suspect bool
	// times are reported to balancers if reportsTimes is set.
	times        health.Times
	reportsTimes bool
	// awaitsReport is set when the endpoint gets no flow before its first report.
	awaitsReport bool
	// registered is set once the member record is known to list this agent. Until then the
	// endpoint gets no flow, unless unregistered is set: no balancer can register the agent.
	registered   bool
	unregistered bool
	// needsRegistration is set by NeedsRegistration, endedRegistered once the endpoint has ended
	// while this agent was registered.
	needsRegistration bool
	endedRegistered   bool
	// impossible is set while no balancer is known to reach the store, pendingUntil is until when
	// one that has told so counts. unregistered is set at unregisteredFrom, which is zero until a
	// balancer answers.
	impossible       bool
	pendingUntil     time.Time
	unregisteredFrom time.Time
	// absentAtStart is set when nothing listened at the endpoint's address when this process
	// started.
	absentAtStart bool
	// sawAllFlows is set when the flow table has every flow that the endpoint may hold: at
	// some time since the start of this process nothing listened at the endpoint's address,
	// and no entry of an open flow has expired since. The endpoint's start time cannot show
	// this, since the wall clock may have been set.
	sawAllFlows bool
	coldUntil   time.Time
	// awaitsEvacuations is set while the agent does not know which failure domains are
	// evacuated.
	awaitsEvacuations bool
}

// state returns the state that is reported to balancers.
func (e *endpoint) state() node.State {
	switch {
	case e.gone:
		return node.Gone
	case e.draining || e.leaving:
		return node.Draining
	case e.awaitsEvacuations || e.silent || e.refusedOpening || e.awaitsReport && !e.reported || e.absent() || !e.registered && !e.unregistered:
		return node.Joining
	default:
		return node.Serving
	}
}

// absent reports whether nothing has arrived from the endpoint since nothing listened at its
// address. It then holds no flow, and gets none.
func (e *endpoint) absent() bool {
	return e.absentAtStart && !e.proven
}

// SuspicionChanged reports whether the endpoint has become a suspect, which is not known to
// serve, or has ceased to be one.
type SuspicionChanged struct {
	Suspect bool
	// Refusals is as in frame.LoadReport. ReportsMissed is set if the endpoint's reports have
	// stopped.
	Refusals      int
	ReportsMissed bool
}

func (SuspicionChanged) action() {}

// checkSuspicion emits a change of the suspicion.
func (h *Controller) checkSuspicion(now time.Time) {
	e := &h.endpoint
	suspect := e.health.Suspect(now) && !e.gone
	if suspect == e.suspect {
		return
	}
	e.suspect = suspect
	h.emit(SuspicionChanged{
		Suspect:       suspect,
		Refusals:      e.health.Refusals(now),
		ReportsMissed: e.health.ReportsMissed(now),
	})
}

func (h *Controller) emitStateChange(before node.State, reason Reason) {
	if after := h.endpoint.state(); after != before {
		h.emit(StateChanged{
			State:  after,
			Reason: reason,
		})
	}
}

// markFlowsUnverified is called when a new incarnation of the endpoint reports. A flow may
// belong to the incarnation that ended or, because an endpoint accepts flows before its
// first report, to the new one; only the endpoint can tell. A flow of the old one ends with
// the next packet of its caller, which the endpoint bounces. Until the endpoint sends a
// packet of a flow, the flow counts neither as open nor as in use. SYNs in transit have a
// timeout of their own.
func (h *Controller) markFlowsUnverified() {
	for _, f := range h.flows {
		f.unverified = true
		h.setPhase(f, phaseIdle)
	}
	h.openFlows = 0
}

// dropFlows removes the flows of an endpoint that has ended, and the requests queued on
// them. It keeps those that the endpoint had accepted as ended.
func (h *Controller) dropFlows() {
	for key, f := range h.flows {
		h.recordEndedFlow(key, f)
	}
	clear(h.flows)
	clear(h.openings)
	h.inUse = 0
	for key, w := range h.queue {
		if w.flow != nil {
			delete(h.queue, key)
		}
	}
}

// recordRefusal records that the endpoint refused a SYN.
func (h *Controller) recordRefusal(now time.Time) {
	e := &h.endpoint
	e.health.Refused(now, h.inUse)
	if e.reported {
		return
	}
	before := e.state()
	e.refusedOpening = true
	h.emitStateChange(before, EndpointRefused)
}

// handleUnreachable records that nothing listened at the endpoint's address: its flows
// are gone. If a packet has arrived from the endpoint since the probe, another incarnation
// has started meanwhile, whose flows must be kept.
func (h *Controller) handleUnreachable(u EndpointUnreachable) {
	e := &h.endpoint
	if e.heardAt.After(u.ProbedAt) {
		return
	}
	before := e.state()
	h.suspectRestart()
	h.dropFlows()
	e.gone = true
	h.endRegistration()
	e.sawAllFlows = true
	h.emitStateChange(before, NotListening)
}

// restoreState applies the state that balancers recorded before this process started,
// until the endpoint reports: an endpoint that was draining gets no new flows.
func (h *Controller) restoreState(t StateRemembered) {
	e := &h.endpoint
	if e.reported || t.State != node.Draining && t.State != node.Gone {
		return
	}
	before := e.state()
	e.draining = true
	e.startedAt = t.StartedAt
	h.emitStateChange(before, BalancerMemory)
}

func (h *Controller) markSilent(now time.Time, reason Reason) {
	e := &h.endpoint
	e.health.Unanswered(now, h.inUse)
	before := e.state()
	h.suspectRestart()
	e.silent = true
	h.emitStateChange(before, reason)
}

// markReached records that the endpoint bounced a packet. It runs, but may not serve.
func (h *Controller) markReached(now time.Time) {
	e := &h.endpoint
	before := e.state()
	e.heardAt = now
	e.silent = false
	h.emitStateChange(before, EndpointAnswer)
}

// markAlive records a packet that the endpoint sent for a flow.
func (h *Controller) markAlive(now time.Time) {
	e := &h.endpoint
	h.recordAlive(now)
	e.heardAt = now
	if !e.silent && e.proven {
		return
	}
	before := e.state()
	e.silent = false
	e.proven = true
	h.emitStateChange(before, EndpointAnswer)
}
