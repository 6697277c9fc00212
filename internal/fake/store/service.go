package store

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/clementinewing/clementinewing/internal/edge/store"
)

// Faults is what is wrong with the service at the moment.
type Faults struct {
	// Down refuses every call before it takes effect.
	Down bool
	// SlowMillis delays every call before it takes effect, in milliseconds.
	SlowMillis int
	// LateMillis delays every answer after the call took effect.
	LateMillis int
	// LoseAnswers is how many answers are lost after the call took effect.
	LoseAnswers int
	// LoseWrites is how many answers to swaps are lost in this way.
	LoseWrites int
	// DropWatches makes watches wait for ever.
	DropWatches bool
}

// Service is a store.Store over a Memory with faults, on the wall clock.
type Service struct {
	Memory *Memory
	lock   sync.Mutex
	faults Faults
}

var _ store.Store = (*Service)(nil)

// New starts a service without faults.
func New() *Service {
	return &Service{
		Memory: NewMemory(),
	}
}

// Set replaces the faults. Watches that wait already are dropped if told so.
func (s *Service) Set(f Faults) {
	s.lock.Lock()
	s.faults = f
	s.lock.Unlock()
	if f.DropWatches || f.Down {
		s.Memory.DropWatches()
	}
}

// Get implements store.Store.
func (s *Service) Get(ctx context.Context, key string) (e store.Entry, err error) {
	defer func() { err = eris.Wrapf(err, "reading %s", key) }()
	if err = s.delayRequest(ctx); err != nil {
		return e, err
	}
	e = s.Memory.Get(key)
	return e, s.delayAnswer(ctx)
}

// Swap implements store.Store.
func (s *Service) Swap(ctx context.Context, key string, version uint64, value []byte) (e store.Entry, err error) {
	defer func() { err = eris.Wrapf(err, "writing %s", key) }()
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
	defer func() { err = eris.Wrapf(err, "claiming %s", name) }()
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
	defer func() { err = eris.Wrapf(err, "watching %s", key) }()
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
		return e, store.ErrAway
	}
}

func (s *Service) current() Faults {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.faults
}

// before holds a call up before it takes effect.
func (s *Service) delayRequest(ctx context.Context) error {
	f := s.current()
	if f.Down {
		return store.ErrAway
	}
	return wait(ctx, f.SlowMillis)
}

// after holds an answer up once the call took effect.
func (s *Service) delayAnswer(ctx context.Context) error {
	s.lock.Lock()
	f := s.faults
	lose := s.faults.LoseAnswers > 0
	if lose {
		s.faults.LoseAnswers--
	}
	s.lock.Unlock()
	if lose {
		return wait(ctx, -1)
	}
	return wait(ctx, f.LateMillis)
}

func (s *Service) takeLostWrite() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	lose := s.faults.LoseWrites > 0
	if lose {
		s.faults.LoseWrites--
	}
	return lose
}

// wait passes millis, below 0 for ever, or gives ErrAway if ctx ends first.
func wait(ctx context.Context, millis int) error {
	if millis == 0 {
		return nil
	}
	if millis < 0 {
		<-ctx.Done()
		return store.ErrAway
	}
	timer := time.NewTimer(time.Duration(millis) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return store.ErrAway
	}
}
