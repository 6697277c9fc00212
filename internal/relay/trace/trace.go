// Package trace extracts the lines of one request or flow from the logs of several
// processes and sorts them by time, together with the state changes of each process that
// were in effect.
package trace

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

// ErrNotFound reports that no log line belongs to the requested flow or request.
var ErrNotFound = errors.New("no log line for this flow or request ID")

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// stateMessages are the log messages of changes in a process's state.
var stateMessages = []string{
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

// hiddenFields are log fields that every line has or that are printed elsewhere.
var hiddenFields = []string{"time", "level", "role", "name", "message", "flow"}

// Line is one parsed log line.
type Line struct {
	At      time.Time
	Process string
	Message string
	Flow    string
	Request string
	fields  map[string]any
}

// String formats the line with its time, process, message and remaining fields.
func (l *Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: %s", l.At.Format("15:04:05.000"), l.Process, l.Message)
	keys := make([]string, 0, len(l.fields))
	for k := range l.fields {
		if !slices.Contains(hiddenFields, k) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	for _, k := range keys {
		fmt.Fprintf(&b, " %s=%v", k, l.fields[k])
	}
	return b.String()
}

// Read parses the lines of a log. Lines that are not a process's JSON log lines are
// skipped.
func Read(r io.Reader) (lines []*Line, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
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

// Extract returns the log lines of a flow, or of the flow of a request ID, sorted by time.
// Each is preceded by the latest state changes of its process that are not yet listed.
func Extract(lines []*Line, id string) (selected []*Line, err error) {
	flow := id
	for _, l := range lines {
		if l.Request == id {
			flow = l.Flow
		}
	}
	slices.SortStableFunc(lines, func(a, b *Line) int { return a.At.Compare(b.At) })
	pending := map[string]map[string]*Line{}
	found := false
	for _, l := range lines {
		if slices.Contains(stateMessages, l.Message) {
			if pending[l.Process] == nil {
				pending[l.Process] = map[string]*Line{}
			}
			pending[l.Process][stateSubject(l)] = l
			continue
		}
		if l.Flow == "" || l.Flow != flow {
			continue
		}
		found = true
		selected = append(selected, sortByTime(pending[l.Process])...)
		delete(pending, l.Process)
		selected = append(selected, l)
	}
	if !found {
		return nil, ErrNotFound
	}
	return selected, nil
}

// stateSubject identifies the state that a line changes. A later line replaces an earlier
// one with the same subject.
func stateSubject(l *Line) string {
	side, _ := l.fields["side"].(string)
	message := l.Message
	if strings.HasPrefix(message, "store ") {
		message = "store"
	}
	return message + " " + side
}

func sortByTime(m map[string]*Line) (list []*Line) {
	for _, l := range m {
		list = append(list, l)
	}
	slices.SortFunc(list, func(a, b *Line) int {
		if c := a.At.Compare(b.At); c != 0 {
			return c
		}
		return strings.Compare(stateSubject(a), stateSubject(b))
	})
	return list
}
