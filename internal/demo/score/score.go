// Package score counts what callers saw and compares it with what the system
// promises.
package score

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
)

// Cause is who is to blame for the end of a flow.
type Cause uint8

const (
	// Planned means that no upstream of the flow has died: the system's fault.
	Planned Cause = iota + 1
	// DeadUpstream means that the flow's own upstream was killed.
	DeadUpstream
)

// examplesMost bounds the examples of broken flows.
const maxExamples = 10

// Score counts outcomes; it may be used by many callers at once.
type Score struct {
	mutex sync.Mutex
	line  Line
}

// Line is the result of a run as it is printed.
type Line struct {
	FlowsOpened   int            `json:"flows_opened"`
	FlowsFinished int            `json:"flows_finished"`
	BrokenPlanned int            `json:"broken_planned"`
	BrokenByDeath int            `json:"broken_by_dead_upstream"`
	Refused       int            `json:"refused"`
	Reasons       []ReasonCount  `json:"reasons"`
	Doubled       int            `json:"doubled"`
	Misrouted     int            `json:"misrouted"`
	FalseNotRun   int            `json:"false_not_run"`
	Lost          int            `json:"lost"`
	Imbalance     float64        `json:"imbalance"`
	Services      []ServiceShare `json:"services"`
	Steps         []Step         `json:"steps"`
	// Examples tell of the first flows that planned change has broken.
	Examples []string `json:"examples,omitempty"`
	Kept     bool     `json:"promises_kept"`
}

// ReasonCount is how often side processes refused, handed on or dropped a packet for
// one reason.
type ReasonCount struct {
	Reason string `json:"reason"`
	Count  uint64 `json:"count"`
}

// ServiceShare is how evenly the work of one service lay on its endpoints: the
// largest mean of work in hand over the mean of all.
type ServiceShare struct {
	Service   string  `json:"service"`
	MeanBusy  float64 `json:"mean_busy"`
	Imbalance float64 `json:"imbalance"`
}

// Step is something that was done to the fleet while calls went on.
type Step struct {
	Second float64 `json:"second"`
	What   string  `json:"what"`
	Failed string  `json:"failed,omitempty"`
}

// Opened counts a flow that a caller asked for.
func (s *Score) Opened() {
	s.update(func(l *Line) { l.FlowsOpened++ })
}

// Finished counts a flow that ended as its caller wanted.
func (s *Score) Finished() {
	s.update(func(l *Line) { l.FlowsFinished++ })
}

// Refused counts an opening that was answered with a reset; ran tells that its
// work was run nevertheless.
func (s *Score) Refused(ran bool) {
	s.update(func(l *Line) {
		l.Refused++
		if ran {
			l.FalseNotRun++
		}
	})
}

// Broken counts a flow that ended before its caller wanted; what says how.
func (s *Score) Broken(c Cause, what string) {
	s.update(func(l *Line) {
		if c == DeadUpstream {
			l.BrokenByDeath++
			return
		}
		l.BrokenPlanned++
		if len(l.Examples) < maxExamples {
			l.Examples = append(l.Examples, what)
		}
	})
}

// Checked counts what the upstreams' ledger says about one request.
func (s *Score) RecordLedger(doubled, misrouted, lost bool) {
	s.update(func(l *Line) {
		l.Doubled += countIf(doubled)
		l.Misrouted += countIf(misrouted)
		l.Lost += countIf(lost)
	})
}

// Did notes a step of the run.
func (s *Score) AddStep(step Step) {
	s.update(func(l *Line) { l.Steps = append(l.Steps, step) })
}

// Line gives the result; promises are kept if nothing went wrong and every step
// went through.
func (s *Score) Line() Line {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l := s.line
	l.Kept = l.BrokenPlanned+l.Doubled+l.Misrouted+l.FalseNotRun+l.Lost == 0 && l.FlowsFinished > 0
	for _, step := range l.Steps {
		l.Kept = l.Kept && step.Failed == ""
	}
	return l
}

func (s *Score) update(f func(*Line)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f(&s.line)
}

func countIf(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// Print writes the result as a table.
func (l Line) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "flows opened\t%d\n", l.FlowsOpened)
	fmt.Fprintf(w, "flows finished\t%d\n", l.FlowsFinished)
	fmt.Fprintf(w, "broken by planned change\t%d\tmust be 0\n", l.BrokenPlanned)
	fmt.Fprintf(w, "broken by their dead upstream\t%d\n", l.BrokenByDeath)
	fmt.Fprintf(w, "refused, not run\t%d\n", l.Refused)
	fmt.Fprintf(w, "packets refused, handed on or dropped\t\n")
	for _, r := range l.Reasons {
		fmt.Fprintf(w, "  %s\t%d\n", r.Reason, r.Count)
	}
	fmt.Fprintf(w, "run twice\t%d\tmust be 0\n", l.Doubled)
	fmt.Fprintf(w, "at the wrong service\t%d\tmust be 0\n", l.Misrouted)
	fmt.Fprintf(w, "refused and yet run\t%d\tmust be 0\n", l.FalseNotRun)
	fmt.Fprintf(w, "answered and not run\t%d\tmust be 0\n", l.Lost)
	for _, s := range l.Services {
		fmt.Fprintf(w, "imbalance of %s\t%.3f\tat %.2f busy an endpoint\n", s.Service, s.Imbalance, s.MeanBusy)
	}
	for _, e := range l.Examples {
		fmt.Fprintf(w, "broken\t%s\n", e)
	}
	return w.Flush()
}
