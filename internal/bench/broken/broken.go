package broken

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/bench/report"
)

const (
	// changeEvery lies between two planned changes, dieEvery between two deaths.
	changeEvery = 700 * time.Millisecond
	dieEvery    = 5 * time.Second
	// busyFor is how long callers come.
	busyFor = 25 * time.Second
)

// Run replaces balancers and upstreams at random under load, first by plan, then
// with upstreams that die as well, and counts what breaks.
func Run(seeds int) (report.Result, error) {
	r := report.Result{
		Experiment: "broken",
		Seeds:      seeds,
	}
	for _, d := range deployments {
		r.Rows = append(r.Rows, d.broken(d.name+"_planned", seeds, false)...)
		r.Rows = append(r.Rows, d.broken(d.name+"_deaths", seeds, true)...)
		r.Rows = append(r.Rows, d.plain(seeds))
	}
	return r, nil
}

func (d deployment) broken(name string, seeds int, deaths bool) []report.Row {
	figures := map[string][]float64{}
	add := func(figure string, value int) {
		figures[figure] = append(figures[figure], float64(value))
	}
	for seed := range uint64(seeds) {
		t := d.start(seed + 1)
		t.load(d, int(busyFor/requestEvery))
		t.After(time.Second, t.change)
		if deaths {
			t.After(dieEvery, t.die)
		}
		t.Run(busyFor)
		t.settle()
		v := t.judge()
		add("opened", v.opened)
		add("planned", v.planned)
		add("own", v.own)
		add("misrouted", t.Record.Misrouted)
		add("doubled", v.doubled)
		add("foreign", v.foreign)
		add("false_not_run", v.falseNotRun)
		add("refused", v.refused)
		add("unanswered", v.unanswered)
		add("cut", t.Record.Cut)
	}
	never := func(figure, key string) report.Row {
		return report.Summarize(name+"_"+figure, "count", report.AtMost, 0, figures[key])
	}
	seen := func(figure, key string) report.Row {
		return report.Summarize(name+"_"+figure, "count", report.Info, 0, figures[key])
	}
	return []report.Row{
		seen("flows_opened", "opened"),
		never("flows_broken_by_planned_change", "planned"),
		seen("flows_broken_by_own_upstreams_death", "own"),
		never("requests_at_another_service", "misrouted"),
		never("requests_run_twice", "doubled"),
		never("parts_of_another_answer", "foreign"),
		never("refused_but_run", "false_not_run"),
		never("flows_cut_by_a_drain", "cut"),
		seen("openings_refused", "refused"),
		seen("openings_unanswered", "unanswered"),
	}
}

// plain counts the flows that the same planned changes break with plain rendezvous
// hashing: each packet goes to the first endpoint of its balancer's view, and there
// is no hand-over.
func (d deployment) plain(seeds int) report.Row {
	var broken []float64
	for seed := range uint64(seeds) {
		t := d.startWith(seed+1, true)
		t.load(d, int(busyFor/requestEvery))
		t.After(time.Second, t.change)
		t.Run(busyFor)
		t.settle()
		broken = append(broken, float64(t.judge().planned))
	}
	return report.Summarize(d.name+"_plain_hash_flows_broken_by_planned_change", "count", report.Info, 0, broken)
}

// change replaces a balancer, or an upstream of either service, by plan.
func (t *traffic) change() {
	if t.stopped {
		return
	}
	switch t.Random.IntN(3) {
	case 0:
		t.replaceBalancer()
	default:
		service := t.Random.IntN(2)
		s := t.serving(service)
		t.Join(service)
		t.Drain(s[t.Random.IntN(len(s))])
	}
	t.After(changeEvery, t.change)
}

func (t *traffic) replaceBalancer() {
	t.AddBalancer()
	for _, b := range t.Balancers {
		if !b.Dead {
			t.KillBalancer(b)
			return
		}
	}
}

// die kills an upstream and starts another one elsewhere.
func (t *traffic) die() {
	if t.stopped {
		return
	}
	service := t.Random.IntN(2)
	s := t.serving(service)
	a := s[t.Random.IntN(len(s))]
	t.killed[a] = true
	t.Kill(a)
	t.Join(service)
	t.After(dieEvery, t.die)
}
