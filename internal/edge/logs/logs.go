// Package logs writes structured log lines to a stream without blocking on it. Lines that
// the stream does not accept in time are dropped and counted.
package logs

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// timeFormat includes milliseconds, so that lines of several processes can be sorted
	// by time.
	timeFormat = "2006-01-02T15:04:05.000Z07:00"
	// maxBufferedLines limits the lines that wait for the stream.
	maxBufferedLines = 2048
	// maxRoutineLines limits the lines on routine decisions that a process writes in one
	// sampleInterval. Refusals, resets and state changes are not part of this limit.
	maxRoutineLines = 100
	sampleInterval  = time.Second
	// maxImportantLines limits all other lines in the same interval.
	maxImportantLines = 400
)

// Logs is the log of one process.
type Logs struct {
	// Important is for refusals, resets, state changes, and lost or regained
	// dependencies. It is limited only by maxImportantLines.
	Important zerolog.Logger
	// Routine is for decisions on ordinary packets. It is limited by maxRoutineLines.
	Routine zerolog.Logger
	dropped atomic.Uint64
	writer  diode.Writer
}

// New returns a Logs that writes the log lines of a process to out.
func New(out io.Writer, role, name string) *Logs {
	l := &Logs{}
	l.writer = diode.NewWriter(out, maxBufferedLines, 0, func(missed int) {
		l.dropped.Add(uint64(missed))
	})
	base := zerolog.New(l.writer).With().Str("role", role).Str("name", name).Logger().Hook(timestampHook{})
	l.Important = base.Sample(&zerolog.BurstSampler{
		Burst:  maxImportantLines,
		Period: sampleInterval,
	})
	l.Routine = base.Sample(&zerolog.BurstSampler{
		Burst:  maxRoutineLines,
		Period: sampleInterval,
	})
	return l
}

// Dropped returns the number of lines dropped because the stream was too slow.
func (l *Logs) Dropped() uint64 {
	return l.dropped.Load()
}

// Close writes the buffered lines, as far as the stream accepts them.
func (l *Logs) Close() error {
	return l.writer.Close()
}

// timestampHook adds the time to each line. The library's own timestamp takes its format
// from a global variable, and setting that would race with other loggers.
type timestampHook struct{}

// Run implements zerolog.Hook.
func (timestampHook) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str(zerolog.TimestampFieldName, time.Now().UTC().Format(timeFormat))
}
