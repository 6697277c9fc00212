package admit

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
)

// An endpoint gets no flow before the member record in the store lists its agent. A balancer
// that starts later, and has never heard the agent, learns from the record that the agent may
// hold flows. While the store is lost, an agent that no balancer knows to be registered serves
// without being registered, because its callers would have to wait for the store otherwise.

const (
	// registrationTimeout is how long an agent waits, after a balancer has told that the store
	// does not answer it, for a balancer that reaches the store: several round trips.
	registrationTimeout = 100 * time.Millisecond
	// unsupportedTimeout is how long an agent waits for its registration after a balancer has
	// answered. Balancers tell the status of the registration with each report, except for
	// those of earlier releases.
	unsupportedTimeout = 3 * time.Second
	// pendingTimeout is how long an agent relies on a balancer that has told that it reaches the
	// store, against others that do not: a few reports.
	pendingTimeout = 2 * time.Second
)

// NeedsRegistration declares that the endpoint gets no flow before this agent is registered.
func NeedsRegistration() Option {
	return func(h *Controller) {
		h.endpoint.registered = false
		h.endpoint.needsRegistration = true
	}
}

// endRegistration is called when the endpoint has ended. Balancers then drop the agent from the
// member record, and another incarnation of the endpoint needs another registration.
func (h *Controller) endRegistration() {
	e := &h.endpoint
	if !e.needsRegistration {
		return
	}
	e.registered = false
	e.endedRegistered = true
	e.unregisteredFrom = time.Time{}
}

// awaitRegistration is called when a balancer has answered.
func (h *Controller) awaitRegistration(now time.Time) {
	if e := &h.endpoint; e.unregisteredFrom.IsZero() {
		e.unregisteredFrom = now.Add(unsupportedTimeout)
	}
}

// handleRegistration applies what a balancer knows of this agent's registration.
func (h *Controller) handleRegistration(now time.Time, s frame.RegistrationStatus) {
	e := &h.endpoint
	if e.registered || e.gone {
		return
	}
	switch s {
	case frame.RegistrationDone:
		before := e.state()
		e.registered = true
		h.emitStateChange(before, Registered)
	case frame.RegistrationImpossible:
		if !e.impossible && !now.Before(e.pendingUntil) {
			e.impossible = true
			e.unregisteredFrom = now.Add(registrationTimeout)
		}
	default:
		// This balancer reaches the store, as far as it knows, and one of those that do sees to
		// the registration.
		e.impossible = false
		e.pendingUntil = now.Add(pendingTimeout)
		e.unregisteredFrom = now.Add(unsupportedTimeout)
	}
}

// checkRegistration lets the endpoint get flows if no balancer can register the agent.
func (h *Controller) checkRegistration(now time.Time) {
	e := &h.endpoint
	if e.registered || e.unregistered || e.unregisteredFrom.IsZero() || now.Before(e.unregisteredFrom) {
		return
	}
	before := e.state()
	e.unregistered = true
	h.emitStateChange(before, Unregistered)
}
