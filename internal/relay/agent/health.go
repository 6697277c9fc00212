package agent

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/admit"
)

// suspicionInterval is the least time between two load reports that are sent early because the
// suspicion of the endpoint has changed. The next regular ones follow a whole interval later, so
// that a flapping endpoint causes hardly any further reports.
const suspicionInterval = 500 * time.Millisecond

// applyStateChange tells balancers at once, and probes the address of an endpoint that did not
// accept a SYN.
func (a *Agent) applyStateChange(x admit.StateChanged) {
	a.logStateChange(x)
	a.sendReportsNow()
	if x.Reason == admit.OpeningUnanswered || x.Reason == admit.EndpointRefused {
		go a.probeEndpoint()
	}
}

// applySuspicion tells balancers at once whether the endpoint is a suspect, and probes the address
// of one that is.
func (a *Agent) applySuspicion(x admit.SuspicionChanged) {
	a.log.Important.Warn().
		Bool("suspect", x.Suspect).
		Int("refusals", x.Refusals).
		Bool("reports_missed", x.ReportsMissed).
		Int("in_use", a.controller.InUse()).
		Msg("endpoint suspicion changed")
	if x.Suspect {
		a.counts.suspicions++
		go a.probeEndpoint()
	}
	now := time.Now()
	if now.Before(a.suspicionAt) {
		if a.reportAt.After(a.suspicionAt) {
			a.reportAt = a.suspicionAt
		}
		return
	}
	a.suspicionAt = now.Add(suspicionInterval)
	a.sendRegularReports(now)
}
