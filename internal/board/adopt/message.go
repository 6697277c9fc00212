package adopt

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/board/file"
	"github.com/clementinewing/clementinewing/internal/board/head"
)

// Event is what happened to a node.
type Event interface{ event() }

// Begin starts the machine.
type Begin struct{}

// Tick lets deadlines pass. It comes several times a second.
type Tick struct{}

// Members names the members of the node's own failure domain, itself included.
type Members struct {
	Names []string
}

// HeadRead answers a Watch with what the store holds.
type HeadRead struct {
	Value   []byte
	Version uint64
}

// WatchEnded answers a Watch whose deadline passed without a change.
type WatchEnded struct{}

// StoreAway answers a Watch that the store refused.
type StoreAway struct{}

// Heard tells that a peer has a revision in force, and the hash of its record.
type Heard struct {
	Revision uint64
	Record   file.Hash
}

// Part answers a Fetch.
type Part struct {
	Hash  file.Hash
	Bytes []byte
}

// Missing answers a Fetch that gave nothing.
type Missing struct {
	Hash file.Hash
}

func (Begin) event()      {}
func (Tick) event()       {}
func (Members) event()    {}
func (HeadRead) event()   {}
func (WatchEnded) event() {}
func (StoreAway) event()  {}
func (Heard) event()      {}
func (Part) event()       {}
func (Missing) event()    {}

// Source is where a part comes from.
type Source uint8

const (
	// Peers are the other balancers.
	Peers Source = iota + 1
	// Store is the platform's service.
	Store
)

// Action is what the machine wants done.
type Action interface{ action() }

// Watch waits for a head above a version of the store, until a deadline.
type Watch struct {
	After    uint64
	Deadline time.Time
}

// Fetch gets a part by its hash. A part of the store is under head.ContentKey.
type Fetch struct {
	Hash     file.Hash
	Source   Source
	Deadline time.Time
}

// Adopt puts a whole file in force on this node.
type Adopt struct {
	Held *Held
}

// Refuse counts a revision that the node does not adopt.
type Refuse struct {
	Revision uint64
	Reason   head.Reason
}

func (Watch) action()  {}
func (Fetch) action()  {}
func (Adopt) action()  {}
func (Refuse) action() {}
