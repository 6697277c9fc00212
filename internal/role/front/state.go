package front

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/clementinewing/clementinewing/internal/board/adopt"
	"github.com/clementinewing/clementinewing/internal/board/head"
	"github.com/clementinewing/clementinewing/internal/edge/meter"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// Sample returns the counters for metrics.
func (f *Balancer) Sample() meter.Sample {
	counts := f.entry.Counts()
	sample := meter.Sample{
		Levels: []meter.Level{
			{
				Name:  "endpoints",
				Value: float64(len(f.member.Snapshot())),
			},
			{
				Name:  "balancers",
				Value: float64(len(f.member.Balancers())),
			},
			{
				Name:  "silent_side_processes",
				Value: float64(counts.Links.Silent),
			},
		},
	}
	counts.Each(func(name string, value uint64) {
		sample.Totals = append(sample.Totals, meter.Total{
			Name:   "packets",
			Reason: name,
			Value:  value,
		})
	})
	return sample
}

// State returns the state that `show` prints.
func (f *Balancer) State() meter.State {
	f.mutex.Lock()
	endpoints := f.endpoints
	f.mutex.Unlock()
	s := meter.State{
		Role:    "balancer",
		Name:    f.settings.Name,
		Place:   f.settings.Place.String(),
		Now:     time.Now(),
		Started: f.started,
		Reasons: f.refusals.reasons(),
	}
	counts := f.entry.Counts()
	counts.Each(func(name string, value uint64) {
		s.Reasons = append(s.Reasons, f.tracker.Reason(name, value))
	})
	if h := f.follower.ActiveFile(); h != nil {
		s.Revision = h.Revision()
		s.FileName = h.File.Name
		s.FileSource = h.Record.Proposal.Operator
	}
	for _, e := range endpoints {
		s.Endpoints = append(s.Endpoints, f.endpointState(e))
	}
	for _, b := range f.member.Balancers() {
		s.Links = append(s.Links, meter.Link{
			Peer:  fmt.Sprintf("%s at %s", b.Upstream, b.Agent),
			State: b.State.String(),
		})
	}
	return s
}

func (f *Balancer) endpointState(e node.Endpoint) meter.Endpoint {
	return meter.Endpoint{
		Suspected:   f.suspicionOf(e),
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

// suspicionOf returns why an endpoint is moved to the end of candidate lists, or an
// empty text.
func (f *Balancer) suspicionOf(e node.Endpoint) string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.silent[e.Agent] {
		return "answers no probes"
	}
	return ""
}

func (f *Balancer) serviceName(e node.Endpoint) string {
	services := f.File().Services
	for i := range services {
		if services[i].Spec.ID == e.Service {
			return services[i].Spec.Name
		}
	}
	return fmt.Sprintf("unknown %016x", uint64(e.Service))
}

// refusals counts the refused revisions by reason.
type refusals struct {
	mutex  sync.Mutex
	counts map[head.Reason]meter.Reason
}

func (r *refusals) add(a adopt.CountRefusal) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.counts == nil {
		r.counts = map[head.Reason]meter.Reason{}
	}
	c := r.counts[a.Reason]
	r.counts[a.Reason] = meter.Reason{
		Name:  "revision_" + string(a.Reason),
		Count: c.Count + 1,
		Last:  time.Now(),
	}
}

func (r *refusals) reasons() (out []meter.Reason) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, reason := range slices.Sorted(maps.Keys(r.counts)) {
		out = append(out, r.counts[reason])
	}
	return out
}
