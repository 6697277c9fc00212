package load

import "github.com/clementinewing/clementinewing/internal/bench/report"

// figure is one row of a scenario and a policy.
type figure struct {
	name  string
	unit  string
	sense report.Sense
	bound float64
	of    func(f, limit figures) float64
}

func (s scenario) rows(w policy, got, limit []figures) []report.Row {
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

// goalSenses tells which figures have bounds.
type goalSenses struct {
	slots report.Sense
	wait  report.Sense
	free  report.Sense
}

// goals returns the bounds of the shipped policies: evenly spread work at goalLoad,
// no refusal while a slot is free, and the wait of the default policy without a
// fault.
func (s scenario) goals(w policy) goalSenses {
	var g goalSenses
	if !w.shipped {
		return g
	}
	g.free = report.AtMost
	if s.load == goalLoad {
		g.slots = report.AtMost
	}
	if w.name == defaultPolicy && s.fault == Healthy {
		g.wait = report.AtMost
	}
	return g
}

func (s scenario) figures(w policy) []figure {
	g := s.goals(w)
	switch {
	case w.shipped:
		return append(evenness(g), cost(g)...)
	case w.name == centralPolicy:
		return append(evenness(g), waitTime())
	default:
		return append(evenness(g), waits(g)...)
	}
}

// evenness returns the figures for how evenly upstreams are used.
func evenness(g goalSenses) []figure {
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
			of:   func(f, _ figures) float64 { return f.Peak },
		},
		{
			name: "connections",
			unit: "max/mean",
			of:   func(f, _ figures) float64 { return f.Connections },
		},
	}
}

// waits returns the callers' waits relative to the central queue.
func waits(g goalSenses) []figure {
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

// cost returns the figures for the costs of callers and links.
func cost(g goalSenses) []figure {
	return append(waits(g),
		waitTime(),
		figure{
			name: "hand_overs",
			unit: "1/opening",
			of:   func(f, _ figures) float64 { return f.Forwards },
		},
		figure{
			name: "idle_wait",
			unit: "ms/opening",
			of:   func(f, _ figures) float64 { return f.WaitedWhileFree },
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
			of:    func(f, _ figures) float64 { return f.RefusedWhileFree },
		},
	)
}
