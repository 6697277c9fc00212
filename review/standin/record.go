package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file and counts broken rules.
type record struct {
	mutex  sync.Mutex
	file   *os.File
	start  time.Time
	broken int
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

// add writes one line with the time since the start in seconds.
func (r *record) add(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// breakRule writes one line on a broken rule.
func (r *record) breakRule(rule, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.add("BROKEN %s: %s", rule, text)
	r.mutex.Lock()
	r.broken++
	r.mutex.Unlock()
}

func (r *record) brokenRules() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.broken
}
