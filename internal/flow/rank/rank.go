// Package rank orders the endpoints of a service for a flow by weighted rendezvous
// hashing (Thaler and Ravishankar 1998, with the logarithmic weights of Schindelhauer
// and Schomaker 2005). Every node that knows the same endpoints computes the same
// order, and a change of one endpoint moves only its own flows.
//
// All arithmetic is on integers, so that all kinds of processors compute the same order.
package rank

import (
	"cmp"
	"math"
	"slices"

	"github.com/clementinewing/clementinewing/internal/world/node"
)

// MaxCandidates is the greatest length of a candidate list.
const MaxCandidates = 16

// entryMask masks the index of an entry in the low bits of a sort key.
const entryMask = MaxCandidates - 1

// Table is the endpoints of one service prepared for ranking many flows. It is
// immutable after NewTable.
type Table struct {
	// entries are sorted by incarnation, so that every node breaks ties in the same way.
	entries []entry
}

// entry is one endpoint: its incarnation, 2^32 - 1 divided by its weight, and its index
// in the input.
type entry struct {
	incarnation   uint64
	inverseWeight uint64
	index         int
}

// NewTable returns a table of the endpoints; its lists contain their indexes.
func NewTable(endpoints []node.Endpoint) *Table {
	t := &Table{
		entries: make([]entry, len(endpoints)),
	}
	for i := range endpoints {
		t.entries[i] = newEntry(&endpoints[i])
		t.entries[i].index = i
	}
	slices.SortStableFunc(t.entries, func(a, b entry) int {
		return cmp.Compare(a.incarnation, b.incarnation)
	})
	return t
}

// List appends to out the indexes of the endpoints in ranked order for the flow hash, at
// most MaxCandidates of them.
func List(hash uint64, endpoints []node.Endpoint, out []int) []int {
	return NewTable(endpoints).List(hash, out)
}

// List appends to out the indexes of the endpoints in ranked order for the flow hash, at
// most MaxCandidates of them.
func (t *Table) List(hash uint64, out []int) []int {
	if len(t.entries) > MaxCandidates {
		return t.listBySelection(hash, out)
	}
	return t.listBySorting(hash, out)
}

// listBySorting is an insertion sort without a branch that depends on a hash: each new
// key moves along the sorted keys and leaves the lower one of every pair behind. The low
// bits of a key are the index of its entry.
func (t *Table) listBySorting(hash uint64, out []int) []int {
	var buffer [MaxCandidates]uint64
	keys := buffer[:len(t.entries)]
	for i := range keys {
		key := t.entries[i].cost(hash)&^entryMask | uint64(i)
		for j, other := range keys[:i] {
			keys[j] = min(key, other)
			key = max(key, other)
		}
		keys[i] = key
	}
	for _, key := range keys {
		out = append(out, t.entries[key&entryMask].index)
	}
	return out
}

// listBySelection keeps the best MaxCandidates by insertion; most endpoints fail the
// first comparison. It ignores the same bits as listBySorting, so that the order does not
// depend on the number of endpoints.
func (t *Table) listBySelection(hash uint64, out []int) []int {
	var best [MaxCandidates + 1]rankedEntry
	count := 0
	for i := range t.entries {
		cost := t.entries[i].cost(hash) &^ entryMask
		at := count
		for at > 0 && cost < best[at-1].cost {
			best[at] = best[at-1]
			at--
		}
		best[at] = rankedEntry{
			cost:  cost,
			index: t.entries[i].index,
		}
		count = min(count+1, MaxCandidates)
	}
	for i := range count {
		out = append(out, best[i].index)
	}
	return out
}

// rankedEntry is the index of an endpoint in the input and its cost.
type rankedEntry struct {
	cost  uint64
	index int
}

// Cost is the cost of the endpoint for the flow: -log2(u) / weight, where u is a hash of
// the flow and the incarnation. The endpoint with the lowest cost ranks first; weight 0
// ranks last.
func Cost(hash uint64, e node.Endpoint) uint64 {
	p := newEntry(&e)
	return p.cost(hash)
}

func newEntry(e *node.Endpoint) entry {
	p := entry{
		incarnation: uint64(e.Incarnation),
	}
	if e.Weight > 0 {
		p.inverseWeight = math.MaxUint32 / uint64(e.Weight)
	}
	return p
}

func (e *entry) cost(hash uint64) uint64 {
	if e.inverseWeight == 0 {
		return math.MaxUint64
	}
	// A logarithm is at most 64 * 2^26 and an inverse weight below 2^32, so the product
	// doesn't overflow.
	return negLog2(mixBits(hash^e.incarnation)|1) * e.inverseWeight
}

// mixBits is the finalizer of SplitMix64 (Steele, Lea and Flood 2014).
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
