// Package plan holds the routes in force on platforms whose operators write them to the
// store, and schedules the polls of the store by the balancers.
package plan

import (
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// Target is the address and port that callers open flows to.
type Target struct {
	Address uint32
	Port    uint16
}

// TargetOf returns the target of a flow.
func TargetOf(k link.Key) Target {
	return Target{
		Address: k.Target,
		Port:    k.TargetPort,
	}
}

// Backend is a service of a route and the weight of its share of the new flows.
type Backend struct {
	Name    string
	Service spec.ServiceID
	Weight  uint32
}

// Route is the configuration of a target: the services that may get its flows.
type Route struct {
	Name     string
	Address  netip.Addr
	Port     uint16
	Contract spec.Contract
	// LatencyTarget is the latency target of the requests; 0 means none.
	LatencyTarget time.Duration
	// Priority is the priority of the requests; 0 is the highest.
	Priority uint8
	// Timeout is how long callers wait for the answer to a request; 0 if unknown.
	Timeout  time.Duration
	Backends []Backend
}

// Service is the configuration of a service.
type Service struct {
	Name string
	// ColdStart is how long an endpoint stays cold after its start.
	ColdStart time.Duration
	// ColdRate is how many requests per second a cold endpoint can serve; 0 means no limit.
	ColdRate float64
}

// ChooseService returns the service of a new flow by weight. The same flow hash gives the
// same service as long as the weights do not change.
func (r *Route) ChooseService(hash uint64) spec.ServiceID {
	total := uint64(0)
	for i := range r.Backends {
		total += uint64(r.Backends[i].Weight)
	}
	if total == 0 {
		return r.Backends[0].Service
	}
	offset := hash % total
	for i := range r.Backends {
		weight := uint64(r.Backends[i].Weight)
		if offset < weight {
			return r.Backends[i].Service
		}
		offset -= weight
	}
	return r.Backends[0].Service
}

// Services returns the services of the route, the one that ChooseService returns for the flow
// hash first.
func (r *Route) Services(hash uint64) (list []spec.ServiceID) {
	list = append(list, r.ChooseService(hash))
	for i := range r.Backends {
		if s := r.Backends[i].Service; !slices.Contains(list, s) {
			list = append(list, s)
		}
	}
	return list
}

// Plan is one version of the routes. It is immutable.
type Plan struct {
	// Version is set by the operators. It increases with each change, also when the store
	// comes back from an older copy.
	Version uint64
	// Revision is set by the store. It tells nothing about the order of two plans, because
	// the store gives revisions out again after it has come back from an older copy.
	Revision uint64
	Routes   map[Target]*Route
	Services map[spec.ServiceID]Service
	// IdleTimeout is how long a flow may be idle before it may be discarded.
	IdleTimeout time.Duration
	// Raw is the plan as stored, for peers that cannot read the store.
	Raw []byte
}

// Active holds the plan in force in this process. It never goes back to an older plan.
type Active struct {
	current atomic.Pointer[Plan]
}

// Current returns the plan in force, or nil.
func (h *Active) Current() *Plan {
	return h.current.Load()
}

// Revision returns the store's revision of the plan in force, or 0 if there is none.
func (h *Active) Revision() uint64 {
	if p := h.current.Load(); p != nil {
		return p.Revision
	}
	return 0
}

// Version returns the version of the plan in force, or 0 if there is none.
func (h *Active) Version() uint64 {
	if p := h.current.Load(); p != nil {
		return p.Version
	}
	return 0
}

// Adopt puts p in force if its version is higher than that of the current plan, or if there
// is none. It reports whether p is now in force.
func (h *Active) Adopt(p *Plan) bool {
	for {
		old := h.current.Load()
		if old != nil && p.Version <= old.Version {
			return false
		}
		if h.current.CompareAndSwap(old, p) {
			return true
		}
	}
}
