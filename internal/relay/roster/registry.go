package roster

import (
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// An agent is registered while the member record in the store lists it. Its endpoint takes no
// flow before that, and the record drops an agent only once its endpoint can hold no flow. So a
// balancer that reads the record after the first packet of a flow has arrived knows every agent
// that may hold the flow, whoever has joined or restarted meanwhile.

// registration is an agent in the member record.
type registration struct {
	// keepUntil is until when the agent is kept without a report.
	keepUntil time.Time
	// shownAt is when the latest store call started that has shown the agent in the record.
	shownAt time.Time
}

// RecordContent is what a store call has shown of the member record.
type RecordContent struct {
	Agents []frame.Host
	// CalledAt is when the call started.
	CalledAt time.Time
	// Complete is set if every agent is registered before its endpoint takes a flow and the
	// record is not that of an older copy of the store.
	Complete bool
}

// ApplyRecord applies the content of the member record. It returns the agents in it that have
// not been heard.
func (r *Roster) ApplyRecord(now time.Time, c RecordContent) (missing []frame.Host) {
	registered := make(map[frame.Host]registration, len(c.Agents))
	for _, h := range c.Agents {
		x, known := r.registered[h]
		if !known {
			x.keepUntil = now.Add(agentTTL)
		}
		if c.CalledAt.After(x.shownAt) {
			x.shownAt = c.CalledAt
		}
		registered[h] = x
		if r.ExpectAgent(now, h) {
			missing = append(missing, h)
		}
	}
	r.registered = registered
	if c.Complete && c.CalledAt.After(r.recordCalledAt) {
		r.recordCalledAt = c.CalledAt
	}
	return missing
}

// RecordCalledAt returns when the latest store call started that has shown a complete member
// record, or the zero time.
func (r *Roster) RecordCalledAt() time.Time {
	return r.recordCalledAt
}

// Registered reports whether an agent is registered as far as this balancer knows. For an agent
// that has to be registered anew, only a record counts that was read or written since it said so.
func (r *Roster) Registered(h frame.Host) bool {
	x, shown := r.registered[h]
	s, heard := r.agents[h]
	switch {
	case !heard:
		return shown
	case s.Registered:
		return true
	case s.EndpointEnded:
		return shown && x.shownAt.After(s.unregisteredSince)
	default:
		return shown
	}
}

// mayJoin reports whether the agent has an endpoint as far as it knows.
func (s *Agent) mayJoin() bool {
	return !s.HasNoEndpoint()
}

// HasNoEndpoint reports whether the agent's last report says that its endpoint holds no flow: it
// has ended, or nothing has arrived from it since nothing listened at its address.
func (s *Agent) HasNoEndpoint() bool {
	return s.State == node.Gone || s.EndpointAbsent
}

// neverRegistered reports whether the agent had not been registered at its last report. If it
// was since, a later record lists it.
func (s *Agent) neverRegistered() bool {
	return s.State == node.Joining && s.WantsRegistration && !s.Registered
}

// trackRegistration updates what is known of an agent's registration for a report that is about
// to replace the last one.
func (r *Roster) trackRegistration(now time.Time, s *Agent, l *frame.LoadReport) {
	switch {
	case l.State == node.Gone:
		delete(r.registered, l.Host)
	case l.EndpointEnded:
		if first := !s.EndpointEnded || s.Registered || s.State == node.Gone; first && !l.Registered {
			s.unregisteredSince = now
		}
	default:
		// A restarted agent does not know at first that it is registered.
		l.Registered = l.Registered || s.Registered
	}
}

// awaitingRegistration reports whether an agent waits to be registered, and whether the record
// lists such an agent already, so that it has to be written again.
func (r *Roster) awaitingRegistration() (waits, listed bool) {
	for _, s := range r.all {
		if s.WantsRegistration && s.mayJoin() && !r.Registered(s.Host) {
			waits = true
			if _, ok := r.registered[s.Host]; ok {
				return true, true
			}
		}
	}
	return waits, false
}

// UnregisteredAgents returns the agents that do not know whether they are registered, sorted.
func (r *Roster) UnregisteredAgents() (list []frame.Host) {
	for _, s := range r.all {
		if !s.Registered {
			list = append(list, s.Host)
		}
	}
	return list
}

// AgentsToRecord returns the agents that the member record has to list, sorted: those that it
// lists already and all others that have reported, except for those without an endpoint.
func (r *Roster) AgentsToRecord() (list []frame.Host) {
	for h := range r.registered {
		if _, heard := r.agents[h]; !heard {
			list = append(list, h)
		}
	}
	for h, s := range r.agents {
		_, listed := r.registered[h]
		if listed && s.State != node.Gone || !listed && s.mayJoin() {
			list = append(list, h)
		}
	}
	slices.Sort(list)
	return list
}

// Unreachable returns an agent that may hold flows and cannot be asked, and whether there is
// one: an agent that is registered or known and has not reported lately. One whose last report
// shows that its endpoint holds no flow need not be asked, unless the record lists it.
func (r *Roster) Unreachable(now time.Time) (host frame.Host, found bool) {
	r.expireExpected(now)
	for h := range r.expected {
		return h, true
	}
	for h := range r.registered {
		if _, heard := r.agents[h]; !heard {
			return h, true
		}
	}
	for _, s := range r.all {
		_, listed := r.registered[s.Host]
		if s.absent(now) && !s.HasNoEndpoint() && (listed || !s.neverRegistered()) {
			return s.Host, true
		}
	}
	return 0, false
}

// expireRegistered removes the registered agents that have not been heard for longer than any
// flow may last.
func (r *Roster) expireRegistered(now time.Time) {
	for h, x := range r.registered {
		if _, heard := r.agents[h]; !heard && now.After(x.keepUntil) {
			delete(r.registered, h)
		}
	}
}
