// Package watch decides from a balancer's own links whether an endpoint still
// answers. Silence on a link first means a new link, then a suspicion, which
// keeps the endpoint from new flows but not from those it may own; absence is
// left to the leases. An answer overrules both at once, so that a false
// suspicion costs little.
package watch

import (
	"cmp"
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/fleet/lease"
)

const (
	// ProbeInterval is the time between probes of an endpoint that is in use and
	// answers.
	ProbeInterval = 2 * time.Second
	// ProbeLife is how long an answer to a probe is awaited.
	ProbeLife = 250 * time.Millisecond
	// maxSilent is how many probes in a row stay unanswered before a suspicion.
	maxSilent = 4
	// SuspectInterval is the time between probes of a suspect endpoint.
	SuspectInterval = time.Second
	// UseLife is how long an endpoint is watched after it was last used.
	UseLife = 5 * time.Second
	// TrustLife is how long an answer overrules a lapsed lease.
	TrustLife = 4 * time.Second
	// WakeSlack is how late a tick may come before the balancer counts as paused.
	WakeSlack = 500 * time.Millisecond
	// MaxProbes bounds the probes of one tick. Where more endpoints are in use
	// than that allows for, they wait longer for their turn.
	MaxProbes = 5
)

// Watch is the state machine over the endpoints that a balancer uses. It is not
// safe for concurrent use.
type Watch struct {
	entries map[lease.Key]*entry
	due     time.Time
}

// entry is what is known of one endpoint.
type entry struct {
	// used is until when the endpoint counts as in use.
	used time.Time
	// trusted is until when its last answer overrules its lease.
	trusted time.Time
	// probe is when the next probe is due, or the present one counts as lost.
	probe   time.Time
	health  lease.Health
	waiting bool
	silent  int
	suspect bool
}

// Event is one of Tick, Used, Answered, Judged and Left.
type Event interface{ event() }

// Tick tells that time has passed.
type Tick struct{}

// Used tells that a packet was handed to the endpoint.
type Used struct {
	Key lease.Key
}

// Answered tells that a datagram came from the endpoint.
type Answered struct {
	Key lease.Key
}

// Judged tells what the leases say of the endpoint.
type Judged struct {
	Key    lease.Key
	Health lease.Health
}

// Left tells that the endpoint is gone.
type Left struct {
	Key lease.Key
}

func (Tick) event()     {}
func (Used) event()     {}
func (Answered) event() {}
func (Judged) event()   {}
func (Left) event()     {}

// Action is one of Probe and Turned.
type Action interface{ action() }

// Probe asks for a probe to be sent; Fresh asks for a new link, from another
// source port.
type Probe struct {
	Key   lease.Key
	Fresh bool
}

// Turned tells that the suspicion of an endpoint began or ended.
type Turned struct {
	Key     lease.Key
	Suspect bool
}

func (Probe) action()  {}
func (Turned) action() {}

// New makes a watch over nothing.
func New() *Watch {
	return &Watch{
		entries: map[lease.Key]*entry{},
	}
}

// Len is the number of endpoints watched.
func (w *Watch) Len() int {
	return len(w.entries)
}

// Health joins what the leases and the links say of an endpoint: silence makes a
// live one suspect, a late answer makes any live.
func (w *Watch) Health(now time.Time, key lease.Key, leased lease.Health) lease.Health {
	e := w.entries[key]
	switch {
	case e == nil:
		return leased
	case now.Before(e.trusted):
		return lease.Live
	case e.suspect && leased == lease.Live:
		return lease.Suspect
	default:
		return leased
	}
}

// Step takes one event and tells what is to be done.
func (w *Watch) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Tick:
		return w.tick(now)
	case Used:
		w.use(now, e.Key)
		return nil
	case Answered:
		return w.answered(now, e.Key)
	case Judged:
		return w.judged(now, e)
	case Left:
		delete(w.entries, e.Key)
		return nil
	default:
		return nil
	}
}

func (w *Watch) use(now time.Time, key lease.Key) {
	e := w.entries[key]
	if e == nil {
		e = &entry{
			health: lease.Live,
			probe:  now,
		}
		w.entries[key] = e
	}
	e.used = now.Add(UseLife)
}

func (w *Watch) answered(now time.Time, key lease.Key) []Action {
	e := w.entries[key]
	if e == nil {
		return nil
	}
	before := e.doubted(now)
	e.trusted = now.Add(TrustLife)
	e.silent = 0
	e.waiting = false
	e.suspect = false
	e.probe = now.Add(ProbeInterval)
	if !before {
		return nil
	}
	return []Action{
		Turned{
			Key: key,
		},
	}
}

// judged follows the leases. What they doubt is probed at once, if it is in use:
// else a doubted endpoint would be probed by the whole fleet.
func (w *Watch) judged(now time.Time, j Judged) []Action {
	e := w.entries[j.Key]
	if e == nil {
		return nil
	}
	e.health = j.Health
	if j.Health == lease.Live || e.waiting {
		return nil
	}
	e.waiting = true
	e.probe = now.Add(ProbeLife)
	return []Action{
		Probe{
			Key: j.Key,
		},
	}
}

func (w *Watch) tick(now time.Time) []Action {
	if !w.due.IsZero() && now.After(w.due) {
		w.grace(now)
	}
	w.due = now.Add(WakeSlack)
	var out []Action
	for _, key := range w.ready(now) {
		out = w.advance(now, key, out)
	}
	return out
}

// grace forgets unanswered probes after this balancer itself was paused.
func (w *Watch) grace(now time.Time) {
	for _, e := range w.entries {
		e.silent = 0
		e.waiting = false
		e.probe = now
	}
}

// ready lists the endpoints with something due, the most overdue first, and
// drops those that are no longer of interest.
func (w *Watch) ready(now time.Time) []lease.Key {
	var out []lease.Key
	for key, e := range w.entries {
		if e.idle(now) {
			delete(w.entries, key)
			continue
		}
		if !now.Before(e.probe) {
			out = append(out, key)
		}
	}
	slices.SortFunc(out, func(a, b lease.Key) int {
		return cmp.Or(
			w.entries[a].probe.Compare(w.entries[b].probe),
			cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Incarnation, b.Incarnation),
		)
	})
	return out[:min(len(out), MaxProbes)]
}

// advance takes the endpoint's next step: a probe, one on a new link, or the
// suspicion.
func (w *Watch) advance(now time.Time, key lease.Key, out []Action) []Action {
	e := w.entries[key]
	if e.waiting {
		e.silent++
	}
	if e.silent >= maxSilent && !e.suspect {
		e.suspect = true
		e.trusted = time.Time{}
		out = append(out, Turned{
			Key:     key,
			Suspect: true,
		})
	}
	e.waiting = true
	e.probe = now.Add(ProbeLife)
	if e.suspect || e.health != lease.Live && e.silent > 0 {
		e.probe = now.Add(SuspectInterval)
	}
	return append(out, Probe{
		Key:   key,
		Fresh: e.silent > 0,
	})
}

// idle tells whether the endpoint need not be watched any more.
func (e *entry) idle(now time.Time) bool {
	if e.health == lease.Absent {
		return e.silent >= maxSilent
	}
	return !now.Before(e.used)
}

// doubted tells whether links or leases speak against the endpoint.
func (e *entry) doubted(now time.Time) bool {
	return e.suspect || e.health != lease.Live && !now.Before(e.trusted)
}
