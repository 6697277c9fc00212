package load

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/flow/admit"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "load")
}

var _ = Describe("A trial", func() {
	trial := Trial{
		Size:  ServiceSizes()[1],
		Load:  0.7,
		Seed:  1,
		Place: withAdmission(admit.ForwardWhenFull()),
	}

	It("gives the same figures for the same seed", func() {
		Expect(runTrial(trial)).To(Equal(runTrial(trial)))
	})

	It("offers the load of the trial", func() {
		got := runTrial(trial)
		slots := float64(trial.Size.Endpoints * trial.Size.Slots)
		Expect(got.Busy).To(BeNumerically("~", trial.Load*slots, 0.1*slots))
	})

	It("spreads work evenly and refuses nothing while a slot is free", func() {
		limit := trial
		limit.Place = centralQueue
		got := runTrial(trial)
		Expect(got.Slots).To(BeNumerically("<=", slotsBound))
		Expect(got.RefusedWhileFree).To(BeZero())
		Expect(got.Answer).To(BeNumerically("<=", waitBound*runTrial(limit).Answer))
	})

	It("waits longer under plain hashing than in a central queue", func() {
		limit, hash := trial, trial
		limit.Place = centralQueue
		hash.Place = hashed
		Expect(runTrial(hash).Wait).To(BeNumerically(">", 2*runTrial(limit).Wait))
	})
})
