package broken

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/bench/report"
	"github.com/clementinewing/clementinewing/internal/fake/agent"
	"github.com/clementinewing/clementinewing/internal/fake/stack"
)

const (
	// noticeMost is the goal for the time from an upstream's notice to the last
	// new flow that it takes, in seconds; the bound is 3.
	noticeMost = 1
	// drainRequests is how many requests a long flow makes.
	drainRequests = 20
)

// Drain gives an upstream notice under load while views lag, and measures how long
// it still takes new flows and whether anything is cut.
func Drain(seeds int) (report.Result, error) {
	r := report.Result{
		Experiment: "drain",
		Seeds:      seeds,
	}
	for _, d := range deployments {
		r.Rows = append(r.Rows, d.drain(seeds)...)
	}
	return r, nil
}

func (d deployment) drain(seeds int) []report.Row {
	var last, cut, broken, emptied []float64
	for seed := range uint64(seeds) {
		t := d.start(seed + 1)
		t.load(d, drainRequests)
		t.Run(5 * time.Second)
		a := t.leave()
		notice := t.Now()
		t.Run(10 * time.Second)
		t.settle()
		t.Run(time.Second)
		last = append(last, max(0, t.Record.Accepted[a].Sub(notice).Seconds()))
		cut = append(cut, float64(t.Record.Cut+t.lost()))
		broken = append(broken, float64(t.judge().planned))
		emptied = append(emptied, t.Record.Emptied[a].Sub(notice).Seconds())
	}
	return []report.Row{
		report.Summarize(d.name+"_notice_to_last_new_flow", "s", report.AtMost, noticeMost, last),
		report.Summarize(d.name+"_requests_cut", "count", report.AtMost, 0, cut),
		report.Summarize(d.name+"_flows_broken", "count", report.AtMost, 0, broken),
		report.Summarize(d.name+"_notice_to_empty", "s", report.Info, 0, emptied),
	}
}

// leave drains an upstream of the first service that has work in hand.
func (t *traffic) leave() *agent.Agent {
	s := t.serving(0)
	a := s[t.Random.IntN(len(s))]
	for _, other := range s {
		if other.Gate.ActiveFlows() > a.Gate.ActiveFlows() {
			a = other
		}
	}
	t.Drain(a)
	return a
}

// lost counts requests that ran although their caller did not get the answer.
func (t *traffic) lost() (n int) {
	for _, c := range t.Callers {
		if c.Outcome != stack.Finished && c.Outcome != stack.Refused {
			n++
		}
	}
	return n
}
