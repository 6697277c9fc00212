package wire

// The replay window is the block bitmap of RFC 6479. It has one block more than the
// window, so that advancing clears whole blocks and shifts no bits.
const (
	blockBits  = 64
	blockCount = 64
	windowSize = blockBits * (blockCount - 1)
)

// window records which of the last windowSize sequence numbers were seen. The zero
// window has seen none; sequence numbers start at 1.
type window struct {
	highest uint64
	bitmap  [blockCount]uint64
}

// unseen reports whether the sequence number was not seen and is not older than the
// window.
func (w *window) unseen(sequence uint64) bool {
	if sequence > w.highest {
		return true
	}
	if sequence == 0 || w.highest-sequence >= windowSize {
		return false
	}
	return w.bitmap[sequence/blockBits%blockCount]&(1<<(sequence%blockBits)) == 0
}

// mark records an unseen sequence number.
func (w *window) mark(sequence uint64) {
	if sequence > w.highest {
		w.advance(sequence)
	}
	w.bitmap[sequence/blockBits%blockCount] |= 1 << (sequence % blockBits)
}

// advance makes sequence the highest number and clears the blocks that it enters.
func (w *window) advance(sequence uint64) {
	from := w.highest / blockBits
	passed := min(sequence/blockBits-from, blockCount)
	for i := uint64(1); i <= passed; i++ {
		w.bitmap[(from+i)%blockCount] = 0
	}
	w.highest = sequence
}
