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

var _ = Describe("A run", func() {
	trial := Trial{
		Shape: Shapes()[1],
		Load:  0.7,
		Seed:  1,
		Place: withPolicy(admit.ForwardWhenFull()),
	}

	It("gives the same figures for the same seed", func() {
		Expect(run(trial)).To(Equal(run(trial)))
	})

	It("opens what the load asks for", func() {
		got := run(trial)
		slots := float64(trial.Shape.Endpoints * trial.Shape.Slots)
		Expect(got.Busy).To(BeNumerically("~", trial.Load*slots, 0.1*slots))
	})

	It("spreads work evenly and refuses nothing beside a free slot", func() {
		limit := trial
		limit.Place = centralQueue
		got := run(trial)
		Expect(got.Slots).To(BeNumerically("<=", slotsBound))
		Expect(got.Unfair).To(BeZero())
		Expect(got.Answer).To(BeNumerically("<=", waitBound*run(limit).Answer))
	})

	It("waits longer under plain hashing than in a central queue", func() {
		limit, hash := trial, trial
		limit.Place = centralQueue
		hash.Place = hashed
		Expect(run(hash).Wait).To(BeNumerically(">", 2*run(limit).Wait))
	})
})
