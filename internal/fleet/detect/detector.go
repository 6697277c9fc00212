// Package detect is a failure detector: it decides from a balancer's own links
// whether an endpoint still answers. An unanswered probe first causes a new link;
// maxUnanswered in a row cause a suspicion. A suspect endpoint gets no new flows but
// keeps those it may own; only the leases make an endpoint absent. An answer refutes
// a suspicion or an absence at once, so that a false suspicion costs little.
package detect

import (
	"cmp"
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/fleet/lease"
)

const (
	// ProbeInterval is the period between probes of an endpoint that is in use and
	// answers.
	ProbeInterval = 2 * time.Second
	// ProbeTimeout is how long an answer to a probe is awaited.
	ProbeTimeout = 250 * time.Millisecond
	// maxUnanswered is the number of unanswered probes in a row that cause a suspicion.
	maxUnanswered = 4
	// SuspectInterval is the period between probes of a suspect endpoint.
	SuspectInterval = time.Second
	// UseTTL is how long an endpoint is probed after it was last used.
	UseTTL = 5 * time.Second
	// TrustTTL is how long an answer overrides an expired lease.
	TrustTTL = 4 * time.Second
	// PauseThreshold is the time since the previous tick after which a tick means that
	// the balancer was paused.
	PauseThreshold = 500 * time.Millisecond
	// MaxProbes limits the probes per tick. If more endpoints are in use than this
	// limit allows for, each is probed less often.
	MaxProbes = 5
)

// Detector is the state machine of the failure detector for the endpoints that a
// balancer uses. It is not safe for concurrent use.
type Detector struct {
	entries      map[lease.Key]*entry
	tickDeadline time.Time
}

// entry is the state of one endpoint.
type entry struct {
	// usedUntil is the time until which the endpoint counts as in use.
	usedUntil time.Time
	// trustedUntil is the time until which its last answer overrides its lease.
	trustedUntil time.Time
	// probeAt is when the next probe is due and the current one counts as unanswered.
	probeAt time.Time
	// health is the health according to the leases.
	health         lease.Health
	awaitingAnswer bool
	unanswered     int
	suspect        bool
}

// Event is one of Tick, EndpointUsed, PacketFromEndpoint, HealthLearned and
// EndpointGone.
type Event interface{ event() }

// Tick is sent at regular intervals to drive timers.
type Tick struct{}

// EndpointUsed reports that a packet was forwarded to the endpoint.
type EndpointUsed struct {
	Key lease.Key
}

// PacketFromEndpoint reports that a datagram arrived from the endpoint.
type PacketFromEndpoint struct {
	Key lease.Key
}

// HealthLearned reports the endpoint's health according to the leases.
type HealthLearned struct {
	Key    lease.Key
	Health lease.Health
}

// EndpointGone reports that the endpoint is gone.
type EndpointGone struct {
	Key lease.Key
}

func (Tick) event()               {}
func (EndpointUsed) event()       {}
func (PacketFromEndpoint) event() {}
func (HealthLearned) event()      {}
func (EndpointGone) event()       {}

// Action is one of Probe and SuspicionChanged.
type Action interface{ action() }

// Probe sends a probe. NewLink asks for a new link, from another source port.
type Probe struct {
	Key     lease.Key
	NewLink bool
}

// SuspicionChanged reports that the suspicion of an endpoint began or ended.
type SuspicionChanged struct {
	Key     lease.Key
	Suspect bool
}

func (Probe) action()            {}
func (SuspicionChanged) action() {}

// New returns a detector without endpoints.
func New() *Detector {
	return &Detector{
		entries: map[lease.Key]*entry{},
	}
}

// Len returns the number of endpoints that are probed.
func (d *Detector) Len() int {
	return len(d.entries)
}

// Health combines the health of an endpoint according to the leases with the state
// of its link: unanswered probes make a live endpoint suspect, a recent answer makes
// any endpoint live.
func (d *Detector) Health(now time.Time, key lease.Key, leaseHealth lease.Health) lease.Health {
	e := d.entries[key]
	switch {
	case e == nil:
		return leaseHealth
	case now.Before(e.trustedUntil):
		return lease.Live
	case e.suspect && leaseHealth == lease.Live:
		return lease.Suspect
	default:
		return leaseHealth
	}
}

