package even_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/relay/even"
)

var _ = Describe("Load", func() {
	now := time.UnixMilli(0).UTC()
	report := even.Report{
		Use:         2,
		Average:     1.5,
		Slots:       3,
		ServiceTime: 50 * time.Millisecond,
	}

	// All balancers would send their SYNs to an endpoint that was idle at its report.
	It("uses the average of a report of spare slots", func() {
		var l even.Load
		idle := report
		idle.Use = 0
		l.ApplyReport(now, idle)
		Expect(l.Estimate(now)).To(Equal(1.5))
	})

	It("uses reported work beyond the slots until it is done", func() {
		var l even.Load
		busy := report
		busy.Use = 9
		l.ApplyReport(now, busy)
		Expect(l.Estimate(now)).To(Equal(7.5))
		Expect(l.Estimate(now.Add(time.Second))).To(BeNumerically("~", 1.5, 0.01))
	})

	// Without this, a balancer whose reports stop keeps placing by what it learned last.
	It("decays to the average when nothing more is learned", func() {
		for _, learn := range []func(l *even.Load){
			func(l *even.Load) { l.ApplyUse(now, 0) },
			func(l *even.Load) { l.ApplyUse(now, 6) },
			func(l *even.Load) { l.ApplyFull(now) },
			func(l *even.Load) { l.ApplySent(now) },
		} {
			var l even.Load
			l.ApplyReport(now, report)
			learn(&l)
			Expect(l.Estimate(now)).NotTo(Equal(1.5))
			Expect(l.Estimate(now.Add(time.Second))).To(BeNumerically("~", 1.5, 0.01))
		}
	})

	It("counts the balancer's own SYNs until the next report", func() {
		var l even.Load
		l.ApplyReport(now, report)
		l.ApplySent(now)
		l.ApplySent(now)
		Expect(l.Estimate(now)).To(Equal(3.5))
		l.ApplyReport(now, report)
		Expect(l.Estimate(now)).To(Equal(1.5))
	})

	It("keeps a larger load than the slots when a SYN is passed on", func() {
		var l even.Load
		l.ApplyReport(now, report)
		l.ApplyFull(now)
		Expect(l.Estimate(now)).To(Equal(3.0))
		l.ApplyUse(now, 7)
		l.ApplyFull(now)
		Expect(l.Estimate(now)).To(Equal(7.0))
	})
})
