package gossip

import (
	"maps"
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/fleet/lease"
)

const (
	// maxLeafRecords is the largest number of records in a range that is compared
	// record by record. A larger range is split further.
	maxLeafRecords = 64
	// maxRecords limits the records of one message. The rest follows in a
	// reconciliation that starts right afterwards.
	maxRecords = 4000
)

// Message is exchanged between two balancers in either direction. It carries changed
// records and the state of a reconciliation: those ranges of the key space in which
// the two tables still differ.
type Message struct {
	// Root is the hash of all records of the sender, if Compare is set.
	Root    uint64
	Compare bool
	// Synchronized is set if the sender's own table is synchronized.
	Synchronized bool
	Records      []lease.Record
	Splits       []Split
	Leaves       []Leaf
	// Wanted requests the versions with these digests, which the sender lacks.
	Wanted []Leaf
}

// Split holds the hashes of the parts of a range. Level 0 is the whole key space;
// Index numbers the ranges of a level in ascending key order.
type Split struct {
	Level  uint8
	Index  uint16
	Hashes []uint64
}

// Leaf lists the digests of the record versions in a range.
type Leaf struct {
	Level   uint8
	Index   uint16
	Digests []uint64
}

// Empty reports whether the message carries neither records nor a reconciliation.
func (m Message) Empty() bool {
	return !m.Compare && len(m.Records) == 0 && len(m.Splits) == 0 && len(m.Leaves) == 0 && len(m.Wanted) == 0
}

// withoutRecords returns the message without its records.
func (m Message) withoutRecords() Message {
	m.Records = nil
	return m
}

// StartReconciliation returns the first message of a reconciliation.
func (t *Table) StartReconciliation() Message {
	return Message{
		Root:    t.root,
		Compare: true,
	}
}

// Respond merges a message and returns the reply and those of its records that were
// news. An empty reply ends the reconciliation.
func (t *Table) Respond(now time.Time, in Message) (out Message, news []lease.Record) {
	for _, r := range in.Records {
		if t.Merge(now, r) {
			news = append(news, r)
		}
	}
	if in.Compare && in.Root != t.root {
		t.describeRange(0, 0, &out)
	}
	for _, s := range in.Splits {
		t.compareSplit(s, &out)
	}
	for _, l := range in.Leaves {
		t.compareLeaf(l, &out)
	}
	for _, l := range in.Wanted {
		t.addWanted(l, &out)
	}
	return out, news
}

// addRecord adds a record unless the message is full.
func (m *Message) addRecord(r lease.Record) {
	if len(m.Records) < maxRecords {
		m.Records = append(m.Records, r)
	}
}

// describeRange adds a range that differs to the message: the digests of its records
// if they are few, else the hashes of its parts.
func (t *Table) describeRange(level uint8, index uint16, out *Message) {
	first, last := bucketRange(level, index)
	count := 0
	for i := first; i < last; i++ {
		count += len(t.buckets[i].rows)
	}
	if level < bucketLevel && count > maxLeafRecords {
		out.Splits = append(out.Splits, t.rangeSplit(level, index))
		return
	}
	out.Leaves = append(out.Leaves, t.rangeLeaf(level, index, count))
}

func (t *Table) rangeSplit(level uint8, index uint16) Split {
	s := Split{
		Level:  level,
		Index:  index,
		Hashes: make([]uint64, branching),
	}
	for part := range s.Hashes {
		s.Hashes[part] = t.rangeHash(level+1, index*branching+uint16(part))
	}
	return s
}

func (t *Table) rangeLeaf(level uint8, index uint16, count int) Leaf {
	l := Leaf{
		Level:   level,
		Index:   index,
		Digests: make([]uint64, 0, count),
	}
	first, last := bucketRange(level, index)
	for i := first; i < last; i++ {
		rows := t.buckets[i].rows
		for j := range rows {
			l.Digests = append(l.Digests, rows[j].digest())
		}
	}
	return l
}

// compareSplit describes each part of the range whose hash differs here. A malformed
// split is ignored.
func (t *Table) compareSplit(s Split, out *Message) {
	if s.Level >= bucketLevel || len(s.Hashes) != branching || int(s.Index) >= rangeCount(s.Level) {
		return
	}
	for part, hash := range s.Hashes {
		index := s.Index*branching + uint16(part)
		if t.rangeHash(s.Level+1, index) != hash {
			t.describeRange(s.Level+1, index, out)
		}
	}
}

// compareLeaf adds the records of the range that the peer lacks, and requests those
// that only the peer has. A malformed leaf is ignored.
func (t *Table) compareLeaf(l Leaf, out *Message) {
	if l.Level > bucketLevel || int(l.Index) >= rangeCount(l.Level) {
		return
	}
	theirs := make(map[uint64]struct{}, len(l.Digests))
	for _, d := range l.Digests {
		theirs[d] = struct{}{}
	}
	t.eachRow(l, func(w *row, d uint64) {
		if _, ok := theirs[d]; ok {
			delete(theirs, d)
			return
		}
		out.addRecord(t.places.unpack(w))
	})
	if len(theirs) == 0 {
		return
	}
	out.Wanted = append(out.Wanted, Leaf{
		Level:   l.Level,
		Index:   l.Index,
		Digests: slices.Sorted(maps.Keys(theirs)),
	})
}

// addWanted adds the requested versions, except those that the table has replaced
// since.
func (t *Table) addWanted(l Leaf, out *Message) {
	if l.Level > bucketLevel || int(l.Index) >= rangeCount(l.Level) {
		return
	}
	t.eachRow(l, func(w *row, d uint64) {
		if slices.Contains(l.Digests, d) {
			out.addRecord(t.places.unpack(w))
		}
	})
}

// eachRow visits the rows of a range with their digests.
func (t *Table) eachRow(l Leaf, visit func(w *row, digest uint64)) {
	first, last := bucketRange(l.Level, l.Index)
	for i := first; i < last; i++ {
		rows := t.buckets[i].rows
		for j := range rows {
			visit(&rows[j], rows[j].digest())
		}
	}
}

// rangeHash returns the combined hash of the buckets of a range.
func (t *Table) rangeHash(level uint8, index uint16) uint64 {
	var h uint64
	first, last := bucketRange(level, index)
	for i := first; i < last; i++ {
		h ^= t.buckets[i].hash
	}
	return h
}

// rangeCount returns the number of ranges of a level.
func rangeCount(level uint8) int {
	return 1 << (4 * level)
}

// bucketRange returns the first bucket of a range and the one after its last.
func bucketRange(level uint8, index uint16) (first, last int) {
	size := bucketCount / rangeCount(level)
	first = int(index) * size
	return first, first + size
}
