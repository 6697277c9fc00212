package steer

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	shardCount = 256
	// ways is how many entries share a bucket: one cache line of them.
	ways = 8
	// spare is the room kept for each entry that is asked for, so that buckets
	// seldom overflow.
	spare = 2
	// renewShare is how many times in its keeping an entry is marked as used.
	renewShare = 8
)

// The parts of an entry, from the top: a tag of the key, a value, and the time
// when it was last used.
const (
	usedBits  = 16
	valueBits = 24
	tagBits   = 24
	valueMask = 1<<valueBits - 1
	usedMask  = 1<<usedBits - 1
)

// table is a bounded map of soft state in shards: a set-associative cache that
// holds no pointers and never grows. An entry is one word, so that a reader needs
// no lock; writers hold the lock of their shard. Two keys of one bucket share a tag once in 2^24 lookups, and then one is
// taken for the other; users of the table must bear that. Where a bucket is
// full, the entry that was used longest ago makes room.
//
// Time is counted in ticks and wraps after 2^16 of them.
type table struct {
	shards  [shardCount]shard
	buckets []bucket
	mask    uint64
	tick    time.Duration
	// keep is the number of ticks after which an unused entry is no longer read.
	keep uint16
	// renew is the number of ticks after which touch marks an entry again: often
	// enough for eviction, seldom enough that most reads write nothing.
	renew uint16
}

// shard is the lock on every bucket of one number modulo shardCount.
type shard struct {
	lock sync.Mutex
	_    [56]byte
}

type bucket [ways]uint64

// newTable makes a table for a number of entries that are kept for some time
// after their last use, with a resolution of tick.
func newTable(entries int, tick, keep time.Duration) *table {
	perShard := 1
	for perShard*ways*shardCount < entries*spare {
		perShard *= 2
	}
	return &table{
		buckets: make([]bucket, perShard*shardCount),
		mask:    uint64(perShard*shardCount - 1),
		tick:    tick,
		keep:    uint16(keep / tick),
		renew:   uint16(keep / tick / renewShare),
	}
}

func (t *table) at(now time.Time) uint16 {
	return uint16(now.UnixNano() / int64(t.tick))
}

// locate gives the place and the tag of a key. A tag is never 0, which marks an
// empty entry.
func (t *table) locate(key uint64) (s *shard, b *bucket, tag uint64) {
	s = &t.shards[key%shardCount]
	b = &t.buckets[key&t.mask]
	return s, b, max(key>>(64-tagBits), 1)
}

// warm loads the bucket of a key ahead of its use.
func (t *table) warm(key uint64) {
	t.buckets[key&t.mask].load(0)
}

// touch reads the value of a key and marks it as used, if that was not done
// lately.
func (t *table) touch(now time.Time, key uint64) (value uint32, found bool) {
	s, b, tag := t.locate(key)
	at := t.at(now)
	i := b.find(tag)
	if i < 0 {
		return 0, false
	}
	e := b.load(i)
	if e>>(valueBits+usedBits) != tag || at-used(e) > t.keep {
		return 0, false
	}
	value = valueOf(e)
	if at-used(e) >= t.renew {
		s.replace(b, i, e, pack(tag, value, at))
	}
	return value, true
}

// put keeps a value of valueBits.
func (t *table) put(now time.Time, key uint64, value uint32) {
	s, b, tag := t.locate(key)
	at := t.at(now)
	s.lock.Lock()
	defer s.lock.Unlock()
	i := b.find(tag)
	if i < 0 {
		i = b.victim(at)
	}
	b.store(i, pack(tag, value, at))
}

// drop forgets a key.
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

// count records a use of a key and gives how many uses came before it that lie
// gap ticks or more apart.
func (t *table) count(now time.Time, key uint64, gap uint16) (count uint32) {
	s, b, tag := t.locate(key)
	at := t.at(now)
	s.lock.Lock()
	defer s.lock.Unlock()
	i := b.find(tag)
	if i < 0 {
		b.store(b.victim(at), pack(tag, 0, at))
		return 0
	}
	e := b.load(i)
	age := at - used(e)
	if age < gap {
		return valueOf(e)
	}
	if age <= t.keep {
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
	return tag<<(valueBits+usedBits) | uint64(value&valueMask)<<usedBits | uint64(at)
}

func valueOf(e uint64) uint32 {
	return uint32(e>>usedBits) & valueMask
}

func used(e uint64) uint16 {
	return uint16(e & usedMask)
}

// find looks at every entry, since leaving early would be a branch that the
// processor can't foresee.
func (b *bucket) find(tag uint64) int {
	found := -1
	for i := range b {
		if b.load(i)>>(valueBits+usedBits) == tag {
			found = i
		}
	}
	return found
}

// victim is an empty entry, or else the one that was used longest ago.
func (b *bucket) victim(at uint16) (victim int) {
	oldest := -1
	for i := range b {
		e := b.load(i)
		if e == 0 {
			return i
		}
		if age := int(at - used(e)); age > oldest {
			oldest = age
			victim = i
		}
	}
	return victim
}
