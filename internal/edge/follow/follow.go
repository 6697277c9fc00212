// Package follow runs a balancer's side of the file in force: board/adopt over the
// store and over peers, on the real clock.
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
	"github.com/clementinewing/clementinewing/internal/edge/store"
)

const (
	tickInterval = 200 * time.Millisecond
	queueEvents  = 64
)

// Peers gives the parts of accepted files that other balancers hold.
type Peers interface {
	FetchFile(ctx context.Context, hash string) (content []byte, err error)
}

// Follower keeps a balancer at the file in force.
type Follower struct {
	store   store.Store
	peers   Peers
	machine *adopt.Machine
	events  chan adopt.Event
	adopted func(*adopt.Held)
	refused func(adopt.Refuse)
	held    atomic.Pointer[adopt.Held]
	calls   sync.WaitGroup
}

// Option sets one property of a Follower.
type Option func(*Follower)

// WithAdopted is told of each file that is put in force, in order.
func WithAdopted(f func(*adopt.Held)) Option {
	return func(o *Follower) {
		o.adopted = f
	}
}

// WithRefused is told of each revision that is not put in force.
func WithRefused(f func(adopt.Refuse)) Option {
	return func(o *Follower) {
		o.refused = f
	}
}

// New makes the follower of the node called self; seed draws its jitter. A nil
// store is one that is always away.
func New(self string, seed uint64, s store.Store, options ...Option) *Follower {
	f := &Follower{
		store:   s,
		machine: adopt.New(self, seed),
		events:  make(chan adopt.Event, queueEvents),
		adopted: func(*adopt.Held) {},
		refused: func(adopt.Refuse) {},
	}
	for _, o := range options {
		o(f)
	}
	return f
}

// SetPeers sets where parts come from besides the store; call it before Run.
func (f *Follower) SetPeers(p Peers) {
	f.peers = p
}

// Held is the file in force, nil before the first.
func (f *Follower) Held() *adopt.Held {
	return f.held.Load()
}

// File gives a part of the file in force to a peer.
func (f *Follower) File(hash string) (content []byte, ok bool) {
	h := f.held.Load()
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

// Heard tells that a peer has a later revision in force. It does not wait: what
// finds no room is heard again with the next change or read from the store.
func (f *Follower) Heard(revision uint64, record file.Hash) {
	f.offer(adopt.Heard{
		Revision: revision,
		Record:   record,
	})
}

// Members names the balancers of the node's own failure domain, itself included.
func (f *Follower) Members(names []string) {
	f.offer(adopt.Members{
		Names: names,
	})
}

func (f *Follower) offer(e adopt.Event) {
	select {
	case f.events <- e:
	default:
	}
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	f.step(ctx, adopt.Begin{})
	for {
		select {
		case <-ctx.Done():
			f.calls.Wait()
			return
		case e := <-f.events:
			f.step(ctx, e)
		case <-ticker.C:
			f.step(ctx, adopt.Tick{})
		}
	}
}

func (f *Follower) step(ctx context.Context, e adopt.Event) {
	for _, a := range f.machine.Step(time.Now(), e) {
		switch a := a.(type) {
		case adopt.Watch:
			f.call(ctx, a.Deadline, func(ctx context.Context) adopt.Event { return f.watch(ctx, a) })
		case adopt.Fetch:
			f.call(ctx, a.Deadline, func(ctx context.Context) adopt.Event { return f.fetch(ctx, a) })
		case adopt.Adopt:
			f.held.Store(a.Held)
			f.adopted(a.Held)
		case adopt.Refuse:
			f.refused(a)
		}
	}
}

// call makes one call beside the machine and brings its event back.
func (f *Follower) call(ctx context.Context, deadline time.Time, do func(context.Context) adopt.Event) {
	f.calls.Go(func() {
		limited, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		e := do(limited)
		select {
		case f.events <- e:
		case <-ctx.Done():
		}
	})
}

func (f *Follower) watch(ctx context.Context, a adopt.Watch) adopt.Event {
	if f.store == nil {
		return adopt.StoreAway{}
	}
	e, err := f.store.Watch(ctx, head.Key, a.After)
	switch {
	case err == nil && e.Version > a.After:
		return adopt.HeadRead{
			Value:   e.Value,
			Version: e.Version,
		}
	case err == nil || errors.Is(ctx.Err(), context.DeadlineExceeded):
		return adopt.WatchEnded{}
	default:
		return adopt.StoreAway{}
	}
}

func (f *Follower) fetch(ctx context.Context, a adopt.Fetch) adopt.Event {
	content, err := f.content(ctx, a)
	if err != nil || len(content) == 0 {
		return adopt.Missing{
			Hash: a.Hash,
		}
	}
	return adopt.Part{
		Hash:  a.Hash,
		Bytes: content,
	}
}

func (f *Follower) content(ctx context.Context, a adopt.Fetch) (content []byte, err error) {
	switch {
	case a.Source == adopt.Peers && f.peers != nil:
		return f.peers.FetchFile(ctx, a.Hash.String())
	case a.Source == adopt.Store && f.store != nil:
		e, err := f.store.Get(ctx, head.ContentKey(a.Hash))
		return e.Value, err
	default:
		return nil, store.ErrAway
	}
}
