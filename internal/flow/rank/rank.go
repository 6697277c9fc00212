// Package rank orders the endpoints of a service for a flow by weighted
// rendezvous hashing (Thaler and Ravishankar 1998, with the logarithmic weights
// of Schindelhauer and Schomaker 2005): every node that knows the same endpoints
// finds the same order, and a change of one endpoint moves only its own flows.
//
// All arithmetic is on integers, so that processors of different kinds agree.
package rank

import (
	"cmp"
	"math"
	"slices"

	"github.com/clementinewing/clementinewing/internal/world/node"
)

// MaxCandidates bounds a ranked list.
const MaxCandidates = 16

// numberMask covers the number of an entry in a short table.
const numberMask = MaxCandidates - 1

// Table is what ranking needs to know of the endpoints of one service, prepared
// once for many flows. It is not changed after NewTable.
type Table struct {
	// entries rise by incarnation, so that ties fall alike on every node.
	entries []entry
}

// entry is one endpoint: its incarnation, 2^32 - 1 divided by its weight, and
// its place in the input.
type entry struct {
	incarnation uint64
	inverse     uint64
	index       int
}

// NewTable prepares the endpoints; lists give their indexes.
func NewTable(endpoints []node.Endpoint) *Table {
	t := &Table{
		entries: make([]entry, len(endpoints)),
	}
	for i := range endpoints {
		t.entries[i] = prepare(&endpoints[i])
		t.entries[i].index = i
	}
	slices.SortStableFunc(t.entries, func(a, b entry) int {
		return cmp.Compare(a.incarnation, b.incarnation)
	})
	return t
}

// List appends to out the indexes of the endpoints in falling order of their
// claim to the flow hash, at most MaxCandidates of them.
func List(hash uint64, endpoints []node.Endpoint, out []int) []int {
	return NewTable(endpoints).List(hash, out)
}

// List appends to out the indexes of the endpoints in falling order of their
// claim to the flow hash, at most MaxCandidates of them.
func (t *Table) List(hash uint64, out []int) []int {
	if len(t.entries) > MaxCandidates {
		return t.listBest(hash, out)
	}
	return t.listAll(hash, out)
}

// listAll sorts by insertion without a branch that depends on a draw: each new
// key passes along the sorted ones and leaves the lower of every pair behind.
// The low bits of a key are its entry's number.
func (t *Table) listAll(hash uint64, out []int) []int {
	var room [MaxCandidates]uint64
	keys := room[:len(t.entries)]
	for i := range keys {
		key := t.entries[i].cost(hash)&^numberMask | uint64(i)
		for j, other := range keys[:i] {
			keys[j] = min(key, other)
			key = max(key, other)
		}
		keys[i] = key
	}
	for _, key := range keys {
		out = append(out, t.entries[key&numberMask].index)
	}
	return out
}

// listBest keeps the best MaxCandidates by insertion; most endpoints fail the
// first comparison. It ignores the bits that listAll ignores, so that the order
// does not depend on how many endpoints there are.
func (t *Table) listBest(hash uint64, out []int) []int {
	var best [MaxCandidates + 1]scored
	count := 0
	for i := range t.entries {
		cost := t.entries[i].cost(hash) &^ numberMask
		at := count
		for at > 0 && cost < best[at-1].cost {
			best[at] = best[at-1]
			at--
		}
		best[at] = scored{
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

// scored pairs an endpoint's place in the input with its cost.
type scored struct {
	cost  uint64
	index int
}

// Cost is the endpoint's distance from the flow: -log2(u) / weight for a u drawn
// from the flow and the incarnation. The lowest cost has the first claim; weight
// 0 has the last.
func Cost(hash uint64, e node.Endpoint) uint64 {
	p := prepare(&e)
	return p.cost(hash)
}

func prepare(e *node.Endpoint) entry {
	p := entry{
		incarnation: uint64(e.Incarnation),
	}
	if e.Weight > 0 {
		p.inverse = math.MaxUint32 / uint64(e.Weight)
	}
	return p
}

func (e *entry) cost(hash uint64) uint64 {
	if e.inverse == 0 {
		return math.MaxUint64
	}
	// A logarithm is at most 64 * 2^26 and an inverse below 2^32, so the product
	// fits.
	return negLog2(mix(hash^e.incarnation)|1) * e.inverse
}

// mix is the finalizer of SplitMix64 (Steele, Lea and Flood 2014).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
