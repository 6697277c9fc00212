package churn

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/bench/report"
)

const (
	// changeInterval is the time between two planned changes, deathInterval between
	// two deaths of upstreams.
	changeInterval = 700 * time.Millisecond
	deathInterval  = 5 * time.Second
	// loadDuration is how long callers open flows.
	loadDuration = 25 * time.Second
)

// Run replaces balancers and upstreams at random under load, first by planned
// changes only, then with dying upstreams as well, and counts broken flows.
func Run(seeds int) (report.Result, error) {
	r := report.Result{
		Experiment: "broken",
		Seeds:      seeds,
	}
	for _, d := range deployments {
		r.Rows = append(r.Rows, d.brokenRows(d.name+"_planned", seeds, false)...)
		r.Rows = append(r.Rows, d.brokenRows(d.name+"_deaths", seeds, true)...)
		r.Rows = append(r.Rows, d.plainHashRow(seeds))
	}
	return r, nil
}

func (d deployment) brokenRows(name string, seeds int, deaths bool) []report.Row {
	figures := map[string][]float64{}
	add := func(figure string, value int) {
		figures[figure] = append(figures[figure], float64(value))
	}
	for seed := range uint64(seeds) {
		t := d.start(seed + 1)
		t.startLoad(d, int(loadDuration/requestInterval))
		t.After(time.Second, t.changePlanned)
		if deaths {
			t.After(deathInterval, t.killUpstream)
		}
		t.Run(loadDuration)
		t.awaitCallers()
		v := t.countOutcomes()
		add("opened", v.opened)
		add("planned", v.planned)
		add("own", v.byOwnDeath)
		add("misrouted", t.Record.Misrouted)
		add("doubled", v.doubled)
		add("foreign", v.foreign)
		add("false_not_run", v.falseNotRun)
		add("refused", v.refused)
		add("unanswered", v.unanswered)
		add("cut", t.Record.CutByDrain)
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

// plainHashRow counts the flows that the same planned changes break with plain
// rendezvous hashing: each packet goes to the first endpoint of its balancer's
// view and is never forwarded.
func (d deployment) plainHashRow(seeds int) report.Row {
	var broken []float64
	for seed := range uint64(seeds) {
		t := d.startWith(seed+1, true)
		t.startLoad(d, int(loadDuration/requestInterval))
		t.After(time.Second, t.changePlanned)
		t.Run(loadDuration)
		t.awaitCallers()
		broken = append(broken, float64(t.countOutcomes().planned))
	}
	return report.Summarize(d.name+"_plain_hash_flows_broken_by_planned_change", "count", report.Info, 0, broken)
}

// changePlanned replaces a balancer, or an upstream of either service, as a planned
// change.
func (t *traffic) changePlanned() {
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
	t.After(changeInterval, t.changePlanned)
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

// killUpstream kills an upstream and starts another one elsewhere.
func (t *traffic) killUpstream() {
	if t.stopped {
		return
	}
	service := t.Random.IntN(2)
	s := t.serving(service)
	a := s[t.Random.IntN(len(s))]
	t.killed[a] = true
	t.Kill(a)
	t.Join(service)
	t.After(deathInterval, t.killUpstream)
}
