// Package score counts the outcomes of flows and compares them with the guarantees of
// the system.
package score

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
)

// Cause says why a flow broke.
type Cause uint8

const (
	// Planned means that no upstream of the flow was killed, so that the fault is the
	// system's.
	Planned Cause = iota + 1
	// DeadUpstream means that the upstream of the flow was killed.
	DeadUpstream
)

// maxExamples limits the examples of broken flows.
const maxExamples = 10

// Score counts outcomes. It is safe for concurrent use.
type Score struct {
	mutex sync.Mutex
	line  Line
}

// Line is the result of a run, as printed in JSON.
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
	// Examples describe the first flows that broke by planned change.
	Examples []string `json:"examples,omitempty"`
	Kept     bool     `json:"promises_kept"`
}

// ReasonCount is the number of packets that agents rejected, forwarded or dropped for one
// reason.
type ReasonCount struct {
	Reason string `json:"reason"`
	Count  uint64 `json:"count"`
}

// ServiceShare says how evenly the load of one service was distributed. Imbalance is the
// ratio of the largest mean number of active requests at an endpoint to the mean over all
// endpoints.
type ServiceShare struct {
	Service   string  `json:"service"`
	MeanBusy  float64 `json:"mean_busy"`
	Imbalance float64 `json:"imbalance"`
}

// Step is a change made to a deployment under load.
type Step struct {
	Second float64 `json:"second"`
	What   string  `json:"what"`
	Failed string  `json:"failed,omitempty"`
}

// Opened counts a flow that a caller opened.
func (s *Score) Opened() {
	s.update(func(l *Line) { l.FlowsOpened++ })
}

// Finished counts a flow that ended as its caller intended.
func (s *Score) Finished() {
	s.update(func(l *Line) { l.FlowsFinished++ })
}

// Refused counts a SYN that was answered with a reset. If ran is true, its request was
// run all the same.
func (s *Score) Refused(ran bool) {
	s.update(func(l *Line) {
		l.Refused++
		if ran {
			l.FalseNotRun++
		}
	})
}

// Broken counts a flow that ended too early. The example describes it.
func (s *Score) Broken(c Cause, example string) {
	s.update(func(l *Line) {
		if c == DeadUpstream {
			l.BrokenByDeath++
			return
		}
		l.BrokenPlanned++
		if len(l.Examples) < maxExamples {
			l.Examples = append(l.Examples, example)
		}
	})
}

// RecordLedger counts what the ledger of the upstreams shows for one request.
func (s *Score) RecordLedger(doubled, misrouted, lost bool) {
	s.update(func(l *Line) {
		l.Doubled += countIf(doubled)
		l.Misrouted += countIf(misrouted)
		l.Lost += countIf(lost)
	})
}

// AddStep adds a step of the run.
func (s *Score) AddStep(step Step) {
	s.update(func(l *Line) { l.Steps = append(l.Steps, step) })
}

// Line returns the result. Kept is true if flows finished, no guarantee was violated and
// no step failed.
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
	fmt.Fprintf(w, "packets rejected, forwarded or dropped\t\n")
	for _, r := range l.Reasons {
		fmt.Fprintf(w, "  %s\t%d\n", r.Reason, r.Count)
	}
	fmt.Fprintf(w, "run twice\t%d\tmust be 0\n", l.Doubled)
	fmt.Fprintf(w, "at the wrong service\t%d\tmust be 0\n", l.Misrouted)
	fmt.Fprintf(w, "refused but run\t%d\tmust be 0\n", l.FalseNotRun)
	fmt.Fprintf(w, "answered but not run\t%d\tmust be 0\n", l.Lost)
	for _, s := range l.Services {
		fmt.Fprintf(w, "imbalance of %s\t%.3f\tat %.2f active requests per endpoint\n", s.Service, s.Imbalance, s.MeanBusy)
	}
	for _, e := range l.Examples {
		fmt.Fprintf(w, "broken\t%s\n", e)
	}
	return w.Flush()
}
