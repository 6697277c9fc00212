// Package route builds the routing snapshot of a balancer from the configuration file
// in force and the announced endpoints.
package route

import (
	"slices"

	"github.com/clementinewing/clementinewing/internal/board/file"
	"github.com/clementinewing/clementinewing/internal/flow/steer"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// Build returns every service of the file with the endpoints that may serve it. An
// endpoint that the file does not allow is left out, whatever it announces.
func Build(f file.File, endpoints []node.Endpoint) steer.Snapshot {
	byService := groupByService(endpoints)
	out := steer.Snapshot{
		Services: make([]steer.Service, 0, len(f.Services)),
	}
	for i := range f.Services {
		p := &f.Services[i].Spec
		out.Services = append(out.Services, steer.Service{
			ID:        p.ID,
			Address:   p.Address,
			Protocol:  p.Protocol,
			Endpoints: allowedEndpoints(f, p, byService[p.ID]),
		})
	}
	return out
}

func groupByService(endpoints []node.Endpoint) map[spec.ServiceID][]node.Endpoint {
	out := map[spec.ServiceID][]node.Endpoint{}
	for _, e := range endpoints {
		out[e.Service] = append(out[e.Service], e)
	}
	return out
}

// allowedEndpoints returns the endpoints that the file allows to serve a service. A
// weight set in the file replaces the announced one.
func allowedEndpoints(f file.File, p *spec.Service, endpoints []node.Endpoint) []node.Endpoint {
	out := make([]node.Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		if len(p.Upstreams) > 0 && !slices.Contains(p.Upstreams, e.Upstream) {
			continue
		}
		if weight, ok := configuredWeight(f, e.Upstream); ok {
			e.Weight = weight
		}
		out = append(out, e)
	}
	return out
}

// configuredWeight returns the weight of an upstream in the file, if it is listed.
func configuredWeight(f file.File, upstream string) (weight uint32, ok bool) {
	i := slices.IndexFunc(f.Upstreams, func(u file.Upstream) bool {
		return u.Name == upstream
	})
	if i < 0 {
		return 0, false
	}
	return f.Upstreams[i].Weight, true
}
