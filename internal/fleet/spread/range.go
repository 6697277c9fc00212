package spread

import (
	"maps"
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/fleet/lease"
)

const (
	// leafRecords is up to how many records a range is compared record by
	// record and not split further.
	leafRecords = 64
	// maxRecords bounds the records of one message. What is left over follows
	// with a comparison right after.
	maxRecords = 4000
)

// Message is what two balancers exchange, in either direction: records that are
// news, and as much of the key space as is still being compared.
type Message struct {
	// Root is the hash over all records of the sender, if Compare is set.
	Root    uint64
	Compare bool
	// Settled tells that the sender itself is no newcomer.
	Settled bool
	Records []lease.Record
	Splits  []Split
	Leaves  []Leaf
	// Wanted are versions of which the sender knows only the digest.
	Wanted []Leaf
}

// Split gives the hashes of the parts of a range. Level 0 is the whole key
// space; Index counts the ranges of a level from the left.
type Split struct {
	Level  uint8
	Index  uint16
	Hashes []uint64
}

// Leaf lists versions of records in a range by their digests.
type Leaf struct {
	Level   uint8
	Index   uint16
	Digests []uint64
}

// Empty tells whether the message says nothing.
func (m Message) Empty() bool {
	return !m.Compare && len(m.Records) == 0 && len(m.Splits) == 0 && len(m.Leaves) == 0 && len(m.Wanted) == 0
}

// comparison is the message without its records.
func (m Message) comparison() Message {
	m.Records = nil
	return m
}

// Opening starts a comparison.
func (t *Table) Opening() Message {
	return Message{
		Root:    t.root,
		Compare: true,
	}
}

// Respond takes in a message and gives the answer to it and the records of it
// that were news. An empty answer ends the exchange.
func (t *Table) Respond(now time.Time, in Message) (out Message, news []lease.Record) {
	for _, r := range in.Records {
		if t.Merge(now, r) {
			news = append(news, r)
		}
	}
	if in.Compare && in.Root != t.root {
		t.descend(0, 0, &out)
	}
	for _, s := range in.Splits {
		t.compareSplit(s, &out)
	}
	for _, l := range in.Leaves {
		t.compareLeaf(l, &out)
	}
	for _, l := range in.Wanted {
		t.answerWanted(l, &out)
	}
	return out, news
}

func (m *Message) give(r lease.Record) {
	if len(m.Records) < maxRecords {
		m.Records = append(m.Records, r)
	}
}

// descend describes a range that differs: its records, or the hashes of its parts.
func (t *Table) descend(level uint8, index uint16, out *Message) {
	first, last := span(level, index)
	count := 0
	for i := first; i < last; i++ {
		count += len(t.buckets[i].rows)
	}
	if level < depth && count > leafRecords {
		out.Splits = append(out.Splits, t.split(level, index))
		return
	}
	out.Leaves = append(out.Leaves, t.leaf(level, index, count))
}

func (t *Table) split(level uint8, index uint16) Split {
	s := Split{
		Level:  level,
		Index:  index,
		Hashes: make([]uint64, fan),
	}
	for part := range s.Hashes {
		s.Hashes[part] = t.hash(level+1, index*fan+uint16(part))
	}
	return s
}

func (t *Table) leaf(level uint8, index uint16, count int) Leaf {
	l := Leaf{
		Level:   level,
		Index:   index,
		Digests: make([]uint64, 0, count),
	}
	first, last := span(level, index)
	for i := first; i < last; i++ {
		rows := t.buckets[i].rows
		for j := range rows {
			l.Digests = append(l.Digests, rows[j].digest())
		}
	}
	return l
}

func (t *Table) compareSplit(s Split, out *Message) {
	if s.Level >= depth || len(s.Hashes) != fan || int(s.Index) >= width(s.Level) {
		return
	}
	for part, hash := range s.Hashes {
		index := s.Index*fan + uint16(part)
		if t.hash(s.Level+1, index) != hash {
			t.descend(s.Level+1, index, out)
		}
	}
}

func (t *Table) compareLeaf(l Leaf, out *Message) {
	if l.Level > depth || int(l.Index) >= width(l.Level) {
		return
	}
	theirs := make(map[uint64]struct{}, len(l.Digests))
	for _, d := range l.Digests {
		theirs[d] = struct{}{}
	}
	t.eachIn(l, func(w *row, d uint64) {
		if _, ok := theirs[d]; ok {
			delete(theirs, d)
			return
		}
		out.give(t.places.unpack(w))
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

// answerWanted gives the versions asked for that are still the present ones.
func (t *Table) answerWanted(l Leaf, out *Message) {
	if l.Level > depth || int(l.Index) >= width(l.Level) {
		return
	}
	t.eachIn(l, func(w *row, d uint64) {
		if slices.Contains(l.Digests, d) {
			out.give(t.places.unpack(w))
		}
	})
}

// eachIn visits the rows of a range with their digests.
func (t *Table) eachIn(l Leaf, visit func(w *row, digest uint64)) {
	first, last := span(l.Level, l.Index)
	for i := first; i < last; i++ {
		rows := t.buckets[i].rows
		for j := range rows {
			visit(&rows[j], rows[j].digest())
		}
	}
}

func (t *Table) hash(level uint8, index uint16) uint64 {
	var h uint64
	first, last := span(level, index)
	for i := first; i < last; i++ {
		h ^= t.buckets[i].hash
	}
	return h
}

// width is the number of ranges of a level.
func width(level uint8) int {
	return 1 << (4 * level)
}

// span gives the buckets of a range, the last one exclusive.
func span(level uint8, index uint16) (first, last int) {
	size := bucketCount / width(level)
	first = int(index) * size
	return first, first + size
}
