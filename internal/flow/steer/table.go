package steer

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	shardCount = 256
	// ways is the number of entries in a bucket, which is one cache line.
	ways = 8
	// overprovision is the number of entries allocated for each one requested, so that
	// buckets seldom overflow.
	overprovision = 2
	// renewalsPerTTL is how many times per TTL a used entry is marked as used.
	renewalsPerTTL = 8
)

// The parts of an entry, from the most significant bit: a tag of the key, a value,
// and the tick of its last use.
const (
	lastUsedBits = 16
	valueBits    = 24
	tagBits      = 24
	valueMask    = 1<<valueBits - 1
	lastUsedMask = 1<<lastUsedBits - 1
)

// table is a bounded map of soft state: a set-associative cache in shards that holds no
// pointers and never grows. An entry is one word, so that readers need no lock; writers
// hold the lock of their shard. Two keys of one bucket share a tag once in 2^24 lookups,
// and then one is taken for the other; users of the table must tolerate that. In a full
// bucket, the least recently used entry is evicted.
//
// Time is counted in ticks and wraps after 2^16 of them.
type table struct {
	shards  [shardCount]shard
	buckets []bucket
	mask    uint64
	tick    time.Duration
	// ttl is the number of ticks after which an unused entry is no longer read.
	ttl uint16
	// renewAfter is the number of ticks after which touch marks an entry as used again:
	// often enough for eviction, seldom enough that most reads write nothing.
	renewAfter uint16
}

// shard is the lock of all buckets whose number is the same modulo shardCount.
type shard struct {
	lock sync.Mutex
	_    [56]byte
}

type bucket [ways]uint64

// newTable returns a table for a number of entries with the given TTL after their last
// use, at a resolution of tick.
func newTable(entries int, tick, ttl time.Duration) *table {
	perShard := 1
	for perShard*ways*shardCount < entries*overprovision {
		perShard *= 2
	}
	return &table{
		buckets:    make([]bucket, perShard*shardCount),
		mask:       uint64(perShard*shardCount - 1),
		tick:       tick,
		ttl:        uint16(ttl / tick),
		renewAfter: uint16(ttl / tick / renewalsPerTTL),
	}
}

func (t *table) ticks(now time.Time) uint16 {
	return uint16(now.UnixNano() / int64(t.tick))
}

// locate returns the shard, bucket and tag of a key. A tag is never 0, which marks an
// empty entry.
func (t *table) locate(key uint64) (s *shard, b *bucket, tag uint64) {
	s = &t.shards[key%shardCount]
	b = &t.buckets[key&t.mask]
	return s, b, max(key>>(64-tagBits), 1)
}

// prefetch loads the bucket of a key into the processor's cache.
func (t *table) prefetch(key uint64) {
	t.buckets[key&t.mask].load(0)
}

// touch returns the value of a key and marks it as used, unless that was done recently.
func (t *table) touch(now time.Time, key uint64) (value uint32, found bool) {
	s, b, tag := t.locate(key)
	at := t.ticks(now)
	i := b.find(tag)
	if i < 0 {
		return 0, false
	}
	e := b.load(i)
	if e>>(valueBits+lastUsedBits) != tag || at-lastUsed(e) > t.ttl {
		return 0, false
	}
	value = valueOf(e)
	if at-lastUsed(e) >= t.renewAfter {
		s.replace(b, i, e, pack(tag, value, at))
	}
	return value, true
}

// put stores a value of valueBits bits.
func (t *table) put(now time.Time, key uint64, value uint32) {
	s, b, tag := t.locate(key)
	at := t.ticks(now)
	s.lock.Lock()
	defer s.lock.Unlock()
	i := b.find(tag)
	if i < 0 {
		i = b.victim(at)
	}
	b.store(i, pack(tag, value, at))
}

// drop removes a key.
func (t *table) drop(key uint64) {
	s, b, tag := t.locate(key)
	if b.find(tag) < 0 {
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	if i := b.find(tag); i >= 0 {
		b.store(i, 0)
	}
}

// count records a use of a key and returns how many uses were recorded before it. A use
// less than gap ticks after the last recorded one is taken for a copy of that one: it is
// not recorded, and the same number is returned.
func (t *table) count(now time.Time, key uint64, gap uint16) (count uint32) {
	s, b, tag := t.locate(key)
	at := t.ticks(now)
	s.lock.Lock()
	defer s.lock.Unlock()
	i := b.find(tag)
	if i < 0 {
		b.store(b.victim(at), pack(tag, 0, at))
		return 0
	}
	e := b.load(i)
	age := at - lastUsed(e)
	if age < gap {
		return valueOf(e)
	}
	if age <= t.ttl {
		count = min(valueOf(e)+1, valueMask)
	}
	b.store(i, pack(tag, count, at))
	return count
}

// replace writes an entry unless another thread has changed it.
func (s *shard) replace(b *bucket, i int, old, fresh uint64) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if b.load(i) == old {
		b.store(i, fresh)
	}
}

func (b *bucket) load(i int) uint64 {
	return atomic.LoadUint64(&b[i%ways])
}

func (b *bucket) store(i int, e uint64) {
	atomic.StoreUint64(&b[i%ways], e)
}

func pack(tag uint64, value uint32, at uint16) uint64 {
	return tag<<(valueBits+lastUsedBits) | uint64(value&valueMask)<<lastUsedBits | uint64(at)
}

func valueOf(e uint64) uint32 {
	return uint32(e>>lastUsedBits) & valueMask
}

func lastUsed(e uint64) uint16 {
	return uint16(e & lastUsedMask)
}

// find compares every entry, because an early exit would be a branch that the
// processor can't predict.
func (b *bucket) find(tag uint64) int {
	found := -1
	for i := range b {
		if b.load(i)>>(valueBits+lastUsedBits) == tag {
			found = i
		}
	}
	return found
}

// victim returns an empty entry, or else the least recently used one.
func (b *bucket) victim(at uint16) (victim int) {
	oldest := -1
	for i := range b {
		e := b.load(i)
		if e == 0 {
			return i
		}
		if age := int(at - lastUsed(e)); age > oldest {
			oldest = age
			victim = i
		}
	}
	return victim
}
