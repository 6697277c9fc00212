// Package watch checks a settings file each time it changes, so that operators learn that a change
// is refused while the process that has read the earlier file still runs, and not from its next
// start.
package watch

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/clementinewing/clementinewing/internal/edge/logs"
	"github.com/clementinewing/clementinewing/internal/edge/meter"
)

// pollInterval is the interval of reads that look for a change without a signal.
const pollInterval = 2 * time.Second

// Watch watches the settings file of a running process. The process keeps its settings.
type Watch struct {
	path  string
	check func(text string) error
	log   *logs.Logs

	mutex sync.Mutex
	// text is the content that was checked last; unreadable is set if the file could not be read
	// then.
	text       string
	unreadable bool
	accepted   uint64
	refused    uint64
	// invalid is set if the next start would fail.
	invalid bool
}

// New returns a Watch for the file at path, of which the process has accepted text. The error of
// check lists the faults of a text.
func New(path, text string, l *logs.Logs, check func(text string) error) *Watch {
	return &Watch{
		path:  path,
		check: check,
		log:   l,
		text:  text,
	}
}

// Run checks the file at each signal, and after a change also without one, until ctx is done.
func (w *Watch) Run(ctx context.Context, hangups <-chan os.Signal) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			w.Check()
		case <-ticker.C:
			w.Poll()
		}
	}
}

// Check reads and checks the file.
func (w *Watch) Check() {
	text, err := os.ReadFile(w.path)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.examine(string(text), err)
}

// Poll reads the file and checks it if it has changed since the last check.
func (w *Watch) Poll() {
	text, err := os.ReadFile(w.path)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if unreadable := err != nil; unreadable != w.unreadable || !unreadable && string(text) != w.text {
		w.examine(string(text), err)
	}
}

func (w *Watch) examine(text string, err error) {
	w.unreadable = err != nil
	if err == nil {
		w.text = text
		err = w.check(text)
	}
	w.invalid = err != nil
	if w.invalid {
		w.refused++
		w.log.Important.Error().Err(err).Msg("settings file is invalid; the running settings are unchanged and the next start would fail")
		return
	}
	w.accepted++
	w.log.Important.Info().Msg("settings file is valid; it takes effect at the next start")
}

// Sample returns the counters and gauges of the checks.
func (w *Watch) Sample() meter.Sample {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	invalid := 0.0
	if w.invalid {
		invalid = 1
	}
	return meter.Sample{
		Totals: []meter.Total{
			{Name: "settings_accepted", Value: w.accepted},
			{Name: "settings_refused", Value: w.refused},
		},
		Levels: []meter.Level{
			{Name: "settings_invalid", Value: invalid},
		},
	}
}
