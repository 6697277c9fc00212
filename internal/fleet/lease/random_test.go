package lease_test

import (
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/clementinewing/clementinewing/internal/fleet/lease"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/zone"
)

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(1, 1))
}

func drawRecord(t *rapid.T) lease.Record {
	return lease.Record{
		Endpoint: node.Endpoint{
			State:    node.State(rapid.IntRange(1, 4).Draw(t, "state")),
			Weight:   rapid.Uint32Range(0, 1).Draw(t, "weight"),
			Sequence: rapid.Uint64Range(0, 2).Draw(t, "sequence"),
			Upstream: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "upstream"),
		},
		Health: lease.Health(rapid.IntRange(1, 3).Draw(t, "health")),
		Round:  rapid.Uint32Range(0, 1).Draw(t, "round"),
	}
}

var _ = Describe("merging", func() {
	It("is commutative, associative and idempotent", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			a, b, c := drawRecord(t), drawRecord(t), drawRecord(t)
			if lease.Merge(a, b) != lease.Merge(b, a) {
				t.Fatal("not commutative")
			}
			if lease.Merge(a, lease.Merge(b, c)) != lease.Merge(lease.Merge(a, b), c) {
				t.Fatal("not associative")
			}
			if lease.Merge(a, a) != a {
				t.Fatal("not idempotent")
			}
		})
	})
})

var _ = Describe("homes", func() {
	It("are in two failure domains and change only with their balancers", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var balancers []node.Endpoint
			drawn := rapid.SliceOfNDistinct(rapid.Uint64(), 4, 30, rapid.ID).Draw(t, "incarnations")
			for i, incarnation := range drawn {
				balancers = append(balancers, node.Endpoint{
					Incarnation: node.Incarnation(incarnation),
					Place: zone.Place{
						Domain: string(rune('a' + i%3)),
					},
				})
			}
			of := node.Endpoint{
				Incarnation: node.Incarnation(rapid.Uint64().Draw(t, "of")),
			}
			before := lease.Homes(of, balancers, lease.HomeCount)
			if before[0].Place == before[1].Place {
				t.Fatal("both homes are in one failure domain")
			}
			last := balancers[len(balancers)-1]
			after := lease.Homes(of, balancers[:len(balancers)-1], lease.HomeCount)
			if before[0].Incarnation != last.Incarnation && before[0] != after[0] {
				t.Fatal("the first home changed although its balancer stayed")
			}
		})
	})
})
