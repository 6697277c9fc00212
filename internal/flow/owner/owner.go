// Package owner decides which packets belong to the flows of one side process,
// which new flows it takes and where the others go.
//
// A Table is a state machine: Step takes the time and an event and appends what
// has to be done. It has no lock, clock or socket; whoever holds one brings them.
package owner

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/flow/admit"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/pact"
)

// Defaults of a Table.
const (
	defaultOpening = 3 * time.Second
	// defaultPatience is shorter than a caller's first retransmission (RFC 6298:
	// 1 s), which would have the opening taken a second time elsewhere.
	defaultPatience  = 900 * time.Millisecond
	defaultHandshake = 30 * time.Second
	defaultLinger    = 30 * time.Second
	defaultIdle      = 60 * time.Second
	defaultGrace     = 5 * time.Second
	defaultLingering = 65536
	defaultOrphans   = 4096
	defaultFlows     = 2000
	hintPause        = time.Second
	// pausedAfter is the time between two ticks after which the process must
	// have stood still, wakeHold how long it then takes no openings: what it
	// reads first may have come long ago.
	pausedAfter = time.Second
	wakeHold    = 500 * time.Millisecond
)

// Gate admits flows by the load of the upstream; *admit.Gate is one.
type Gate interface {
	Ask(now time.Time, a admit.Ask) admit.Answer
	Take(now time.Time)
	Wait(w admit.Waiter)
	Ready(now time.Time) (w admit.Waiter, ok bool)
	Forget(key link.Key) bool
	Busy(now time.Time)
	Idle(now time.Time)
	Answered(now, asked time.Time)
	Release(now time.Time, o admit.Outcome)
	Drain(now, deadline time.Time)
}

// Table holds the flows of one side process, or of one shard of it.
type Table struct {
	service     pact.ServiceID
	incarnation node.Incarnation
	gate        Gate
	opening     time.Duration
	patience    time.Duration
	handshake   time.Duration
	linger      time.Duration
	idle        time.Duration
	lingerMax   int

	flows   map[link.Key]*flow
	order   []*flow
	ended   []*flow
	held    [states]int
	serial  uint64
	turn    int
	orphans orphans
	leaving leaving
	ticked  time.Time
	holdFor time.Time
	counts  Counts
}

// Option sets one property of a Table.
type Option func(*Table)

// WithIdentity sets the service and the incarnation that this endpoint answers
// for.
func WithIdentity(s pact.ServiceID, i node.Incarnation) Option {
	return func(t *Table) {
		t.service = s
		t.incarnation = i
	}
}

// WithGate sets who admits new flows. Without one, all that the defaults allow
// are admitted.
func WithGate(g Gate) Option {
	return func(t *Table) {
		t.gate = g
	}
}

// WithDeadlines sets how long an opening may wait for the upstream, and how long
// the caller may take to complete the handshake.
func WithDeadlines(opening, handshake time.Duration) Option {
	return func(t *Table) {
		t.opening = opening
		t.handshake = handshake
	}
}

// WithLinger sets how long, and for how many flows, the end of a flow is
// remembered.
func WithLinger(linger time.Duration, flows int) Option {
	return func(t *Table) {
		t.linger = linger
		t.lingerMax = flows
	}
}

// WithIdle sets after how much silence a datagram flow ends.
func WithIdle(idle time.Duration) Option {
	return func(t *Table) {
		t.idle = idle
	}
}

// WithGrace sets for how long a packet that every candidate denied must come
// again before it is answered with a reset. It has to exceed the time in which
// all balancers learn of a new endpoint.
func WithGrace(grace time.Duration) Option {
	return func(t *Table) {
		t.orphans.grace = grace
	}
}

// New makes an empty Table.
func New(options ...Option) *Table {
	t := &Table{
		gate: admit.New(admit.Limits{
			Slots:       defaultFlows,
			Connections: defaultFlows,
		}),
		opening:   defaultOpening,
		patience:  defaultPatience,
		handshake: defaultHandshake,
		linger:    defaultLinger,
		idle:      defaultIdle,
		lingerMax: defaultLingering,
		flows:     map[link.Key]*flow{},
		orphans: orphans{
			grace: defaultGrace,
			seen:  map[link.Key]orphan{},
		},
	}
	for _, o := range options {
		o(t)
	}
	return t
}

// Step takes one event and appends to out what has to be done, in this order. A
// Tick has to come at least twice a second; a longer gap means that the process
// stood still. Arrived and Answered may be passed by
// reference, so that one of each serves all packets and none is allocated.
func (t *Table) Step(now time.Time, e Event, out []Action) []Action {
	if !t.ticked.IsZero() && now.Sub(t.ticked) > pausedAfter {
		t.wake(now)
	}
	switch e := e.(type) {
	case *Arrived:
		return t.arrived(now, e, out)
	case Arrived:
		return t.arrived(now, &e, out)
	case Connected:
		return t.connected(now, e, out)
	case Failed:
		return t.failed(now, e, out)
	case *Answered:
		t.answered(now, &e.Packet)
		return out
	case Answered:
		t.answered(now, &e.Packet)
		return out
	case Ended:
		return t.finished(now, e, out)
	case Drain:
		return t.drain(now, e.Deadline, out)
	case Tick:
		return t.tick(now, out)
	default:
		return out
	}
}

// Counts gives a snapshot.
func (t *Table) Counts() Counts {
	c := t.counts
	c.Waiting = t.held[waiting]
	c.Connecting = t.held[connecting]
	c.Half = t.held[half]
	c.Open = t.held[open] + t.held[closing]
	c.Lingering = t.held[lingering]
	return c
}

// Holds tells whether the stack may be given packets of the flow.
func (t *Table) Holds(key link.Key) bool {
	f := t.flows[key]
	return f != nil && f.state.isAccepted()
}

func (t *Table) drop(r Reason, out []Action) []Action {
	t.counts.Reasons[r]++
	return append(out, dropped[r])
}

// dropped holds each Drop once, so that dropping allocates nothing.
var dropped = func() (all [reasons]Action) {
	for r := range all {
		all[r] = Drop{
			Reason: Reason(r),
		}
	}
	return all
}()
