package churn

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/bench/report"
	"github.com/clementinewing/clementinewing/internal/fake/agent"
	"github.com/clementinewing/clementinewing/internal/fake/stack"
)

const (
	// maxNoticeSeconds is the target for the time from the start of an upstream's
	// drain to the last new flow that it accepts, in seconds; the bound is 3.
	maxNoticeSeconds = 1
	// drainRequests is the number of requests of a long flow.
	drainRequests = 20
)

// Drain drains an upstream under load while views are delayed. It measures how long
// the upstream still accepts new flows, and counts requests that are cut off.
func Drain(seeds int) (report.Result, error) {
	r := report.Result{
		Experiment: "drain",
		Seeds:      seeds,
	}
	for _, d := range deployments {
		r.Rows = append(r.Rows, d.drainRows(seeds)...)
	}
	return r, nil
}

func (d deployment) drainRows(seeds int) []report.Row {
	var last, cut, broken, emptied []float64
	for seed := range uint64(seeds) {
		t := d.start(seed + 1)
		t.startLoad(d, drainRequests)
		t.Run(5 * time.Second)
		a := t.drainBusiest()
		notice := t.Now()
		t.Run(10 * time.Second)
		t.awaitCallers()
		t.Run(time.Second)
		last = append(last, max(0, t.Record.LastAccepted[a].Sub(notice).Seconds()))
		cut = append(cut, float64(t.Record.CutByDrain+t.countLost()))
		broken = append(broken, float64(t.countOutcomes().planned))
		emptied = append(emptied, t.Record.DrainedAt[a].Sub(notice).Seconds())
	}
	return []report.Row{
		report.Summarize(d.name+"_notice_to_last_new_flow", "s", report.AtMost, maxNoticeSeconds, last),
		report.Summarize(d.name+"_requests_cut", "count", report.AtMost, 0, cut),
		report.Summarize(d.name+"_flows_broken", "count", report.AtMost, 0, broken),
		report.Summarize(d.name+"_notice_to_empty", "s", report.Info, 0, emptied),
	}
}

// drainBusiest drains the upstream of the first service with the most active flows.
func (t *traffic) drainBusiest() *agent.Agent {
	s := t.serving(0)
	a := s[t.Random.IntN(len(s))]
	for _, other := range s {
		if other.Admission.ActiveFlows() > a.Admission.ActiveFlows() {
			a = other
		}
	}
	t.Drain(a)
	return a
}

// countLost counts callers that got neither all answers nor a refusal.
func (t *traffic) countLost() (n int) {
	for _, c := range t.Callers {
		if c.Outcome != stack.Finished && c.Outcome != stack.Refused {
			n++
		}
	}
	return n
}
