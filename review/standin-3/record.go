package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run.
type record struct {
	mutex   sync.Mutex
	startAt time.Time
	file    *os.File
	out     *bufio.Writer
}

func newRecord(path string) (r *record, err error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		startAt: time.Now(),
		file:    f,
		out:     bufio.NewWriter(f),
	}, nil
}

// note writes one line with the time since the start in seconds.
func (r *record) note(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.startAt).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if err := r.out.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