// Step handles one event and returns the actions to take.
func (d *Detector) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Tick:
		return d.tick(now)
	case EndpointUsed:
		d.recordUse(now, e.Key)
		return nil
	case PacketFromEndpoint:
		return d.recordAnswer(now, e.Key)
	case HealthLearned:
		return d.applyHealth(now, e)
	case EndpointGone:
		delete(d.entries, e.Key)
		return nil
	default:
		return nil
	}
}

func (d *Detector) recordUse(now time.Time, key lease.Key) {
	e := d.entries[key]
	if e == nil {
		e = &entry{
			health:  lease.Live,
			probeAt: now,
		}
		d.entries[key] = e
	}
	e.usedUntil = now.Add(UseTTL)
}

func (d *Detector) recordAnswer(now time.Time, key lease.Key) []Action {
	e := d.entries[key]
	if e == nil {
		return nil
	}
	wasSuspected := e.suspected(now)
	e.trustedUntil = now.Add(TrustTTL)
	e.unanswered = 0
	e.awaitingAnswer = false
	e.suspect = false
	e.probeAt = now.Add(ProbeInterval)
	if !wasSuspected {
		return nil
	}
	return []Action{
		SuspicionChanged{
			Key: key,
		},
	}
}

// applyHealth takes over the health according to the leases. An endpoint that is
// not live is probed at once, but only if it is in use: otherwise the whole fleet
// would probe every suspect endpoint.
func (d *Detector) applyHealth(now time.Time, j HealthLearned) []Action {
	e := d.entries[j.Key]
	if e == nil {
		return nil
	}
	e.health = j.Health
	if j.Health == lease.Live || e.awaitingAnswer {
		return nil
	}
	e.awaitingAnswer = true
	e.probeAt = now.Add(ProbeTimeout)
	return []Action{
		Probe{
			Key: j.Key,
		},
	}
}

func (d *Detector) tick(now time.Time) []Action {
	if !d.tickDeadline.IsZero() && now.After(d.tickDeadline) {
		d.resetProbes(now)
	}
	d.tickDeadline = now.Add(PauseThreshold)
	var out []Action
	for _, key := range d.dueKeys(now) {
		out = d.probeEndpoint(now, key, out)
	}
	return out
}

// resetProbes clears unanswered probes after this balancer was paused.
func (d *Detector) resetProbes(now time.Time) {
	for _, e := range d.entries {
		e.unanswered = 0
		e.awaitingAnswer = false
		e.probeAt = now
	}
}

// dueKeys returns the endpoints that are due for a probe, the most overdue first,
// at most MaxProbes, and deletes those that need no probes any more.
func (d *Detector) dueKeys(now time.Time) []lease.Key {
	var out []lease.Key
	for key, e := range d.entries {
		if e.expired(now) {
			delete(d.entries, key)
			continue
		}
		if !now.Before(e.probeAt) {
			out = append(out, key)
		}
	}
	slices.SortFunc(out, func(a, b lease.Key) int {
		return cmp.Or(
			d.entries[a].probeAt.Compare(d.entries[b].probeAt),
			cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Incarnation, b.Incarnation),
		)
	})
	return out[:min(len(out), MaxProbes)]
}

// probeEndpoint sends the endpoint's next probe, on a new link if the last one was
// not answered, and suspects the endpoint after maxUnanswered.
func (d *Detector) probeEndpoint(now time.Time, key lease.Key, out []Action) []Action {
	e := d.entries[key]
	if e.awaitingAnswer {
		e.unanswered++
	}
	if e.unanswered >= maxUnanswered && !e.suspect {
		e.suspect = true
		e.trustedUntil = time.Time{}
		out = append(out, SuspicionChanged{
			Key:     key,
			Suspect: true,
		})
	}
	e.awaitingAnswer = true
	e.probeAt = now.Add(ProbeTimeout)
	if e.suspect || e.health != lease.Live && e.unanswered > 0 {
		e.probeAt = now.Add(SuspectInterval)
	}
	return append(out, Probe{
		Key:     key,
		NewLink: e.unanswered > 0,
	})
}

// expired reports whether the endpoint needs no probes any more: an absent one after
// maxUnanswered unanswered probes in a row, any other when it is no longer in use.
func (e *entry) expired(now time.Time) bool {
	if e.health == lease.Absent {
		return e.unanswered >= maxUnanswered
	}
	return !now.Before(e.usedUntil)
}

// suspected reports whether the link or the leases make the endpoint suspect or
// absent.
func (e *entry) suspected(now time.Time) bool {
	return e.suspect || e.health != lease.Live && !now.Before(e.trustedUntil)
}
