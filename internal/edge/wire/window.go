package wire

// The replay window is the block bitmap of RFC 6479: one block more than the
// window is kept, so that moving it clears whole blocks and shifts nothing.
const (
	blockBits   = 64
	blocks      = 64
	windowReach = blockBits * (blocks - 1)
)

// window remembers which of the last windowReach sequences were seen. The zero
// window has seen none; sequences start at 1.
type window struct {
	highest uint64
	bits    [blocks]uint64
}

// fresh tells whether the sequence was neither seen nor left behind.
func (w *window) fresh(sequence uint64) bool {
	if sequence > w.highest {
		return true
	}
	if sequence == 0 || w.highest-sequence >= windowReach {
		return false
	}
	return w.bits[sequence/blockBits%blocks]&(1<<(sequence%blockBits)) == 0
}

// mark records a fresh sequence.
func (w *window) mark(sequence uint64) {
	if sequence > w.highest {
		w.advance(sequence)
	}
	w.bits[sequence/blockBits%blocks] |= 1 << (sequence % blockBits)
}

func (w *window) advance(sequence uint64) {
	from := w.highest / blockBits
	passed := min(sequence/blockBits-from, blocks)
	for i := uint64(1); i <= passed; i++ {
		w.bits[(from+i)%blocks] = 0
	}
	w.highest = sequence
}
