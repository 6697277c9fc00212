// Package lines parses INI text strictly. It records the line of every section and
// key, which the INI library does not, and collects all faults of a text.
package lines

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one error in a text.
type Fault struct {
	Path    string `json:"path"`
	Line    int    `json:"line"`
	Section string `json:"section"`
	Key     string `json:"key"`
	Problem string `json:"problem"`
	Allowed string `json:"allowed"`
}

// Faults is an error that lists all faults of a text by line.
type Faults []Fault

// Error formats a fault as "path:line: [section] key: problem; allowed: ...".
func (f Fault) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d: ", f.Path, f.Line)
	if f.Section != "" {
		fmt.Fprintf(&b, "[%s] ", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, "%s: ", f.Key)
	}
	b.WriteString(f.Problem)
	if f.Allowed != "" {
		fmt.Fprintf(&b, "; allowed: %s", f.Allowed)
	}
	return b.String()
}

// Error formats the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}

// OrNil returns the faults sorted by line, or nil if there is none.
func (f Faults) OrNil() error {
	if len(f) == 0 {
		return nil
	}
	slices.SortStableFunc(f, func(a, b Fault) int {
		return cmp.Compare(a.Line, b.Line)
	})
	return f
}
