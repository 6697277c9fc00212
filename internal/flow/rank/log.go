package rank

import "math/bits"

const (
	// tableBits is how many leading bits of a fraction index the table.
	tableBits = 8
	// scaleBits is the number of fractional bits of a logarithm.
	scaleBits = 26
	// restBits is how many further bits of the fraction interpolate.
	restBits = 24
)

// segment is one piece of the logarithm: its value at the start and its rise.
type segment struct {
	base uint32
	rise uint32
}

// segments hold log2(1 + f) for f from i/256 to (i+1)/256, with scaleBits
// fractional bits.
var segments = makeSegments()

func makeSegments() (table [1 << tableBits]segment) {
	for i := range table {
		table[i].base = log2(i)
		table[i].rise = log2(i+1) - table[i].base
	}
	return table
}

// log2 finds log2(1 + i/256) bit by bit, by repeated squaring. Integers alone
// are used so that every processor finds the same table.
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

// negLog2 is -log2(x / 2^64) with scaleBits fractional bits, linear between the
// ends of a segment: it never rises with x, and its relative error stays below
// 0.2 % until its own resolution matters. x must not be 0.
func negLog2(x uint64) uint64 {
	zeros := uint64(bits.LeadingZeros64(x))
	fraction := x << (zeros & 63) << 1
	s := segments[fraction>>(64-tableBits)]
	rest := fraction << tableBits >> (64 - restBits)
	return (zeros+1)<<scaleBits - uint64(s.base) - uint64(s.rise)*rest>>restBits
}
