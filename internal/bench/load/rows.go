package load

import "github.com/clementinewing/clementinewing/internal/bench/report"

// figure is one row of a scene and a way of placing.
type figure struct {
	name  string
	unit  string
	sense report.Sense
	bound float64
	of    func(f, limit figures) float64
}

func (s scene) rows(w way, got, limit []figures) []report.Row {
	var rows []report.Row
	for _, f := range s.figures(w) {
		values := make([]float64, len(got))
		for i := range got {
			values[i] = f.of(got[i], limit[i])
		}
		name := s.name() + "/" + w.name + "/" + f.name
		rows = append(rows, report.Summarize(name, f.unit, f.sense, f.bound, values))
	}
	return rows
}

// goals says which figures have bounds.
type goals struct {
	slots report.Sense
	wait  report.Sense
	free  report.Sense
}

// goals are for the shipped ways alone: even work at the goal's load, no
// refusal beside a free slot, and the default policy's wait without a fault.
func (s scene) goals(w way) goals {
	var g goals
	if !w.shipped {
		return g
	}
	g.free = report.AtMost
	if s.load == goalLoad {
		g.slots = report.AtMost
	}
	if w.name == defaultWay && s.fault == Healthy {
		g.wait = report.AtMost
	}
	return g
}

func (s scene) figures(w way) []figure {
	g := s.goals(w)
	switch {
	case w.shipped:
		return append(evenness(g), cost(g)...)
	case w.name == limitWay:
		return append(evenness(g), waitTime())
	default:
		return append(evenness(g), waits(g)...)
	}
}

// evenness is how evenly upstreams are used.
func evenness(g goals) []figure {
	return []figure{
		{
			name:  "slots",
			unit:  "max/mean",
			sense: g.slots,
			bound: slotsBound,
			of:    func(f, _ figures) float64 { return f.Slots },
		},
		{
			name: "slots_moment",
			unit: "max/mean",
			of:   func(f, _ figures) float64 { return f.Moment },
		},
		{
			name: "connections",
			unit: "max/mean",
			of:   func(f, _ figures) float64 { return f.Connections },
		},
	}
}

// waits are what callers pay, over what they pay with the central queue.
func waits(g goals) []figure {
	return []figure{
		{
			name:  "wait",
			unit:  "x central",
			sense: g.wait,
			bound: waitBound,
			of:    func(f, l figures) float64 { return f.Wait / l.Wait },
		},
		{
			name:  "answer",
			unit:  "x central",
			sense: g.wait,
			bound: waitBound,
			of:    func(f, l figures) float64 { return f.Answer / l.Answer },
		},
	}
}

func waitTime() figure {
	return figure{
		name: "wait_ms",
		unit: "ms",
		of:   func(f, _ figures) float64 { return f.Wait },
	}
}

// cost is what callers and links pay.
func cost(g goals) []figure {
	return append(waits(g),
		waitTime(),
		figure{
			name: "hand_overs",
			unit: "1/opening",
			of:   func(f, _ figures) float64 { return f.Hops },
		},
		figure{
			name: "idle_wait",
			unit: "ms/opening",
			of:   func(f, _ figures) float64 { return f.Idled },
		},
		figure{
			name: "refused",
			unit: "1/run",
			of:   func(f, _ figures) float64 { return f.Refused },
		},
		figure{
			name:  "refused_while_free",
			unit:  "1/run",
			sense: g.free,
			of:    func(f, _ figures) float64 { return f.Unfair },
		},
	)
}
