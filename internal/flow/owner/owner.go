// Package owner implements the flow table of an endpoint: it decides which packets
// belong to the endpoint's flows, which new flows it admits and where all other
// packets are forwarded.
//
// A Table is a pure state machine: Step takes the current time and an event and
// appends the resulting actions. It has no lock, clock or socket; the agent provides
// them.
package owner

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/flow/admit"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// Defaults of a Table.
const (
	defaultConnectTimeout = 3 * time.Second
	// defaultQueueTimeout is shorter than a caller's initial retransmission timeout
	// (RFC 6298: 1 s). Otherwise another endpoint could admit the retransmitted SYN
	// while the first one is still queued here.
	defaultQueueTimeout     = 900 * time.Millisecond
	defaultHandshakeTimeout = 30 * time.Second
	defaultLingerTTL        = 30 * time.Second
	defaultIdleTimeout      = 60 * time.Second
	defaultResetDelay       = 5 * time.Second
	defaultMaxLingering     = 65536
	maxUnowned              = 4096
	defaultMaxFlows         = 2000
	hintInterval            = time.Second
	// maxTickGap is the longest gap between two ticks of a running process; a longer
	// one means that the process was paused. Openings are then dropped for
	// resumeDelay, because those read first may have been queued in the socket for
	// the whole pause.
	maxTickGap  = time.Second
	resumeDelay = 500 * time.Millisecond
)

// AdmissionController admits flows according to the load of the upstream. It is
// implemented by *admit.Controller.
type AdmissionController interface {
	Decide(now time.Time, a admit.Request) admit.Decision
	Admit(now time.Time)
	Enqueue(w admit.Waiter)
	DequeueReady(now time.Time) (w admit.Waiter, ok bool)
	RemoveWaiter(key link.Key) bool
	BeginWork(now time.Time)
	EndWork(now time.Time)
	RecordAnswer(now, requested time.Time)
	Release(now time.Time, o admit.Outcome)
	Drain(now, deadline time.Time)
}

// Table tracks the flows of one agent, or of one shard of an agent.
type Table struct {
	service          spec.ServiceID
	incarnation      node.Incarnation
	controller       AdmissionController
	connectTimeout   time.Duration
	queueTimeout     time.Duration
	handshakeTimeout time.Duration
	lingerTTL        time.Duration
	idleTimeout      time.Duration
	maxLingering     int

	flows             map[link.Key]*flow
	live              []*flow
	ended             []*flow
	stateCounts       [stateCount]int
	lastSerial        uint64
	silentTurn        int
	unowned           unownedPackets
	drainState        drainState
	lastTickAt        time.Time
	dropOpeningsUntil time.Time
	counts            Counts
}

// Option configures a Table.
type Option func(*Table)

// WithIdentity sets the service and the incarnation of this endpoint. Packets
// addressed to another one are forwarded.
func WithIdentity(s spec.ServiceID, i node.Incarnation) Option {
	return func(t *Table) {
		t.service = s
		t.incarnation = i
	}
}

// WithAdmissionController sets the admission controller for new flows. The default
// admits up to defaultMaxFlows flows.
func WithAdmissionController(c AdmissionController) Option {
	return func(t *Table) {
		t.controller = c
	}
}

// WithTimeouts sets how long the connection to the upstream may take, and how long
// the caller may take to complete the handshake.
func WithTimeouts(connect, handshake time.Duration) Option {
	return func(t *Table) {
		t.connectTimeout = connect
		t.handshakeTimeout = handshake
	}
}

// WithLingerTTL sets how long ended flows are remembered, and how many of them at
// most.
func WithLingerTTL(ttl time.Duration, maxFlows int) Option {
	return func(t *Table) {
		t.lingerTTL = ttl
		t.maxLingering = maxFlows
	}
}

// WithIdleTimeout sets the time without packets after which a datagram flow is
// aborted.
func WithIdleTimeout(timeout time.Duration) Option {
	return func(t *Table) {
		t.idleTimeout = timeout
	}
}

// WithResetDelay sets for how long a packet that every candidate denied must be
// retransmitted before it is answered with a reset. It must exceed the time until
// all balancers know a new endpoint.
func WithResetDelay(delay time.Duration) Option {
	return func(t *Table) {
		t.unowned.resetDelay = delay
	}
}

// New returns an empty Table.
func New(options ...Option) *Table {
	t := &Table{
		controller: admit.New(admit.Limits{
			Slots:       defaultMaxFlows,
			Connections: defaultMaxFlows,
		}),
		connectTimeout:   defaultConnectTimeout,
		queueTimeout:     defaultQueueTimeout,
		handshakeTimeout: defaultHandshakeTimeout,
		lingerTTL:        defaultLingerTTL,
		idleTimeout:      defaultIdleTimeout,
		maxLingering:     defaultMaxLingering,
		flows:            map[link.Key]*flow{},
		unowned: unownedPackets{
			resetDelay: defaultResetDelay,
			seen:       map[link.Key]unownedPacket{},
		},
	}
	for _, o := range options {
		o(t)
	}
	return t
}

// Step processes one event and appends the resulting actions to out, in the order
// in which they must be performed. A Tick is expected at least twice a second; a gap
// above maxTickGap means that the process was paused. PacketForEndpoint and
// PacketFromEndpoint may be passed by pointer, so that one value can be reused for all
// packets without allocation.
func (t *Table) Step(now time.Time, e Event, out []Action) []Action {
	if !t.lastTickAt.IsZero() && now.Sub(t.lastTickAt) > maxTickGap {
		t.resumeAfterPause(now)
	}
	switch e := e.(type) {
	case *PacketForEndpoint:
		return t.handlePacketForEndpoint(now, e, out)
	case PacketForEndpoint:
		return t.handlePacketForEndpoint(now, &e, out)
	case UpstreamConnected:
		return t.handleUpstreamConnected(now, e, out)
	case UpstreamFailed:
		return t.handleUpstreamFailed(now, e, out)
	case *PacketFromEndpoint:
		t.handlePacketFromEndpoint(now, &e.Packet)
		return out
	case PacketFromEndpoint:
		t.handlePacketFromEndpoint(now, &e.Packet)
		return out
	case FlowEnded:
		return t.handleFlowEnded(now, e, out)
	case Drain:
		return t.startDrain(now, e.Deadline, out)
	case Tick:
		return t.handleTick(now, out)
	default:
		return out
	}
}

// Counts returns a snapshot of the counters.
func (t *Table) Counts() Counts {
	c := t.counts
	c.Queued = t.stateCounts[queued]
	c.Connecting = t.stateCounts[connecting]
	c.HalfOpen = t.stateCounts[halfOpen]
	c.Open = t.stateCounts[open] + t.stateCounts[closing]
	c.Lingering = t.stateCounts[lingering]
	return c
}

// HasAccepted reports whether the flow was accepted and has not ended, so that the stack
// may be given its packets.
func (t *Table) HasAccepted(key link.Key) bool {
	f := t.flows[key]
	return f != nil && f.state.isAccepted()
}

func (t *Table) drop(r Reason, out []Action) []Action {
	t.counts.Reasons[r]++
	return append(out, dropActions[r])
}

// dropActions holds one preallocated Drop for each Reason, so that dropping a packet
// does not allocate.
var dropActions = func() (all [reasonCount]Action) {
	for r := range all {
		all[r] = Drop{
			Reason: Reason(r),
		}
	}
	return all
}()
