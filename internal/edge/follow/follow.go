// Package follow keeps a node at the file in force. It runs the state machine of
// board/adopt against the store and peers on the real clock.
package follow

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clementinewing/clementinewing/internal/board/adopt"
	"github.com/clementinewing/clementinewing/internal/board/file"
	"github.com/clementinewing/clementinewing/internal/board/head"
	"github.com/clementinewing/clementinewing/internal/edge/board"
	"github.com/clementinewing/clementinewing/internal/edge/store"
)

const (
	tickInterval    = 200 * time.Millisecond
	maxQueuedEvents = 64
)

// Peers fetches parts of accepted files from other balancers.
type Peers interface {
	FetchFile(ctx context.Context, hash string) (content []byte, err error)
}

// Follower keeps a node at the file in force.
type Follower struct {
	store      store.Store
	peers      Peers
	machine    *adopt.Machine
	events     chan adopt.Event
	onAdopted  func(*adopt.ActiveFile)
	onRefused  func(adopt.CountRefusal)
	onRestored func(head.Result)
	seed       uint64
	activeFile atomic.Pointer[adopt.ActiveFile]
	calls      sync.WaitGroup
}

// Option configures a Follower.
type Option func(*Follower)

// WithAdopted calls f with each file that becomes active, in order.
func WithAdopted(f func(*adopt.ActiveFile)) Option {
	return func(o *Follower) {
		o.onAdopted = f
	}
}

// WithRefused calls f for each revision that is refused.
func WithRefused(f func(adopt.CountRefusal)) Option {
	return func(o *Follower) {
		o.onRefused = f
	}
}

// WithRestored calls f with the result of each attempt to write the active file back to the
// store.
func WithRestored(f func(head.Result)) Option {
	return func(o *Follower) {
		o.onRestored = f
	}
}

// New returns the Follower of the node named self. seed seeds its jitter. A nil store
// behaves as one that never answers.
func New(self string, seed uint64, s store.Store, options ...Option) *Follower {
	f := &Follower{
		store:      s,
		machine:    adopt.New(self, seed),
		seed:       seed,
		events:     make(chan adopt.Event, maxQueuedEvents),
		onAdopted:  func(*adopt.ActiveFile) {},
		onRefused:  func(adopt.CountRefusal) {},
		onRestored: func(head.Result) {},
	}
	for _, o := range options {
		o(f)
	}
	return f
}

// SetPeers sets the second source of parts, besides the store. Call it before Run.
func (f *Follower) SetPeers(p Peers) {
	f.peers = p
}

// ActiveFile returns the active file, or nil before the first.
func (f *Follower) ActiveFile() *adopt.ActiveFile {
	return f.activeFile.Load()
}

// File returns the part of the active file that has the given hash, for a peer.
func (f *Follower) File(hash string) (content []byte, ok bool) {
	h := f.activeFile.Load()
	if h == nil {
		return nil, false
	}
	var sum file.Hash
	if sum.UnmarshalText([]byte(hash)) != nil {
		return nil, false
	}
	content, ok = h.Parts[sum]
	return content, ok
}

// HandleAnnouncement handles a peer's announcement of a later revision. It does not block:
// an announcement that finds the queue full is dropped, and the revision is learned from
// the next announcement or from the store.
func (f *Follower) HandleAnnouncement(revision uint64, record file.Hash) {
	f.offerEvent(adopt.RevisionAnnounced{
		Revision:   revision,
		RecordHash: record,
	})
}

// SetMembers sets the balancers of the node's failure domain, including the node itself.
func (f *Follower) SetMembers(names []string) {
	f.offerEvent(adopt.Members{
		Names: names,
	})
}

func (f *Follower) offerEvent(e adopt.Event) {
	select {
	case f.events <- e:
	default:
	}
}

// Run keeps the node at the file in force until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	f.stepMachine(ctx, adopt.Begin{})
	for {
		select {
		case <-ctx.Done():
			f.calls.Wait()
			return
		case e := <-f.events:
			f.stepMachine(ctx, e)
		case <-ticker.C:
			f.stepMachine(ctx, adopt.Tick{})
		}
	}
}

func (f *Follower) stepMachine(ctx context.Context, e adopt.Event) {
	for _, a := range f.machine.Step(time.Now(), e) {
		switch a := a.(type) {
		case adopt.Watch:
			f.startCall(ctx, a.Deadline, func(ctx context.Context) adopt.Event { return f.watch(ctx, a) })
		case adopt.Fetch:
			f.startCall(ctx, a.Deadline, func(ctx context.Context) adopt.Event { return f.fetch(ctx, a) })
		case adopt.Restore:
			f.startCall(ctx, a.Deadline, func(ctx context.Context) adopt.Event { return f.restore(ctx, a) })
		case adopt.Adopt:
			f.activeFile.Store(a.Active)
			f.onAdopted(a.Active)
		case adopt.CountRefusal:
			f.onRefused(a)
		}
	}
}

// startCall makes one call in a separate goroutine and queues its event.
func (f *Follower) startCall(ctx context.Context, deadline time.Time, request func(context.Context) adopt.Event) {
	f.calls.Go(func() {
		limited, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		e := request(limited)
		select {
		case f.events <- e:
		case <-ctx.Done():
		}
	})
}

func (f *Follower) watch(ctx context.Context, a adopt.Watch) adopt.Event {
	if f.store == nil {
		return adopt.WatchFailed{}
	}
	e, err := f.store.Watch(ctx, head.Key, a.AfterVersion)
	switch {
	case err == nil && e.Version > a.AfterVersion:
		return adopt.HeadRead{
			Value:   e.Value,
			Version: e.Version,
		}
	case err == nil || errors.Is(ctx.Err(), context.DeadlineExceeded):
		return adopt.WatchEnded{}
	default:
		return adopt.WatchFailed{}
	}
}

// restore writes the active file back to the store.
func (f *Follower) restore(ctx context.Context, a adopt.Restore) adopt.Event {
	f.onRestored(board.Run(ctx, f.store, head.NewRestore(a.Active.Record, a.Active.File, a.Known, a.Deadline, f.seed)))
	return adopt.RestoreEnded{}
}

func (f *Follower) fetch(ctx context.Context, a adopt.Fetch) adopt.Event {
	content, err := f.fetchContent(ctx, a)
	if err != nil || len(content) == 0 {
		return adopt.FetchFailed{
			Hash: a.Hash,
		}
	}
	return adopt.PartFetched{
		Hash:  a.Hash,
		Bytes: content,
	}
}

func (f *Follower) fetchContent(ctx context.Context, a adopt.Fetch) (content []byte, err error) {
	switch {
	case a.Source == adopt.Peers && f.peers != nil:
		return f.peers.FetchFile(ctx, a.Hash.String())
	case a.Source == adopt.Store && f.store != nil:
		e, err := f.store.Get(ctx, head.ContentKey(a.Hash))
		return e.Value, err
	default:
		return nil, store.ErrNoAnswer
	}
}
