package health_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/relay/health"
)

const (
	tick      = 20 * time.Millisecond
	reportDue = 3400 * time.Millisecond
)

// startTime is any time.
var startTime = time.Unix(0, 0).UTC()

// reportedEndpoint returns an endpoint that has reported at startTime, and a function that lets
// its agent run up to a time after that.
func reportedEndpoint() (e *health.Endpoint, runUntil func(after time.Duration) time.Time) {
	e = &health.Endpoint{}
	e.Reported(startTime, startTime.Add(reportDue))
	ran := time.Duration(0)
	return e, func(after time.Duration) time.Time {
		for ; ran <= after; ran += tick {
			e.Tick(startTime.Add(ran))
		}
		return startTime.Add(after)
	}
}

var _ = Describe("Endpoint", func() {
	It("is a suspect once its reports have stopped, until it accepts a SYN", func() {
		e, runUntil := reportedEndpoint()
		Expect(e.Suspect(runUntil(reportDue - tick))).To(BeFalse())
		now := runUntil(reportDue)
		Expect(e.Suspect(now)).To(BeTrue())
		Expect(e.Refusals(now)).To(Equal(2))
		e.Opened(now)
		Expect(e.Probing(now)).To(BeTrue())
		e.Accepted(now, 3)
		Expect(e.Suspect(now)).To(BeFalse())
		Expect(e.Limit(4)).To(Equal(1))
	})

	It("is no suspect without reports while it answers", func() {
		e, runUntil := reportedEndpoint()
		e.Answered(runUntil(reportDue - tick))
		Expect(e.Suspect(runUntil(reportDue + 900*time.Millisecond))).To(BeFalse())
		Expect(e.Suspect(runUntil(reportDue + 1100*time.Millisecond))).To(BeTrue())
	})

	// Guards against a whole service of suspects after all machines had been stopped.
	It("is no suspect because its agent did not run", func() {
		e, runUntil := reportedEndpoint()
		now := runUntil(time.Second).Add(time.Minute)
		e.Tick(now)
		Expect(e.Suspect(now)).To(BeFalse())
	})
})
