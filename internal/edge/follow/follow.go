// Package follow runs a node's adopt machine against the store and its peers.
package follow

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/clementinewing/clementinewing/internal/board/adopt"
	"github.com/clementinewing/clementinewing/internal/board/file"
	"github.com/clementinewing/clementinewing/internal/board/head"
	"github.com/clementinewing/clementinewing/internal/edge/store"
)

const (
	// tickEvery is the interval of the machine's ticks.
	tickEvery = 100 * time.Millisecond
	// queueLength bounds the events that wait for the machine.
	queueLength = 64
)

// Peers fetches a part by its hash in hex from any other node that has it.
type Peers interface {
	FetchFile(ctx context.Context, hash string) ([]byte, error)
}

// Follower keeps the file in force on this node.
type Follower struct {
	store   store.Store
	peers   Peers
	scope   tally.Scope
	adopted func(*adopt.Held)
	machine *adopt.Machine
	events  chan adopt.Event

	lock sync.RWMutex
	// held and before are the file in force and the one before it, for peers
	// that are still fetching.
	held   *adopt.Held
	before *adopt.Held
}

// Option sets one property of a Follower.
type Option func(*Follower)

// WithPeers fetches from peers too.
func WithPeers(p Peers) Option {
	return func(f *Follower) {
		f.peers = p
	}
}

// WithScope counts in scope: adoptions, refusals by reason, calls without an
// answer.
func WithScope(s tally.Scope) Option {
	return func(f *Follower) {
		f.scope = s
	}
}

// WithAdopted calls back with each file that comes in force on this node, in the
// order of their revisions and from one goroutine.
func WithAdopted(adopted func(*adopt.Held)) Option {
	return func(f *Follower) {
		f.adopted = adopted
	}
}

// New makes the follower of the node with a name, unlike any other node's; seed
// draws its jitter.
func New(self string, seed uint64, s store.Store, options ...Option) *Follower {
	f := &Follower{
		store:   s,
		scope:   tally.NoopScope,
		adopted: func(*adopt.Held) {},
		machine: adopt.New(self, seed),
		events:  make(chan adopt.Event, queueLength),
	}
	for _, o := range options {
		o(f)
	}
	return f
}

// Held is the file in force on this node, nil before the first.
func (f *Follower) Held() *adopt.Held {
	f.lock.RLock()
	defer f.lock.RUnlock()
	return f.held
}

// File gives a part of the file in force, or of the one before, to a peer.
func (f *Follower) File(hash string) (content []byte, ok bool) {
	var h file.Hash
	if h.UnmarshalText([]byte(hash)) != nil {
		return nil, false
	}
	f.lock.RLock()
	defer f.lock.RUnlock()
	for _, held := range []*adopt.Held{f.held, f.before} {
		if held == nil {
			continue
		}
		if content, ok = held.Parts[h]; ok {
			return content, true
		}
	}
	return nil, false
}

// Heard tells that a peer has a revision, named by its record's hash in hex.
func (f *Follower) Heard(ctx context.Context, revision uint64, hash string) {
	var h file.Hash
	if h.UnmarshalText([]byte(hash)) != nil {
		f.scope.Counter("board_bad_hash").Inc(1)
		return
	}
	f.send(ctx, adopt.Heard{
		Revision: revision,
		Record:   h,
	})
}

// Members tells who is in this node's failure domain, itself included.
func (f *Follower) Members(ctx context.Context, names []string) {
	f.send(ctx, adopt.Members{
		Names: names,
	})
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	var event adopt.Event = adopt.Begin{}
	for {
		for _, a := range f.machine.Step(time.Now(), event) {
			f.do(ctx, &calls, a)
		}
		select {
		case <-ctx.Done():
			return
		case event = <-f.events:
		case <-ticker.C:
			event = adopt.Tick{}
		}
	}
}

func (f *Follower) do(ctx context.Context, calls *sync.WaitGroup, a adopt.Action) {
	switch a := a.(type) {
	case adopt.Watch:
		calls.Go(func() { f.send(ctx, f.watch(ctx, a)) })
	case adopt.Fetch:
		calls.Go(func() { f.send(ctx, f.fetch(ctx, a)) })
	case adopt.Adopt:
		f.adopt(a.Held)
	case adopt.Refuse:
		f.scope.Tagged(map[string]string{"reason": string(a.Reason)}).Counter("board_refused").Inc(1)
	}
}

func (f *Follower) adopt(held *adopt.Held) {
	f.lock.Lock()
	f.before = f.held
	f.held = held
	f.lock.Unlock()
	f.scope.Counter("board_adopted").Inc(1)
	f.scope.Gauge("board_revision").Update(float64(held.Revision()))
	f.adopted(held)
}

func (f *Follower) watch(ctx context.Context, a adopt.Watch) adopt.Event {
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	defer cancel()
	e, err := f.store.Watch(ctx, head.Key, a.After)
	switch {
	case err == nil:
		return adopt.HeadRead{
			Value:   e.Value,
			Version: e.Version,
		}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return adopt.WatchEnded{}
	default:
		f.scope.Counter("board_watch_away").Inc(1)
		return adopt.StoreAway{}
	}
}

func (f *Follower) fetch(ctx context.Context, a adopt.Fetch) adopt.Event {
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	defer cancel()
	content, ok := f.get(ctx, a)
	if !ok {
		f.scope.Counter("board_part_missing").Inc(1)
		return adopt.Missing{
			Hash: a.Hash,
		}
	}
	return adopt.Part{
		Hash:  a.Hash,
		Bytes: content,
	}
}

func (f *Follower) get(ctx context.Context, a adopt.Fetch) (content []byte, ok bool) {
	if a.Source == adopt.Store {
		e, err := f.store.Get(ctx, head.ContentKey(a.Hash))
		return e.Value, err == nil && e.Version > 0
	}
	if f.peers == nil {
		return nil, false
	}
	content, err := f.peers.FetchFile(ctx, a.Hash.String())
	return content, err == nil
}

func (f *Follower) send(ctx context.Context, e adopt.Event) {
	select {
	case f.events <- e:
	case <-ctx.Done():
	}
}
