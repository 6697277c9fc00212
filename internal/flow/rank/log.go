package rank

import "math/bits"

const (
	// tableBits is the number of leading bits of a fraction that index the table.
	tableBits = 8
	// scaleBits is the number of fractional bits of a logarithm.
	scaleBits = 26
	// interpolationBits is the number of following bits of the fraction used to interpolate.
	interpolationBits = 24
)

// segment is one linear piece of the logarithm: its value at the start and the
// difference to its end.
type segment struct {
	base  uint32
	delta uint32
}

// segments approximate log2(1 + f) for f from i/256 to (i+1)/256, with scaleBits
// fractional bits.
var segments = makeSegments()

func makeSegments() (table [1 << tableBits]segment) {
	for i := range table {
		table[i].base = log2(i)
		table[i].delta = log2(i+1) - table[i].base
	}
	return table
}

// log2 computes log2(1 + i/256) bit by bit, by repeated squaring. It uses only
// integers, so that every processor computes the same table.
func log2(i int) (log uint32) {
	if i == 1<<tableBits {
		return 1 << scaleBits
	}
	// x is 1 + i/256 with 63 fractional bits.
	x := uint64(1)<<63 | uint64(i)<<(63-tableBits)
	for range scaleBits {
		high, low := bits.Mul64(x, x)
		log <<= 1
		if high>>63 == 1 {
			log++
			x = high
			continue
		}
		x = high<<1 | low>>63
	}
	return log
}

// negLog2 is -log2(x / 2^64) with scaleBits fractional bits, linear within a segment.
// It never increases with x, and its relative error stays below 0.2 % until its
// resolution dominates. x must not be 0.
func negLog2(x uint64) uint64 {
	zeros := uint64(bits.LeadingZeros64(x))
	fraction := x << (zeros & 63) << 1
	s := segments[fraction>>(64-tableBits)]
	offset := fraction << tableBits >> (64 - interpolationBits)
	return (zeros+1)<<scaleBits - uint64(s.base) - uint64(s.delta)*offset>>interpolationBits
}
