package store

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/clementinewing/clementinewing/internal/edge/store"
)

// Faults is the set of faults that a Service injects.
type Faults struct {
	// Down makes every call fail before it takes effect.
	Down bool
	// RequestDelayMS delays every call before it takes effect, in milliseconds.
	RequestDelayMS int
	// AnswerDelayMS delays every answer after the call took effect, in milliseconds.
	AnswerDelayMS int
	// LostAnswers is the number of answers to lose after the call took effect.
	LostAnswers int
	// LostWrites is the number of answers to swaps to lose after the swap took effect.
	LostWrites int
	// DropWatches makes watches wait until their context ends.
	DropWatches bool
}

// Service is a store.Store over a Memory that injects faults, on the wall clock.
type Service struct {
	Memory *Memory
	lock   sync.Mutex
	faults Faults
}

var _ store.Store = (*Service)(nil)

// New returns an empty service without faults.
func New() *Service {
	return &Service{
		Memory: NewMemory(),
	}
}

// SetFaults replaces the faults. DropWatches and Down also drop the watches that are
// already waiting.
func (s *Service) SetFaults(f Faults) {
	s.lock.Lock()
	s.faults = f
	s.lock.Unlock()
	if f.DropWatches || f.Down {
		s.Memory.DropWatches()
	}
}

// Get implements store.Store.
func (s *Service) Get(ctx context.Context, key string) (e store.Entry, err error) {
	defer func() { err = eris.Wrapf(err, "reading entry %s", key) }()
	if err = s.delayRequest(ctx); err != nil {
		return e, err
	}
	e = s.Memory.Get(key)
	return e, s.delayAnswer(ctx)
}

// Swap implements store.Store.
func (s *Service) Swap(ctx context.Context, key string, version uint64, value []byte) (e store.Entry, err error) {
	defer func() { err = eris.Wrapf(err, "writing entry %s", key) }()
	if len(value) > store.MaxValueBytes {
		return e, store.ErrTooLarge
	}
	if err = s.delayRequest(ctx); err != nil {
		return e, err
	}
	e, swapped := s.Memory.Swap(key, version, value)
	if s.takeLostWrite() {
		return store.Entry{}, wait(ctx, -1)
	}
	if err = s.delayAnswer(ctx); err != nil {
		return store.Entry{}, err
	}
	if !swapped {
		return e, &store.ConflictError{
			Current: e,
		}
	}
	return e, nil
}

// Lease implements store.Store.
func (s *Service) Lease(ctx context.Context, name, holder string, seconds uint32) (l store.Lease, err error) {
	defer func() { err = eris.Wrapf(err, "acquiring lease %s", name) }()
	deadline := time.Now().Add(time.Duration(seconds) * time.Second)
	if err = s.delayRequest(ctx); err != nil {
		return l, err
	}
	l, granted := s.Memory.Lease(time.Now(), name, holder, seconds)
	if err = s.delayAnswer(ctx); err != nil {
		return store.Lease{}, err
	}
	if !granted {
		return l, &store.HeldError{
			Current: l,
		}
	}
	l.Deadline = deadline
	return l, nil
}

// Watch implements store.Store.
func (s *Service) Watch(ctx context.Context, key string, after uint64) (e store.Entry, err error) {
	defer func() { err = eris.Wrapf(err, "watching entry %s", key) }()
	if err = s.delayRequest(ctx); err != nil {
		return e, err
	}
	if s.current().DropWatches {
		return e, wait(ctx, -1)
	}
	seen := make(chan store.Entry, 1)
	stop := s.Memory.Watch(key, after, func(e store.Entry) { seen <- e })
	defer stop()
	select {
	case e = <-seen:
		return e, s.delayAnswer(ctx)
	case <-ctx.Done():
		return e, store.ErrNoAnswer
	}
}

func (s *Service) current() Faults {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.faults
}

// delayRequest fails or delays a call before it takes effect.
func (s *Service) delayRequest(ctx context.Context) error {
	f := s.current()
	if f.Down {
		return store.ErrNoAnswer
	}
	return wait(ctx, f.RequestDelayMS)
}

// delayAnswer loses or delays the answer to a call that took effect.
func (s *Service) delayAnswer(ctx context.Context) error {
	s.lock.Lock()
	f := s.faults
	lose := s.faults.LostAnswers > 0
	if lose {
		s.faults.LostAnswers--
	}
	s.lock.Unlock()
	if lose {
		return wait(ctx, -1)
	}
	return wait(ctx, f.AnswerDelayMS)
}

func (s *Service) takeLostWrite() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	lose := s.faults.LostWrites > 0
	if lose {
		s.faults.LostWrites--
	}
	return lose
}

// wait waits for millis milliseconds, for ever if millis is negative. It returns the
// error for a missing answer if ctx ends first.
func wait(ctx context.Context, millis int) error {
	if millis == 0 {
		return nil
	}
	if millis < 0 {
		<-ctx.Done()
		return store.ErrNoAnswer
	}
	timer := time.NewTimer(time.Duration(millis) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return store.ErrNoAnswer
	}
}
