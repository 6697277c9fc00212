package load

import (
	"strconv"

	"github.com/clementinewing/clementinewing/internal/fake/lossy"
	"github.com/clementinewing/clementinewing/internal/flow/rank"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/zone"
)

// serving returns the upstreams that have joined.
func (s *simulation) serving() []*upstream {
	var out []*upstream
	for _, u := range s.fleet {
		if u.serving() {
			out = append(out, u)
		}
	}
	return out
}

// ranked returns the upstreams in the flow's ranked order.
func (s *simulation) ranked(f *flow) []*upstream {
	serving := s.serving()
	endpoints := make([]node.Endpoint, 0, len(serving))
	for _, u := range serving {
		endpoints = append(endpoints, s.endpointOf(u))
	}
	out := make([]*upstream, 0, len(serving))
	for _, i := range rank.List(f.hash, endpoints, nil) {
		out = append(out, serving[i])
	}
	return out
}

func (s *simulation) endpointOf(u *upstream) node.Endpoint {
	return node.Endpoint{
		Incarnation: node.Incarnation(s.trial.Seed<<16 + uint64(u.index)*0x9e3779b97f4a7c15),
		Weight:      1,
		Place: zone.Place{
			Domain: strconv.Itoa(u.index % s.size.Domains),
		},
	}
}

// enqueueAt sends an opening to an upstream, whose queue has no limit. An upstream
// that sheds load refuses it.
func (s *simulation) enqueueAt(f *flow, u *upstream) {
	if u.refuses() {
		s.recordRefusal()
		return
	}
	s.accept(f, u)
}

func wayTo(u *upstream) lossy.Direction {
	return lossy.Direction{
		From: "balancer",
		To:   strconv.Itoa(u.index),
	}
}
