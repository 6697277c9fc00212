package wire

import (
	"crypto/cipher"
	"sync"

	"github.com/clementinewing/clementinewing/internal/edge/keys"
)

const (
	senderShardCount = 16
	// defaultMaxSenders is the default limit of a table, at about 1.3 KiB a sender.
	defaultMaxSenders = 8192
)

// Senders holds the derived key and the replay window of each authenticated sender.
// It is bounded: a new sender evicts one that has sent nothing since the hand of the
// CLOCK algorithm last passed it. It is safe for concurrent use by any number of Openers.
type Senders struct {
	shards [senderShardCount]senderShard
}

// senderShard is one part of the table with its own lock. It evicts by the CLOCK
// algorithm (Corbato 1968).
type senderShard struct {
	lock    sync.Mutex
	index   map[uint64]int
	entries []sender
	limit   int
	hand    int
}

type sender struct {
	number     uint64
	set        *keys.Set
	epoch      keys.Epoch
	gmac       cipher.AEAD
	referenced bool
	window     window
}

// NewSenders creates a table of at most limit senders; 0 means the default.
func NewSenders(limit int) *Senders {
	if limit <= 0 {
		limit = defaultMaxSenders
	}
	t := &Senders{}
	for i := range t.shards {
		t.shards[i].index = make(map[uint64]int)
		t.shards[i].limit = max(limit/senderShardCount, 1)
	}
	return t
}

func (t *Senders) shardOf(number uint64) *senderShard {
	return &t.shards[number%senderShardCount]
}

// lookup returns the cached GMAC for the key set and epoch, or nil if there is none,
// and whether the sequence number is unseen.
func (s *senderShard) lookup(set *keys.Set, h header) (gmac cipher.AEAD, unseen bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	i, found := s.index[h.sender]
	if !found {
		return nil, h.sequence > 0
	}
	e := &s.entries[i]
	if e.set == set && e.epoch == keys.Epoch(h.epoch) {
		gmac = e.gmac
	}
	return gmac, e.window.unseen(h.sequence)
}

// recordSequence records an authenticated datagram and reports whether its sequence
// number was unseen.
func (s *senderShard) recordSequence(set *keys.Set, h header, gmac cipher.AEAD) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	i, found := s.index[h.sender]
	if !found {
		i = s.addSender(h.sender)
	}
	e := &s.entries[i]
	if !e.window.unseen(h.sequence) {
		return false
	}
	e.window.mark(h.sequence)
	e.referenced = true
	e.set = set
	e.epoch = keys.Epoch(h.epoch)
	e.gmac = gmac
	return true
}

// addSender adds a sender and returns its index. It evicts another if the shard is
// full.
func (s *senderShard) addSender(number uint64) int {
	i := len(s.entries)
	if i < s.limit {
		s.entries = append(s.entries, sender{})
	} else {
		i = s.evict()
	}
	s.entries[i] = sender{
		number: number,
	}
	s.index[number] = i
	return i
}

// evict removes a sender that is not marked as referenced and returns the free index.
// It clears the mark of each sender that the hand passes.
func (s *senderShard) evict() int {
	for s.entries[s.hand].referenced {
		s.entries[s.hand].referenced = false
		s.hand = (s.hand + 1) % len(s.entries)
	}
	i := s.hand
	s.hand = (s.hand + 1) % len(s.entries)
	delete(s.index, s.entries[i].number)
	return i
}
