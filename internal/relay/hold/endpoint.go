package hold

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/pact"
)

// endpoint is what is known of the endpoint beside this process.
type endpoint struct {
	id       string
	born     uint64
	sequence uint64
	slots    uint16
	// reported tells that it has reported in this process's life.
	reported bool
	draining bool
	// gone tells that it has ended, left that it said so itself.
	gone bool
	left bool
	// leaving tells that this process is to end.
	leaving bool
	// proven tells that something has come from it in this process's life.
	proven bool
	// mute tells that it left an opening unanswered since it was last heard.
	mute bool
	// refuses tells that it returned an opening before its first report, and
	// refusesUntil how long one that has reported is not asked again.
	refuses      bool
	refusesUntil time.Time
	// waits tells that no flow is given to it before its first report.
	waits bool
	// watchedFrom is when this process started, in Unix milliseconds; 0 is unknown.
	watchedFrom uint64
	// complete tells that every flow it may hold has passed this process.
	complete  bool
	coldUntil time.Time
}

// state is what balancers are told.
func (e *endpoint) state() node.State {
	switch {
	case e.gone:
		return node.Gone
	case e.draining || e.leaving:
		return node.Draining
	case e.mute || e.refuses || e.waits && !e.reported:
		return node.Joining
	default:
		return node.Serving
	}
}

// restartLeast is how long at least a side process is away that is started again.
const restartLeast = 150 * time.Millisecond

// startedSince tells whether an endpoint has started with this process or after it, so
// that every flow it holds has passed here: both start together when a VM does, and an
// earlier process would have ended before. The time of day may have been set back
// meanwhile: an endpoint that is no longer cold has started earlier.
func (e *endpoint) startedSince(now time.Time, r Report) bool {
	since := r.Born + uint64(restartLeast.Milliseconds())
	return e.watchedFrom != 0 && since > e.watchedFrom && r.ColdUntil.After(now)
}

func (h *Hold) changed(before node.State, why Reason) {
	if after := h.endpoint.state(); after != before {
		h.add(Changed{
			State: after,
			Why:   why,
		})
	}
}

// reported takes what the endpoint says of itself. Reports of an earlier life and
// reports that were overtaken change nothing.
func (h *Hold) reported(now time.Time, r Report) {
	e := &h.endpoint
	before := e.state()
	if e.born != 0 && r.Born < e.born {
		return
	}
	if e.reported && r.Born == e.born && r.Sequence <= e.sequence {
		return
	}
	if r.Born > e.born {
		h.reborn(r)
	}
	if !e.reported && e.startedSince(now, r) {
		e.complete = true
	}
	if e.left && r.ID == e.id {
		return
	}
	e.gone = false
	e.left = false
	e.id = r.ID
	e.sequence = r.Sequence
	e.slots = max(r.Slots, 1)
	e.draining = r.Draining
	e.coldUntil = r.ColdUntil
	e.reported = true
	e.proven = true
	e.mute = false
	e.refuses = false
	h.service = pact.Identify(r.Service)
	h.changed(before, EndpointReport)
}

// reborn starts over for a new life of the endpoint. Flows of the life before are
// gone; if this process saw that life, it knows every flow of the new one.
func (h *Hold) reborn(r Report) {
	e := &h.endpoint
	if e.reported && e.born != 0 {
		h.forgetFlows()
		h.average = 0
		e.complete = true
	}
	e.born = r.Born
	e.sequence = 0
	e.draining = false
	e.gone = false
	e.left = false
	e.refuses = false
	e.refusesUntil = time.Time{}
}

// forgetFlows drops the flows of an endpoint that has ended, and the requests on them.
func (h *Hold) forgetFlows() {
	clear(h.flows)
	h.inUse = 0
	for key, w := range h.waiting {
		if w.flow != nil {
			delete(h.waiting, key)
		}
	}
}

// refusedFor is how long an endpoint that returned an opening is not given
// another: it is full for about the time that one request takes.
const refusedFor = 60 * time.Millisecond

// rejected notes that the endpoint returned an opening.
func (h *Hold) rejected(now time.Time) {
	e := &h.endpoint
	e.refusesUntil = now.Add(refusedFor)
	if e.reported {
		return
	}
	before := e.state()
	e.refuses = true
	h.changed(before, EndpointRefused)
}

// dead notes that nothing listens where the endpoint was: its flows are gone.
func (h *Hold) dead() {
	e := &h.endpoint
	before := e.state()
	h.forgetFlows()
	e.gone = true
	e.complete = true
	h.changed(before, NotListening)
}

func (h *Hold) left(id string) {
	e := &h.endpoint
	before := e.state()
	if e.reported && e.id != id {
		return
	}
	e.gone = true
	e.left = true
	e.id = id
	h.changed(before, EndpointLeft)
}

// told takes what balancers remember from before this process, until the endpoint
// speaks for itself: one that was leaving is not given new flows.
func (h *Hold) told(t Told) {
	e := &h.endpoint
	if e.reported || t.State != node.Draining && t.State != node.Gone {
		return
	}
	before := e.state()
	e.draining = true
	e.born = max(e.born, t.Born)
	h.changed(before, BalancerMemory)
}

func (h *Hold) mute(why Reason) {
	e := &h.endpoint
	before := e.state()
	e.mute = true
	h.changed(before, why)
}

// heard notes a sign of life of the endpoint.
func (h *Hold) heard() {
	e := &h.endpoint
	if !e.mute && e.proven {
		return
	}
	before := e.state()
	e.mute = false
	e.proven = true
	h.changed(before, EndpointAnswer)
}
