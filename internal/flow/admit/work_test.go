package admit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/flow/admit"
)

var _ = Describe("Work", func() {
	start := time.Unix(0, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

	It("holds a slot from its start to the end of the answer", func() {
		w := admit.NewWork(at(0))
		Expect(w.HoldsSlot()).To(BeTrue())
		Expect(w.Step(at(1), admit.CallerBytes{})).To(Equal(admit.Unchanged))
		Expect(w.Step(at(9), admit.UpstreamBytes{})).To(Equal(admit.AnswerBegan))
		Expect(w.Step(at(12), admit.UpstreamBytes{})).To(Equal(admit.Unchanged))
		Expect(w.Step(at(16), admit.IdleTimeout{})).To(Equal(admit.Unchanged))
		Expect(w.Step(at(17), admit.IdleTimeout{})).To(Equal(admit.WorkEnded))
		Expect(w.Step(at(18), admit.Closed{})).To(Equal(admit.ClosedIdle))
	})

	It("takes no slot for unsolicited bytes of the upstream", func() {
		w := admit.NewWork(at(0))
		Expect(w.Step(at(1000), admit.IdleTimeout{})).To(Equal(admit.WorkEnded))
		Expect(w.Step(at(2000), admit.UpstreamBytes{})).To(Equal(admit.Unchanged))
		Expect(w.HoldsSlot()).To(BeFalse())
		Expect(w.Step(at(3000), admit.CallerBytes{})).To(Equal(admit.WorkBegan))
		Expect(w.Step(at(3001), admit.Closed{})).To(Equal(admit.ClosedActive))
		Expect(w.Step(at(3002), admit.CallerBytes{})).To(Equal(admit.Unchanged))
	})

	It("frees the slot of a stream that is never answered", func() {
		w := admit.NewWork(at(0))
		w.Step(at(5), admit.CallerBytes{})
		Expect(w.Step(w.IdleAt, admit.IdleTimeout{})).To(Equal(admit.WorkEnded))
	})

	It("reports the end of the same work only once", func() {
		w := admit.NewWork(at(0))
		Expect(w.Step(at(1000), admit.IdleTimeout{})).To(Equal(admit.WorkEnded))
		Expect(w.Step(at(2000), admit.IdleTimeout{})).To(Equal(admit.Unchanged))
	})
})
