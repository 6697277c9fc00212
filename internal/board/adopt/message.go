package adopt

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/board/file"
	"github.com/clementinewing/clementinewing/internal/board/head"
	"github.com/clementinewing/clementinewing/internal/board/sign"
)

// Event is an input of the Machine.
type Event interface{ event() }

// Begin starts the machine.
type Begin struct{}

// Tick makes the machine check its deadlines. It arrives several times a second.
type Tick struct{}

// Members lists the members of the node's failure domain, including the node itself.
type Members struct {
	Names []string
}

// HeadRead answers a Watch with the head in the store.
type HeadRead struct {
	Value   []byte
	Version uint64
}

// WatchEnded answers a Watch whose deadline passed without a change of the head.
type WatchEnded struct{}

// WatchFailed answers a Watch that the store did not serve.
type WatchFailed struct{}

// RevisionAnnounced reports the active revision of a peer and the hash of its record.
type RevisionAnnounced struct {
	Revision   uint64
	RecordHash file.Hash
}

// PartFetched answers a Fetch with the part.
type PartFetched struct {
	Hash  file.Hash
	Bytes []byte
}

// RestoreEnded answers a Restore, whatever its outcome.
type RestoreEnded struct{}

// FetchFailed answers a Fetch that did not return the part.
type FetchFailed struct {
	Hash file.Hash
}

func (Begin) event()             {}
func (Tick) event()              {}
func (Members) event()           {}
func (HeadRead) event()          {}
func (WatchEnded) event()        {}
func (WatchFailed) event()       {}
func (RevisionAnnounced) event() {}
func (PartFetched) event()       {}
func (FetchFailed) event()       {}
func (RestoreEnded) event()      {}

// Source is where a part is fetched from.
type Source uint8

const (
	// Peers fetches from other balancers.
	Peers Source = iota + 1
	// Store fetches from the store, which is a service of the platform.
	Store
)

// Action is an output of the Machine for its caller to carry out.
type Action interface{ action() }

// Watch waits until the head has a store version above AfterVersion, or until the
// deadline.
type Watch struct {
	AfterVersion uint64
	Deadline     time.Time
}

// Fetch requests a part by its hash. In the store it has the key head.ContentKey(Hash).
type Fetch struct {
	Hash     file.Hash
	Source   Source
	Deadline time.Time
}

// Adopt activates a complete file on this node.
type Adopt struct {
	Active *ActiveFile
}

// Restore writes the active file back to a store that has an older one in force. Known holds
// the proposals that led to the active file, by revision.
type Restore struct {
	Active   *ActiveFile
	Known    map[uint64]sign.ID
	Deadline time.Time
}

// CountRefusal counts a revision that the node does not adopt.
type CountRefusal struct {
	Revision uint64
	Reason   head.Reason
}

func (Watch) action()        {}
func (Fetch) action()        {}
func (Adopt) action()        {}
func (Restore) action()      {}
func (CountRefusal) action() {}
