// Package board runs the state machines of operators' commands against the store.
package board

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/clementinewing/clementinewing/internal/board/head"
	"github.com/clementinewing/clementinewing/internal/board/retry"
	"github.com/clementinewing/clementinewing/internal/edge/store"
)

// callTimeout bounds one call to the store.
const callTimeout = 2 * time.Second

// Machine is a state machine with one call under way at a time.
type Machine interface {
	Step(now time.Time, e head.Event) []head.Action
}

// Run drives a machine to its end. It gives up early, with reason store_away,
// if the context ends.
func Run(ctx context.Context, s store.Store, m Machine) head.Result {
	var event head.Event = head.Begin{}
	for {
		actions := m.Step(time.Now(), event)
		for _, a := range actions {
			if done, ok := a.(head.Finish); ok {
				return done.Result
			}
			event = do(ctx, s, a)
		}
		if ctx.Err() != nil || len(actions) == 0 {
			return head.Result{
				Refusal: head.Refuse(head.StoreAway, "stopped before an answer came; run the same command again to learn what it came to"),
			}
		}
	}
}

// ReadHead reads the head, and tries again after calls without an answer until
// the deadline.
func ReadHead(ctx context.Context, s store.Store, deadline time.Time, seed uint64) (h head.Head, err error) {
	defer func() { err = eris.Wrap(err, "reading the head") }()
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	backoff := retry.New(seed, head.LeastWait, head.MostWait)
	for {
		e, err := read(ctx, s, head.Key)
		if err == nil {
			return head.Decode(e.Value)
		}
		sleep(ctx, backoff.Next(time.Now()))
		if ctx.Err() != nil {
			return h, err
		}
	}
}

func read(ctx context.Context, s store.Store, key string) (store.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.Get(ctx, key)
}

func do(ctx context.Context, s store.Store, a head.Action) head.Event {
	switch a := a.(type) {
	case head.Get:
		return get(ctx, s, a)
	case head.Swap:
		return swap(ctx, s, a)
	case head.Sleep:
		sleep(ctx, a.Until)
		return head.Woke{}
	}
	return head.Away{}
}

func get(ctx context.Context, s store.Store, a head.Get) head.Event {
	e, err := read(ctx, s, a.Key)
	if err != nil {
		return head.Away{}
	}
	return head.Got{
		Key:     e.Key,
		Value:   e.Value,
		Version: e.Version,
	}
}

func swap(ctx context.Context, s store.Store, a head.Swap) head.Event {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := s.Swap(ctx, a.Key, a.Version, a.Value)
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict):
		return head.Conflicted{
			Key:     conflict.Current.Key,
			Value:   conflict.Current.Value,
			Version: conflict.Current.Version,
		}
	case err != nil:
		return head.Away{}
	}
	return head.Swapped{
		Key: a.Key,
	}
}

func sleep(ctx context.Context, until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
