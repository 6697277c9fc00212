package admit

import "time"

// overdueTimeout is how long a request may be in progress without an answer before it counts as
// failed: longer than slow requests take, shorter than callers wait for the answer.
const overdueTimeout = 2 * time.Second

// recordAnswer records that the endpoint answered the request in progress on a flow. One that
// shared the slots says more about the load of the endpoint than about its speed.
func (h *Controller) recordAnswer(now time.Time, f *flow) {
	h.endpoint.health.Answered(now)
	if f.measured && !f.overdue {
		h.endpoint.times.Answered(now.Sub(f.phaseAt))
	}
}

// recordReset records that the endpoint reset a flow, with the request in progress if there is one.
func (h *Controller) recordReset(f *flow) {
	if f.phase == phaseBusy && !f.overdue {
		h.endpoint.times.Failed()
	}
}

// isOverdue reports whether the request in progress on a flow has got no answer for too long.
func (h *Controller) isOverdue(now time.Time, f *flow) bool {
	return f.phase == phaseBusy && !f.overdue && now.After(f.phaseAt.Add(overdueTimeout))
}

// serviceTimeMS returns the value of LoadReport.ServiceTimeMS.
func (h *Controller) serviceTimeMS() uint16 {
	if !h.endpoint.reportsTimes {
		return 0
	}
	return h.endpoint.times.Milliseconds()
}
