// Package logs writes structured lines to a stream without ever waiting for it.
// Lines that the stream does not take in time are dropped and counted.
package logs

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// timeFormat has milliseconds, which put the lines of several processes in
	// order.
	timeFormat = "2006-01-02T15:04:05.000Z07:00"
	// bufferLines is how many lines wait for the stream.
	bufferLines = 2048
	// flowLines is how many lines of routine decisions a process writes in
	// flowPeriod; refusals, resets and changes of belief are not sampled.
	flowLines  = 100
	flowPeriod = time.Second
	// troubleLines bounds the other lines in the same period.
	troubleLines = 400
)

// Logs is the log of one process.
type Logs struct {
	// Trouble takes what is never sampled below its own bound: refusals,
	// resets, changes of belief, lost and regained dependencies.
	Trouble zerolog.Logger
	// Routine takes the decisions on ordinary packets.
	Routine zerolog.Logger
	dropped atomic.Uint64
	writer  diode.Writer
}

// New writes the lines of a process to out.
func New(out io.Writer, role, name string) *Logs {
	l := &Logs{}
	l.writer = diode.NewWriter(out, bufferLines, 0, func(missed int) {
		l.dropped.Add(uint64(missed))
	})
	base := zerolog.New(l.writer).With().Str("role", role).Str("name", name).Logger().Hook(stamp{})
	l.Trouble = base.Sample(&zerolog.BurstSampler{
		Burst:  troubleLines,
		Period: flowPeriod,
	})
	l.Routine = base.Sample(&zerolog.BurstSampler{
		Burst:  flowLines,
		Period: flowPeriod,
	})
	return l
}

// Dropped is how many lines the stream did not take.
func (l *Logs) Dropped() uint64 {
	return l.dropped.Load()
}

// Close writes what waits, as far as the stream takes it.
func (l *Logs) Close() error {
	return l.writer.Close()
}

// stamp writes the time into each line. The library's own stamp has its format in
// a variable of the whole program.
type stamp struct{}

// Run implements zerolog.Hook.
func (stamp) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str(zerolog.TimestampFieldName, time.Now().UTC().Format(timeFormat))
}
