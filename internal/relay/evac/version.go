package evac

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
)

// unconfirmed is set in a request: the version that an agent reports if it wants an answer in any
// case. The other bits make the request recognizable in the answer.
const unconfirmed = 1 << 63

// Version returns a number that tells different sets and rates of cold endpoints apart. It is
// never 0, which stands for a process that does not follow evacuations. It does not change when
// the store's revision rises and the set stays the same.
func Version(f *frame.EvacuationSet, coldRate float64) uint64 {
	b := binary.BigEndian.AppendUint64(nil, f.Era)
	b = binary.BigEndian.AppendUint64(b, f.Changed)
	b = binary.BigEndian.AppendUint64(b, f.BaseEra)
	b = binary.BigEndian.AppendUint64(b, f.BaseRevision)
	b = binary.BigEndian.AppendUint64(b, math.Float64bits(coldRate))
	for _, z := range f.Zones {
		b = binary.BigEndian.AppendUint64(b, z.Zone)
		b = append(b, z.Flags)
	}
	return max(xxhash.Sum64(b)&^unconfirmed, 1)
}

// Unconfirmed reports whether an agent has named a request instead of a version.
func Unconfirmed(reported uint64) bool {
	return reported&unconfirmed != 0
}
