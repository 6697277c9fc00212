package member

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/fleet/lease"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// lingerTTL is how long an endpoint stays listed as a possible owner of flows
// after it was declared absent. A home that hears from the endpoint can refute the
// absence within that time.
const lingerTTL = 10 * time.Second

// view tracks the endpoints that became absent recently, which the table does not
// record.
type view struct {
	// lingerUntil is when a recently absent endpoint is no longer listed. An endpoint
	// that still answers this balancer stays listed longer.
	lingerUntil map[lease.Key]time.Time
	// changed is set if the endpoints have changed since the last EndpointsChanged.
	changed bool
}

func newView() view {
	return view{
		lingerUntil: map[lease.Key]time.Time{},
	}
}

// recordHealth notes a new version of an upstream's record.
func (v *view) recordHealth(now time.Time, r lease.Record) {
	if r.IsBalancer() {
		return
	}
	v.changed = true
	if r.Health == lease.Absent && r.Endpoint.State != node.Gone {
		v.lingerUntil[r.Key()] = now.Add(lingerTTL)
		return
	}
	delete(v.lingerUntil, r.Key())
}

// takeChanged reports whether the endpoints have changed since the last call.
func (n *Node) takeChanged(now time.Time) bool {
	v := &n.view
	for key, until := range v.lingerUntil {
		if !now.Before(until) && n.detector.Health(now, key, lease.Absent) != lease.Live {
			delete(v.lingerUntil, key)
			v.changed = true
		}
	}
	changed := v.changed
	v.changed = false
	return changed
}

// Endpoints lists the endpoints that may own flows. A suspect or recently absent
// endpoint is listed as draining: it keeps its flows and gets no new ones. If that
// would leave a service without any endpoint for new flows, the suspicion is
// ignored, because the fault is then more likely on this balancer's side.
func (n *Node) Endpoints() []node.Endpoint {
	var out []node.Endpoint
	hasCandidate := map[spec.ServiceID]bool{}
	n.eachUpstream(func(r lease.Record) {
		live := n.detector.Health(n.now, r.Key(), r.Health) == lease.Live
		hasCandidate[r.Endpoint.Service] = hasCandidate[r.Endpoint.Service] || live && acceptsNewFlows(r.Endpoint)
	})
	n.eachUpstream(func(r lease.Record) {
		live := n.detector.Health(n.now, r.Key(), r.Health) == lease.Live
		if !live && acceptsNewFlows(r.Endpoint) && hasCandidate[r.Endpoint.Service] {
			r.Endpoint.State = node.Draining
		}
		out = append(out, r.Endpoint)
	})
	return out
}

// SuspectsEndpoint reports whether this balancer suspects an endpoint because the
// endpoint does not answer on the balancer's own links.
func (n *Node) SuspectsEndpoint(key lease.Key) bool {
	return n.detector.Health(n.now, key, lease.Live) != lease.Live
}

// eachUpstream visits the records of upstreams that are present or became absent
// within lingerTTL.
func (n *Node) eachUpstream(visit func(r lease.Record)) {
	n.table.EachPresent(func(r lease.Record) {
		if !r.IsBalancer() && r.Endpoint.Service != lease.HeadService {
			visit(r)
		}
	})
	for key := range n.view.lingerUntil {
		if r, ok := n.table.Lookup(key); ok {
			visit(r)
		}
	}
}

// acceptsNewFlows reports whether the endpoint's own state allows new flows.
func acceptsNewFlows(e node.Endpoint) bool {
	return e.State == node.Joining || e.State == node.Serving
}
