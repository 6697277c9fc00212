package rank_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/clementinewing/clementinewing/internal/flow/rank"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

func endpoints(random *rand.Rand, weights ...uint32) []node.Endpoint {
	list := make([]node.Endpoint, 0, len(weights))
	for _, w := range weights {
		list = append(list, node.Endpoint{
			Incarnation: node.Incarnation(random.Uint64()),
			Weight:      w,
		})
	}
	return list
}

func incarnations(hash uint64, list []node.Endpoint) []node.Incarnation {
	var out []node.Incarnation
	for _, i := range rank.List(hash, list, nil) {
		out = append(out, list[i].Incarnation)
	}
	return out
}

var _ = Describe("List", func() {
	It("ranks endpoints first in proportion to their weights", func() {
		random := rand.New(rand.NewPCG(1, 0))
		list := endpoints(random, 1, 2, 3, 4)
		table := rank.NewTable(list)
		const flows = 200_000
		var first [4]float64
		var order []int
		for range flows {
			order = table.List(random.Uint64(), order[:0])
			first[order[0]]++
		}
		for i, count := range first {
			want := flows * float64(i+1) / 10
			// 2.7 % is four standard deviations of the smallest share.
			Expect(count).To(BeNumerically("~", want, want*0.027))
		}
	})

	It("does not depend on the order of the input, and keeps the order of the others when an endpoint leaves", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
			weights := rapid.SliceOfN(rapid.Uint32Range(0, 1000), 2, rank.MaxCandidates).Draw(t, "weights")
			list := endpoints(random, weights...)
			hash := random.Uint64()
			before := incarnations(hash, list)
			random.Shuffle(len(list), func(i, j int) {
				list[i], list[j] = list[j], list[i]
			})
			if !slices.Equal(before, incarnations(hash, list)) {
				t.Fatal("the list depends on the order of the input")
			}
			left := list[0].Incarnation
			want := slices.DeleteFunc(before, func(i node.Incarnation) bool { return i == left })
			if !slices.Equal(want, incarnations(hash, list[1:])) {
				t.Fatal("an endpoint that leaves changes the order of the others")
			}
		})
	})

	It("is ordered by cost and bounded", func() {
		random := rand.New(rand.NewPCG(3, 0))
		list := endpoints(random, slices.Repeat([]uint32{5, 7}, 20)...)
		order := rank.List(9, list, nil)
		Expect(order).To(HaveLen(rank.MaxCandidates))
		Expect(slices.IsSortedFunc(order, func(a, b int) int {
			if rank.Cost(9, list[a]) < rank.Cost(9, list[b]) {
				return -1
			}
			return 1
		})).To(BeTrue())
		for i := range list {
			if !slices.Contains(order, i) {
				Expect(rank.Cost(9, list[i])).To(BeNumerically(">=", rank.Cost(9, list[order[15]])))
			}
		}
	})
})

func BenchmarkList(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 0))
	table := rank.NewTable(endpoints(random, 1, 1, 2, 1, 3, 1, 1))
	var order []int
	b.ReportAllocs()
	for b.Loop() {
		order = table.List(random.Uint64(), order[:0])
	}
}
