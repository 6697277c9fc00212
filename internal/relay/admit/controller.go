// Package admit admits, queues and forwards packets for one endpoint, on platforms whose
// upstreams terminate the flows. For each packet it decides whether the endpoint takes a
// new flow, whether the flow belongs to the endpoint, and which candidate is asked next.
// It is a pure state machine: Step takes an event and returns actions.
//
// All traffic to the endpoint passes its agent. The decisions on new flows therefore
// hold even if balancers have stale state: none of them can reach an endpoint that is
// draining.
//
// Each flow has a home: the agent that stores the owner of the flow, chosen by rendezvous
// hashing (see place.Home).
package admit

import (
	"maps"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
	"github.com/clementinewing/clementinewing/internal/relay/shed"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

const (
	// endpointAnswerTimeout is how long the endpoint may take to answer a SYN, or a
	// packet of a flow that may be its own, before the next candidate is asked.
	// Endpoints answer within a few milliseconds, even when they are slow.
	endpointAnswerTimeout = 40 * time.Millisecond
	// firstRequestTimeout is how long an accepted flow counts as in use before its first
	// request: three round trips to a caller in another failure domain. A later request
	// counts from its arrival.
	firstRequestTimeout = 25 * time.Millisecond
	// requestTimeout is how long a request counts as in use without an answer. It
	// exceeds every request deadline seen in the services.
	requestTimeout = 12 * time.Second
	// closedFlowTTL is how long a closed flow is kept so that packets still in transit
	// reach the endpoint.
	closedFlowTTL = 8 * time.Second
	// idleFlowTTL is how long a flow without packets is kept: the longest lifetime of a
	// flow.
	idleFlowTTL = 65 * time.Second
	// remoteOwnerTTL is how long the owner of a flow at another endpoint is kept.
	remoteOwnerTTL = 65 * time.Second
	// deniedFlowTTL is how long a denial of the endpoint is kept: the longest lifetime of a
	// flow.
	deniedFlowTTL = 65 * time.Second
	// maxFlows, maxRemoteOwners and maxDeniedFlows bound the tables, at 40 to 150 bytes per
	// flow.
	maxFlows        = 20_000
	maxRemoteOwners = 50_000
	maxDeniedFlows  = 20_000
	// maxDeliveries is how many packets delivered to the endpoint are tracked.
	maxDeliveries = 1 << 11
	// maxFlowShare bounds the open flows per slot of an endpoint, as a multiple of the
	// service's average; minFlowsPerSlot are always allowed. An endpoint that joins
	// without flows looks least loaded to every balancer until its next report, and the
	// long flows that it accepts until then stay there.
	maxFlowShare    = 1.25
	minFlowsPerSlot = 8
	// loadAveragePeriod is the time constant of the average load. It spans a few
	// requests of a long flow.
	loadAveragePeriod = 2 * time.Second
)

// Event is PacketForEndpoint, PacketFromEndpoint, PacketBounced, OwnerAnnounced,
// OwnerQueried, OwnersQueried, ReportReceived, EndpointStopped, StopAccepting, StateRemembered,
// RegistrationKnown, BalancerFound, EndpointUnreachable, EvacuationsReceived or Tick.
type Event interface{ event() }

// PacketForEndpoint is a caller's packet forwarded by a balancer or another agent.
type PacketForEndpoint struct {
	Packet  link.Packet
	Forward *frame.Forward
}

// PacketFromEndpoint is a packet sent by the endpoint.
type PacketFromEndpoint struct {
	Packet link.Packet
	Raw    []byte
}

// PacketBounced is a delivered packet that the endpoint did not accept.
type PacketBounced struct {
	Packet link.Packet
	Raw    []byte
	Mark   uint32
}

// OwnerAnnounced names the owner of a flow whose home is this agent.
type OwnerAnnounced struct {
	frame.Owner
}

// OwnerQueried is a balancer's query whether the endpoint owns a flow.
type OwnerQueried struct {
	frame.OwnerQuery
}

// OwnersQueried is a balancer's query which of several flows the endpoint owns.
type OwnersQueried struct {
	frame.OwnerBatch
}

// Report is the endpoint's description of its own state.
type Report struct {
	ID        string
	Service   string
	StartedAt uint64
	Sequence  uint64
	Slots     uint16
	Draining  bool
	// ColdUntil is when the endpoint's slow phase after its start ends.
	ColdUntil time.Time
}

// ReportReceived is a report from the endpoint.
type ReportReceived struct {
	Report
}

// EndpointStopped is the endpoint's notice that it stops.
type EndpointStopped struct {
	ID string
}

// StopAccepting ends the admission of new flows, because the agent is about to stop.
type StopAccepting struct{}

// StateRemembered is the endpoint's state that balancers recorded before this agent
// started.
type StateRemembered struct {
	State     node.State
	StartedAt uint64
}

// RegistrationKnown tells what a balancer knows of this agent's place in the member record.
type RegistrationKnown struct {
	Status frame.RegistrationStatus
}

// BalancerFound reports that a balancer has answered.
type BalancerFound struct{}

// EndpointUnreachable reports that nothing listened at the endpoint's address when it was
// probed.
type EndpointUnreachable struct {
	ProbedAt time.Time
}

// Tick is due every TickInterval.
type Tick struct{}

// maxTickGap is the longest gap between ticks after which deliveries may time out. After
// a longer one the agent was not running, so the endpoint is not to blame.
const maxTickGap = 100 * time.Millisecond

// TickInterval is the interval between ticks. It bounds how late a silent candidate is
// skipped.
const TickInterval = 20 * time.Millisecond

func (PacketForEndpoint) event()   {}
func (PacketFromEndpoint) event()  {}
func (PacketBounced) event()       {}
func (OwnerAnnounced) event()      {}
func (OwnerQueried) event()        {}
func (OwnersQueried) event()       {}
func (ReportReceived) event()      {}
func (EndpointStopped) event()     {}
func (StopAccepting) event()       {}
func (StateRemembered) event()     {}
func (RegistrationKnown) event()   {}
func (BalancerFound) event()       {}
func (EndpointUnreachable) event() {}
func (Tick) event()                {}

// Action is Deliver, ForwardToCandidate, ReturnToBalancer, AnnounceOwner, DenyOwnership,
// AnswerOwners, OpeningShed, RequestQueued, RequestAbandoned, SendToCaller, FlowAccepted,
// RequestStarted, RequestAnswered, ReportRefused, EvacuationChanged, StateChanged or
// SuspicionChanged.
type Action interface{ action() }

// Deliver sends a packet to the endpoint. The packet comes back with Mark if it bounces.
type Deliver struct {
	Raw  []byte
	Mark uint32
}

// ForwardToCandidate forwards a packet to the next candidate.
type ForwardToCandidate struct {
	To      frame.Host
	Forward *frame.Forward
	Key     link.Key
	Kind    link.Kind
	Reason  Reason
}

// ReturnToBalancer returns a packet to its balancer.
type ReturnToBalancer struct {
	To     frame.Host
	Return frame.Return
	Key    link.Key
	Reason Reason
}

// AnnounceOwner tells a balancer or another agent which endpoint owns a flow.
type AnnounceOwner struct {
	To    frame.Host
	Owner frame.Owner
}

// DenyOwnership answers a balancer's owner query: the endpoint does not own the flow.
type DenyOwnership struct {
	To     frame.Host
	Denial frame.Denial
}

// AnswerOwners answers a batch of a balancer's owner queries.
type AnswerOwners struct {
	To      frame.Host
	Answers frame.OwnerAnswers
}

// RequestQueued reports that a request on an open flow waits for a slot.
type RequestQueued struct {
	Key link.Key
	// AverageLoad is the load of the service's endpoints, in 64ths of their slots.
	AverageLoad uint16
}

// RequestAbandoned reports that a request stayed queued until its caller stopped
// retransmitting. The endpoint has not run it.
type RequestAbandoned struct {
	Key       link.Key
	QueueTime time.Duration
}

// SendToCaller sends a packet of the endpoint to its caller.
type SendToCaller struct {
	Raw []byte
	Key link.Key
}

// FlowAccepted reports that the endpoint answered a SYN.
type FlowAccepted struct {
	Key     link.Key
	InUse   int
	Slots   int
	Latency time.Duration
	Queued  bool
	// BeyondSlots reports that the endpoint had no free slot when it was given the SYN.
	BeyondSlots bool
}

// RequestAnswered reports the first byte of the answer to a request.
type RequestAnswered struct {
	Key     link.Key
	Latency time.Duration
}

// RequestStarted reports that the first bytes of a request were delivered to the
// endpoint. In Raw they follow the packet's headers.
type RequestStarted struct {
	Key link.Key
	Raw []byte
}

// StateChanged reports a change of the endpoint's state as the agent sees it.
type StateChanged struct {
	State  node.State
	Reason Reason
}

func (Deliver) action()            {}
func (ForwardToCandidate) action() {}
func (ReturnToBalancer) action()   {}
func (AnnounceOwner) action()      {}
func (DenyOwnership) action()      {}
func (AnswerOwners) action()       {}
func (RequestQueued) action()      {}
func (RequestAbandoned) action()   {}
func (SendToCaller) action()       {}
func (FlowAccepted) action()       {}
func (RequestAnswered) action()    {}
func (RequestStarted) action()     {}
func (StateChanged) action()       {}

// Controller decides on the packets of one endpoint. It is not safe for concurrent use.
type Controller struct {
	self    frame.Host
	service spec.ServiceID

	endpoint endpoint
	// flows holds the flows that the endpoint has accepted. An entry ends by the endpoint's word
	// or when it expires; a SYN changes nothing about it until the endpoint has answered it.
	flows map[link.Key]*flow
	// openings holds the SYNs that the endpoint was given and has not answered yet, also those
	// that it left unanswered for so long that the next candidate was asked.
	openings map[link.Key]*flow
	// endedFlows holds the flows that were the endpoint's and that it lost when it crashed.
	endedFlows map[link.Key]*flow
	// deniedFlows holds the flows that the endpoint has denied, with the time until which
	// each entry is kept. The endpoint cannot hold one of them later without an opening or
	// an answer that passes this process.
	deniedFlows map[link.Key]time.Time
	// remoteOwners holds the owners of flows whose home is this agent.
	remoteOwners map[link.Key]remoteOwner
	// ownerLookups holds the flows of which the endpoint was given a packet to find out
	// whether it owns them, and where to announce that it does.
	ownerLookups map[link.Key]ownerLookup
	// queue holds the SYNs and requests that wait for a free slot.
	queue map[link.Key]*queueEntry
	// openingCredit allows queued SYNs to be delivered without a free slot: a finished
	// request adds openingShare, each such delivery costs 1.
	openingCredit float64
	// serviceTime is the average time that the endpoint takes to answer a request.
	serviceTime time.Duration
	// estimator tells which queued SYNs can be served, nil without WithLoadShedding.
	// queueChanged is set when one of them may have lost its turn since it was last asked.
	estimator    *shed.Estimator
	queueChanged bool
	waitingQueue shed.Queue
	deliveries   [maxDeliveries]delivery
	lastMark     uint32
	// timedMarks are the marks of deliveries with a deadline, oldest first.
	timedMarks []uint32
	// acceptedOpenings are the flows whose SYN was answered and whose first request is
	// still expected, oldest first.
	acceptedOpenings []acceptedOpening
	inUse            int
	// openFlows is the number of open flows.
	openFlows   int
	averageLoad float64
	lastTickAt  time.Time
	nextSweepAt time.Time
	// evenPlacement is set by EvenPlacement.
	evenPlacement bool
	actions       []Action

	// evacuation is nil if the agent does not follow evacuations.
	evacuation *evacuation
}

// remoteOwner is the owner of a flow at another endpoint.
type remoteOwner struct {
	owner     frame.Owner
	keepUntil time.Time
}

// ownerLookup names the processes to which the endpoint is announced as the owner of a
// flow, if the endpoint answers a packet of it.
type ownerLookup struct {
	balancer  frame.Host
	home      frame.Host
	keepUntil time.Time
}

// Option sets one property of a Controller.
type Option func(*Controller)

// FirstStart declares that the whole system starts for the first time: no flow is older
// than this process, and no flow is admitted before the endpoint's first report.
func FirstStart() Option {
	return func(h *Controller) {
		h.endpoint.sawAllFlows = true
		h.endpoint.awaitsReport = true
	}
}

// EndpointAbsent declares that nothing listened at the endpoint's address when this process
// started: no flow of the endpoint is older than this process.
func EndpointAbsent() Option {
	return func(h *Controller) {
		h.endpoint.sawAllFlows = true
		h.endpoint.absentAtStart = true
	}
}

// WithReportInterval sets the interval at which endpoints report.
func WithReportInterval(interval time.Duration) Option {
	return func(h *Controller) {
		h.endpoint.reportInterval = interval
	}
}

// ReportServiceTime declares that load reports tell how long the endpoint takes to answer.
func ReportServiceTime() Option {
	return func(h *Controller) {
		h.endpoint.reportsTimes = true
	}
}

// New returns a Controller for an endpoint of the service, run by the agent at self.
func New(self frame.Host, service string, options ...Option) *Controller {
	h := &Controller{
		self:         self,
		service:      spec.NewServiceID(service),
		flows:        map[link.Key]*flow{},
		openings:     map[link.Key]*flow{},
		endedFlows:   map[link.Key]*flow{},
		deniedFlows:  map[link.Key]time.Time{},
		remoteOwners: map[link.Key]remoteOwner{},
		ownerLookups: map[link.Key]ownerLookup{},
		queue:        map[link.Key]*queueEntry{},
		serviceTime:  initialServiceTime,
	}
	h.endpoint.slots = 1
	h.endpoint.registered = true
	h.endpoint.reportInterval = defaultReportInterval
	for _, o := range options {
		o(h)
	}
	return h
}

// Step processes one event. The returned actions are valid until the next call.
func (h *Controller) Step(now time.Time, e Event) []Action {
	h.actions = h.actions[:0]
	h.runEvacuation(now)
	switch e := e.(type) {
	case PacketForEndpoint:
		h.handlePacketForEndpoint(now, e)
	case PacketFromEndpoint:
		h.handlePacketFromEndpoint(now, e)
	case PacketBounced:
		h.handleBounce(now, e)
	case OwnerAnnounced:
		h.storeRemoteOwner(now, e.Owner)
	case OwnerQueried:
		h.answerOwnerQuery(e.OwnerQuery)
	case OwnersQueried:
		h.answerOwnerBatch(e.OwnerBatch)
	case ReportReceived:
		h.handleReport(now, e.Report)
	case EndpointStopped:
		h.handleEndpointStopped(now, e.ID)
	case StopAccepting:
		h.endpoint.leaving = true
	case StateRemembered:
		h.restoreState(e)
	case RegistrationKnown:
		h.handleRegistration(now, e.Status)
	case BalancerFound:
		h.awaitRegistration(now)
	case EndpointUnreachable:
		h.handleUnreachable(e)
	case EvacuationsReceived:
		h.handleEvacuations(now, &e.Evacuations)
	case Tick:
		h.handleTick(now)
	}
	h.serveQueue(now)
	h.shedQueued(now)
	h.checkSuspicion(now)
	return h.actions
}

func (h *Controller) emit(a Action) {
	h.actions = append(h.actions, a)
}

// Load returns the load report for balancers, without the fields that only the process
// knows: its identifier, failure domain, sequence number and report interval.
func (h *Controller) Load(now time.Time) frame.LoadReport {
	e := &h.endpoint
	return frame.LoadReport{
		Host:    h.self,
		Service: h.service,
		State:   e.state(),
		Proven:  e.proven,
		Refuses: e.refusedOpening && !e.reported,

		Registered:        e.registered,
		WantsRegistration: !e.registered && !e.gone,
		EndpointEnded:     e.endedRegistered,
		EndpointAbsent:    e.absent(),

		StartedAt: e.startedAt,
		Slots:     e.slots,
		InUse:     uint16(min(h.inUse+len(h.queue), 0xffff)),
		Average:   uint16(min(h.averageLoad*roster.LoadUnit, 0xffff)),
		Flows:     uint16(min(h.openFlows, 0xffff)),
		ColdMS:    uint16(max(0, min(e.coldUntil.Sub(now).Milliseconds(), 0xffff))),

		Evacuations:    h.evacuationVersion(now),
		Refusals:       uint16(min(e.health.Refusals(now), 0xffff)),
		ServiceTimeMS:  h.serviceTimeMS(),
		AnswersBatches: true,
	}
}

// InUse returns the number of requests and accepted SYNs that the endpoint works on.
func (h *Controller) InUse() int {
	return h.inUse
}

// SawAllFlows reports whether the flow table has every flow that the endpoint may hold, so
// that the endpoint need not be asked whether it holds an unknown one.
func (h *Controller) SawAllFlows() bool {
	return h.endpoint.sawAllFlows
}

// Flows returns the number of known flows.
func (h *Controller) Flows() int {
	return len(h.flows)
}

// storeRemoteOwner records the owner of a flow whose home is this agent.
func (h *Controller) storeRemoteOwner(now time.Time, o frame.Owner) {
	if o.Host == h.self || len(h.remoteOwners) >= maxRemoteOwners {
		return
	}
	h.remoteOwners[o.Key] = remoteOwner{
		owner:     o,
		keepUntil: now.Add(remoteOwnerTTL),
	}
}

func (h *Controller) handleTick(now time.Time) {
	h.endpoint.health.Tick(now)
	h.checkRegistration(now)
	h.expireDeliveries(now)
	h.expireAcceptedOpenings(now)
	h.queueChanged = true
	if !h.lastTickAt.IsZero() {
		weight := min(1, float64(now.Sub(h.lastTickAt))/float64(loadAveragePeriod))
		h.averageLoad += (float64(h.inUse) - h.averageLoad) * weight
	}
	h.lastTickAt = now
	if now.Before(h.nextSweepAt) {
		return
	}
	h.nextSweepAt = now.Add(sweepInterval)
	h.removeExpired(now)
}

// acceptedOpening is a flow whose SYN the endpoint answered.
type acceptedOpening struct {
	key        link.Key
	acceptedAt time.Time
}

// expireAcceptedOpenings frees the slots of accepted flows whose callers sent no request
// in time.
func (h *Controller) expireAcceptedOpenings(now time.Time) {
	for len(h.acceptedOpenings) > 0 && now.After(h.acceptedOpenings[0].acceptedAt.Add(firstRequestTimeout)) {
		a := h.acceptedOpenings[0]
		h.acceptedOpenings = h.acceptedOpenings[1:]
		if f, ok := h.flows[a.key]; ok && f.phase == phaseAccepted && f.phaseAt.Equal(a.acceptedAt) {
			h.setPhase(f, phaseIdle)
		}
	}
}

// sweepInterval is the interval at which expired flows, owner lookups and owners are
// removed.
const sweepInterval = 60 * time.Millisecond

func (h *Controller) removeExpired(now time.Time) {
	h.openFlows = 0
	for k, f := range h.flows {
		if f.initialKnown && f.fins == 0 && !f.unverified {
			h.openFlows++
		}
		switch {
		case now.After(f.keepUntil):
			h.removeFlow(k, f)
			if f.initialKnown && f.fins != finCaller|finEndpoint {
				// The endpoint may still hold the flow.
				h.endpoint.sawAllFlows = false
			}
		case h.isOverdue(now, f):
			f.overdue = true
			h.endpoint.times.Failed()
		case f.phase == phaseBusy && now.After(f.phaseAt.Add(requestTimeout)):
			h.setPhase(f, phaseIdle)
		}
	}
	for k, o := range h.openings {
		if now.After(o.keepUntil) {
			h.setPhase(o, phaseIdle)
			delete(h.openings, k)
		}
	}
	maps.DeleteFunc(h.ownerLookups, func(_ link.Key, l ownerLookup) bool { return now.After(l.keepUntil) })
	maps.DeleteFunc(h.endedFlows, func(_ link.Key, f *flow) bool { return now.After(f.keepUntil) })
	maps.DeleteFunc(h.deniedFlows, func(_ link.Key, keepUntil time.Time) bool { return now.After(keepUntil) })
	maps.DeleteFunc(h.remoteOwners, func(_ link.Key, o remoteOwner) bool { return now.After(o.keepUntil) })
}
