// Package story finds the lines of one request or flow in the logs of several
// processes and puts them in order, with what the processes believed meanwhile.
package story

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// ErrNothing tells that no line speaks of what was asked for.
var ErrNothing = errors.New("no line speaks of it")

// lineBytes bounds a line that is read.
const lineBytes = 1 << 20

// beliefs are the messages of changes of belief.
var beliefs = []string{
	"plan in force",
	"endpoint changed",
	"store lost",
	"store regained",
	"balancer started",
	"agent started",
	"balancer leaves; packets are carried until they cease",
	"agent leaves; new flows are handed on",
	"balancer is ready",
}

// hidden are fields that every line has, or that are told already.
var hidden = []string{"time", "level", "role", "name", "message", "flow"}

// Line is one line of a log.
type Line struct {
	At      time.Time
	Process string
	Message string
	Flow    string
	Request string
	fields  map[string]any
}

// String gives the line as the story tells it.
func (l *Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: %s", l.At.Format("15:04:05.000"), l.Process, l.Message)
	keys := make([]string, 0, len(l.fields))
	for k := range l.fields {
		if !slices.Contains(hidden, k) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	for _, k := range keys {
		fmt.Fprintf(&b, " %s=%v", k, l.fields[k])
	}
	return b.String()
}

// Read reads the lines of a log; what is no line of a process is passed over.
func Read(r io.Reader) (lines []*Line, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, lineBytes)
	for s.Scan() {
		text := s.Text()
		at := strings.IndexByte(text, '{')
		if at < 0 {
			continue
		}
		l := &Line{}
		if json.Unmarshal([]byte(text[at:]), &l.fields) != nil {
			continue
		}
		l.Process, _ = l.fields["name"].(string)
		l.Message, _ = l.fields["message"].(string)
		l.Flow, _ = l.fields["flow"].(string)
		l.Request, _ = l.fields["request_id"].(string)
		stamp, _ := l.fields["time"].(string)
		if l.At, err = time.Parse(time.RFC3339Nano, stamp); err != nil {
			continue
		}
		lines = append(lines, l)
	}
	return lines, s.Err()
}

// Tell gives the story of a flow, or of a request by its id: each line of its
// flow in order, and before each of them the last beliefs of its process that have
// not been told.
func Tell(lines []*Line, id string) (told []*Line, err error) {
	flow := id
	for _, l := range lines {
		if l.Request == id {
			flow = l.Flow
		}
	}
	slices.SortStableFunc(lines, func(a, b *Line) int { return a.At.Compare(b.At) })
	known := map[string]map[string]*Line{}
	found := false
	for _, l := range lines {
		if slices.Contains(beliefs, l.Message) {
			if known[l.Process] == nil {
				known[l.Process] = map[string]*Line{}
			}
			known[l.Process][subject(l)] = l
			continue
		}
		if l.Flow == "" || l.Flow != flow {
			continue
		}
		found = true
		told = append(told, inOrder(known[l.Process])...)
		delete(known, l.Process)
		told = append(told, l)
	}
	if !found {
		return nil, ErrNothing
	}
	return told, nil
}

// subject is what a belief is about: of two on the same only the later counts.
func subject(l *Line) string {
	side, _ := l.fields["side"].(string)
	message := l.Message
	if strings.HasPrefix(message, "store ") {
		message = "store"
	}
	return message + " " + side
}

func inOrder(m map[string]*Line) (list []*Line) {
	for _, l := range m {
		list = append(list, l)
	}
	slices.SortFunc(list, func(a, b *Line) int {
		if c := a.At.Compare(b.At); c != 0 {
			return c
		}
		return strings.Compare(subject(a), subject(b))
	})
	return list
}
