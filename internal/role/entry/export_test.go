package entry

import "time"

// WithNow replaces the wall clock.
func WithNow(now func() time.Time) Option {
	return func(e *PacketPath) {
		e.now = now
	}
}

// Step is a thread that handles one batch per call.
type Step struct {
	thread *thread
}

// NewStep returns a Step on the first sockets.
func NewStep(e *PacketPath) *Step {
	return &Step{
		thread: newThread(e, e.fabric[0], e.tunnel[0]),
	}
}

// Handle reads one batch and forwards it.
func (s *Step) Handle() (count int, err error) {
	count, err = s.thread.reader.Read()
	if err == nil {
		s.thread.handleBatch(s.thread.entry.now(), count)
	}
	return count, err
}
