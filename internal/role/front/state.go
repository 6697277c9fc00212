package front

import (
	"fmt"
	"time"

	"github.com/clementinewing/clementinewing/internal/edge/meter"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// Sample gives the counters for metrics.
func (f *Front) Sample() meter.Sample {
	return meter.Sample{
		Levels: []meter.Level{
			{
				Name:  "endpoints",
				Value: float64(len(f.member.Snapshot())),
			},
			{
				Name:  "balancers",
				Value: float64(len(f.member.Balancers())),
			},
		},
	}
}

// State gives what `show` prints.
func (f *Front) State() meter.State {
	f.mutex.Lock()
	file, endpoints := f.file, f.endpoints
	f.mutex.Unlock()
	s := meter.State{
		Role:     "balancer",
		Name:     f.settings.Name,
		Place:    f.settings.Place.String(),
		Now:      time.Now(),
		Started:  f.started,
		FileName: file.Name,
	}
	for _, e := range endpoints {
		s.Endpoints = append(s.Endpoints, f.endpoint(e))
	}
	for _, b := range f.member.Balancers() {
		s.Links = append(s.Links, meter.Link{
			Peer:  fmt.Sprintf("%s at %s", b.Upstream, b.Agent),
			State: b.State.String(),
		})
	}
	return s
}

func (f *Front) endpoint(e node.Endpoint) meter.Endpoint {
	return meter.Endpoint{
		Service:     f.serviceName(e),
		Upstream:    e.Upstream,
		Agent:       e.Agent.String(),
		Incarnation: fmt.Sprintf("%016x", uint64(e.Incarnation)),
		Place:       e.Place.String(),
		State:       e.State.String(),
		Weight:      e.Weight,
		Sequence:    e.Sequence,
	}
}

func (f *Front) serviceName(e node.Endpoint) string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for i := range f.file.Services {
		if f.file.Services[i].Pact.ID == e.Service {
			return f.file.Services[i].Pact.Name
		}
	}
	return fmt.Sprintf("unknown %016x", uint64(e.Service))
}
