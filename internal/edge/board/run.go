// Package board runs the state machines of operator commands against the store.
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

// callTimeout limits one call to the store.
const callTimeout = 2 * time.Second

// Machine is a state machine that has at most one call pending at a time.
type Machine interface {
	Step(now time.Time, e head.Event) []head.Action
}

// Run runs a machine until it finishes. If the context ends first, the result is a refusal
// with reason store_away.
func Run(ctx context.Context, s store.Store, m Machine) head.Result {
	var event head.Event = head.Begin{}
	for {
		actions := m.Step(time.Now(), event)
		for _, a := range actions {
			if done, ok := a.(head.Finish); ok {
				return done.Result
			}
			event = performAction(ctx, s, a)
		}
		if ctx.Err() != nil || len(actions) == 0 {
			return head.Result{
				Refusal: head.NewRefusal(head.StoreAway, "stopped before the store answered; run the same command again to see the outcome"),
			}
		}
	}
}

// ReadHead reads the head. It retries calls without an answer until the deadline.
func ReadHead(ctx context.Context, s store.Store, deadline time.Time, seed uint64) (h head.Head, err error) {
	defer func() { err = eris.Wrap(err, "reading the head from the store") }()
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	backoff := retry.New(seed, head.FirstRetryDelay, head.MaxRetryDelay)
	for {
		e, err := readEntry(ctx, s, head.Key)
		if err == nil {
			return head.Decode(e.Value)
		}
		sleepUntil(ctx, backoff.Next(time.Now()))
		if ctx.Err() != nil {
			return h, err
		}
	}
}

func readEntry(ctx context.Context, s store.Store, key string) (store.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.Get(ctx, key)
}

func performAction(ctx context.Context, s store.Store, a head.Action) head.Event {
	switch a := a.(type) {
	case head.Get:
		return performGet(ctx, s, a)
	case head.Swap:
		return performSwap(ctx, s, a)
	case head.Sleep:
		sleepUntil(ctx, a.Until)
		return head.SleepEnded{}
	}
	return head.NoAnswer{}
}

func performGet(ctx context.Context, s store.Store, a head.Get) head.Event {
	e, err := readEntry(ctx, s, a.Key)
	if err != nil {
		return head.NoAnswer{}
	}
	return head.Got{
		Key:     e.Key,
		Value:   e.Value,
		Version: e.Version,
	}
}

func performSwap(ctx context.Context, s store.Store, a head.Swap) head.Event {
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
		return head.NoAnswer{}
	}
	return head.Swapped{
		Key: a.Key,
	}
}

func sleepUntil(ctx context.Context, until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
