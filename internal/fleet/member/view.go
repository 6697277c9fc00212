package member

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/fleet/lease"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/pact"
)

// lingerLife is how long an endpoint that was declared absent stays listed as a
// possible owner of flows, so that a home that hears it can overrule in time.
const lingerLife = 10 * time.Second

// view remembers what the table does not: which absences are recent.
type view struct {
	lingers map[lease.Key]time.Time
	changed bool
}

func newView() view {
	return view{
		lingers: map[lease.Key]time.Time{},
	}
}

func (v *view) note(now time.Time, r lease.Record) {
	if r.IsBalancer() {
		return
	}
	v.changed = true
	if r.Health == lease.Absent && r.Endpoint.State != node.Gone {
		v.lingers[r.Key()] = now.Add(lingerLife)
		return
	}
	delete(v.lingers, r.Key())
}

// due tells whether the endpoints have changed, once for each change.
func (n *Node) due(now time.Time) bool {
	v := &n.view
	for key, until := range v.lingers {
		if !now.Before(until) && n.watch.Health(now, key, lease.Absent) != lease.Live {
			delete(v.lingers, key)
			v.changed = true
		}
	}
	changed := v.changed
	v.changed = false
	return changed
}

// Endpoints lists the endpoints that may own flows. One that is suspect or newly
// absent is listed as draining: it keeps its flows and gets no new ones. Where
// that would leave a service without any endpoint for new flows, the suspicion
// is ignored, because it then more likely concerns this balancer.
func (n *Node) Endpoints() []node.Endpoint {
	var out []node.Endpoint
	open := map[pact.ServiceID]bool{}
	n.each(func(r lease.Record) {
		live := n.watch.Health(n.now, r.Key(), r.Health) == lease.Live
		open[r.Endpoint.Service] = open[r.Endpoint.Service] || live && takesFlows(r.Endpoint)
	})
	n.each(func(r lease.Record) {
		live := n.watch.Health(n.now, r.Key(), r.Health) == lease.Live
		if !live && takesFlows(r.Endpoint) && open[r.Endpoint.Service] {
			r.Endpoint.State = node.Draining
		}
		out = append(out, r.Endpoint)
	})
	return out
}

// Doubts tells whether the balancer's own links speak against an endpoint.
func (n *Node) Doubts(key lease.Key) bool {
	return n.watch.Health(n.now, key, lease.Live) != lease.Live
}

// each visits the records of upstreams that are present or linger.
func (n *Node) each(visit func(r lease.Record)) {
	n.table.Each(func(r lease.Record) {
		if !r.IsBalancer() && r.Endpoint.Service != lease.Heads {
			visit(r)
		}
	})
	for key := range n.view.lingers {
		if r, ok := n.table.Lookup(key); ok {
			visit(r)
		}
	}
}

func takesFlows(e node.Endpoint) bool {
	return e.State == node.Joining || e.State == node.Serving
}
