package load

import (
	"strconv"

	"github.com/clementinewing/clementinewing/internal/fake/lossy"
	"github.com/clementinewing/clementinewing/internal/flow/rank"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/zone"
)

// serving are the upstreams that have joined.
func (w *world) serving() []*upstream {
	var out []*upstream
	for _, u := range w.fleet {
		if u.serving() {
			out = append(out, u)
		}
	}
	return out
}

// ranked are the upstreams in the order of the flow's ranked list.
func (w *world) ranked(f *flow) []*upstream {
	serving := w.serving()
	endpoints := make([]node.Endpoint, 0, len(serving))
	for _, u := range serving {
		endpoints = append(endpoints, w.endpoint(u))
	}
	out := make([]*upstream, 0, len(serving))
	for _, i := range rank.List(f.hash, endpoints, nil) {
		out = append(out, serving[i])
	}
	return out
}

func (w *world) endpoint(u *upstream) node.Endpoint {
	return node.Endpoint{
		Incarnation: node.Incarnation(w.trial.Seed<<16 + uint64(u.index)*0x9e3779b97f4a7c15),
		Weight:      1,
		Place: zone.Place{
			Domain: strconv.Itoa(u.index % w.shape.Places),
		},
	}
}

// queueAt gives an opening to an upstream that queues without bound; one that
// sheds turns it away.
func (w *world) queueAt(f *flow, u *upstream) {
	if u.refuses() {
		w.refuse()
		return
	}
	w.accept(f, u)
}

func lane(u *upstream) lossy.Way {
	return lossy.Way{
		From: "balancer",
		To:   strconv.Itoa(u.index),
	}
}
