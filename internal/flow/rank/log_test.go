package rank

import (
	"math"
	"math/rand/v2"
	"testing"
)

// TestNegLog2 checks that negLog2 never increases with x, or else equal weights would lose
// the order of their hashes, and that it stays close to the logarithm, or else the shares
// would be wrong.
func TestNegLog2(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	for range 200_000 {
		x := random.Uint64()>>random.IntN(20) | 1
		got := float64(negLog2(x)) / (1 << scaleBits)
		want := 64 - math.Log2(float64(x))
		if math.Abs(got-want) > 0.002*want+2.0/(1<<scaleBits) {
			t.Fatalf("-log2 of %d / 2^64 is %v, want %v", x, got, want)
		}
		if x > 1 && negLog2(x-1) < negLog2(x) {
			t.Fatalf("-log2 increases at %d", x)
		}
	}
}

const tableChecksum = 0x948fd2c172395eb3

// TestTableIsTheSameOnEveryNode pins the table, which must be identical on every node.
func TestTableIsTheSameOnEveryNode(t *testing.T) {
	var sum uint64
	for i, piece := range segments {
		sum = sum*31 + uint64(piece.base)
		sum = sum*31 + uint64(piece.delta)
		got := float64(piece.base) / (1 << scaleBits)
		if want := math.Log2(1 + float64(i)/256); math.Abs(got-want) > 1.0/(1<<scaleBits) {
			t.Fatalf("log2 of 1 + %d/256 is %v, want %v", i, got, want)
		}
	}
	if sum != tableChecksum {
		t.Fatalf("checksum of the table is %#x, want %#x", sum, uint64(tableChecksum))
	}
}
