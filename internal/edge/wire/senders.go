package wire

import (
	"crypto/cipher"
	"sync"

	"github.com/clementinewing/clementinewing/internal/edge/keys"
)

const (
	senderShards = 16
	// defaultSenders bounds the senders a process remembers: about 1.3 KiB each.
	defaultSenders = 8192
)

// Senders holds the derived key and replay window of each sender whose tag was
// found right. It is bounded: a sender that was not heard since the hand of the
// clock last passed makes room for a new one. Any number of Openers share it.
type Senders struct {
	shards [senderShards]senderShard
}

// senderShard is one part of the table under its own lock, with the hand of the
// CLOCK algorithm (Corbato 1968) over its slots.
type senderShard struct {
	lock  sync.Mutex
	index map[uint64]int
	slots []sender
	limit int
	hand  int
}

type sender struct {
	number uint64
	set    *keys.Set
	epoch  keys.Epoch
	gmac   cipher.AEAD
	heard  bool
	window window
}

// NewSenders makes a table of at most limit senders; 0 means the default.
func NewSenders(limit int) *Senders {
	if limit <= 0 {
		limit = defaultSenders
	}
	t := &Senders{}
	for i := range t.shards {
		t.shards[i].index = make(map[uint64]int)
		t.shards[i].limit = max(limit/senderShards, 1)
	}
	return t
}

func (t *Senders) shard(number uint64) *senderShard {
	return &t.shards[number%senderShards]
}

// find gives the tag function that fits the set and epoch, nil if none is kept,
// and whether the sequence could be fresh.
func (s *senderShard) find(set *keys.Set, h header) (gmac cipher.AEAD, fresh bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	i, found := s.index[h.sender]
	if !found {
		return nil, h.sequence > 0
	}
	e := &s.slots[i]
	if e.set == set && e.epoch == keys.Epoch(h.epoch) {
		gmac = e.gmac
	}
	return gmac, e.window.fresh(h.sequence)
}

// accept records a datagram whose tag was right and tells whether it is the
// first of its sequence.
func (s *senderShard) accept(set *keys.Set, h header, gmac cipher.AEAD) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	i, found := s.index[h.sender]
	if !found {
		i = s.place(h.sender)
	}
	e := &s.slots[i]
	if !e.window.fresh(h.sequence) {
		return false
	}
	e.window.mark(h.sequence)
	e.heard = true
	e.set = set
	e.epoch = keys.Epoch(h.epoch)
	e.gmac = gmac
	return true
}

// place finds a slot for a new sender.
func (s *senderShard) place(number uint64) int {
	i := len(s.slots)
	if i < s.limit {
		s.slots = append(s.slots, sender{})
	} else {
		i = s.evict()
	}
	s.slots[i] = sender{
		number: number,
	}
	s.index[number] = i
	return i
}

func (s *senderShard) evict() int {
	for s.slots[s.hand].heard {
		s.slots[s.hand].heard = false
		s.hand = (s.hand + 1) % len(s.slots)
	}
	i := s.hand
	s.hand = (s.hand + 1) % len(s.slots)
	delete(s.index, s.slots[i].number)
	return i
}
