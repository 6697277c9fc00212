package admit_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/flow/admit"
	"github.com/clementinewing/clementinewing/internal/flow/limit"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// A script has one step per line, "MS VERB ARGUMENTS -> EXPECTED", at a time in
// milliseconds; "== NAME" begins a case, and the verb gate makes its admission
// controller. A flow that is admitted or queued is counted at once. The actions are
// written as taken (Admit), hand_on (Forward), hold (Queue) and refuse (Reject).
var _ = Describe("Scripts", func() {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		panic("no scripts in testdata")
	}
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			panic(err)
		}
		for _, part := range strings.Split(string(text), "== ")[1:] {
			name, steps, _ := strings.Cut(part, "\n")
			It(filepath.Base(f)+": "+name, func() { runSteps(steps) })
		}
	}
})

// runner is the state of one case.
type runner struct {
	controller *admit.Controller
	now        time.Time
	keys       map[string]link.Key
}

func runSteps(steps string) {
	p := &runner{
		keys: map[string]link.Key{},
	}
	for line := range strings.Lines(steps) {
		step, want, _ := strings.Cut(strings.TrimSpace(line), " -> ")
		fields := strings.Fields(step)
		if len(fields) == 0 || fields[0] == "#" {
			continue
		}
		p.now = moment(fields[0])
		got := p.step(fields[1], parseArguments(fields[2:]))
		Expect(got).To(Equal(want), line)
	}
}

// args are the arguments of a step: KEY=VALUE, or a bare KEY with the value 1.
type args map[string]string

func parseArguments(words []string) args {
	a := args{}
	for _, w := range words {
		key, value, ok := strings.Cut(w, "=")
		if !ok {
			value = "1"
		}
		a[key] = value
	}
	return a
}

func (a args) number(key string) int {
	n, err := strconv.Atoi("0" + a[key])
	Expect(err).NotTo(HaveOccurred())
	return n
}

func (a args) moment(key string) time.Time {
	if a[key] == "" {
		return time.Time{}
	}
	return moment(a[key])
}

func moment(ms string) time.Time {
	n, err := strconv.Atoi(ms)
	Expect(err).NotTo(HaveOccurred())
	return time.Unix(0, 0).Add(time.Duration(n) * time.Millisecond)
}

func (a args) limits() admit.Limits {
	return admit.Limits{
		Slots:       a.number("slots"),
		Connections: a.number("connections"),
	}
}

func (p *runner) step(verb string, a args) string {
	switch verb {
	case "gate":
		p.controller = admit.New(a.limits(), options(a)...)
	case "ask":
		return p.decide(a)
	case "ready":
		return p.ready()
	case "check":
		return p.check()
	case "busy":
		p.controller.BeginWork(p.now)
	case "idle":
		p.controller.EndWork(p.now)
	case "release":
		p.controller.Release(p.now, admit.Outcome{
			Result:    resultsByName[a["result"]],
			HoldsSlot: a["working"] != "",
		})
	case "report":
		p.controller.RecordReport(p.now, a.number("slots"))
	case "answers":
		for range a.number("count") {
			p.controller.RecordAnswer(p.now, p.now.Add(-time.Duration(a.number("ms"))*time.Millisecond))
		}
	case "limits":
		p.controller.SetLimits(a.limits())
	case "ramp":
		p.controller.SetRamp(limit.Ramp{
			StartAt: p.now,
			WarmAt:  a.moment("warm"),
		})
	case "drain":
		p.controller.Drain(p.now, a.moment("deadline"))
	default:
		Fail("unknown verb " + verb)
	}
	return ""
}

var resultsByName = map[string]admit.Result{
	"served":    admit.Served,
	"refused":   admit.UpstreamRefused,
	"timeout":   admit.UpstreamTimeout,
	"abandoned": admit.Abandoned,
}

var actionNames = map[admit.Action]string{
	admit.Admit:   "taken",
	admit.Forward: "hand_on",
	admit.Queue:   "hold",
	admit.Reject:  "refuse",
}

func options(a args) []admit.Option {
	var out []admit.Option
	if a["policy"] == "even" {
		out = append(out, admit.WithPolicy(admit.ForwardEarly()))
	}
	if a["burst"] != "" {
		out = append(out, admit.WithBudget(limit.NewBudget(0, float64(a.number("burst")))))
	}
	return out
}

func (p *runner) decide(a args) string {
	got := p.controller.Decide(p.now, admit.Request{
		Position:   a.number("position"),
		Candidates: max(1, a.number("of")),
		Round:      a.number("pass"),
		Last:       a["last"] != "",
		Queued:     a["held"] != "",
		Deadline:   a.moment("deadline"),
	})
	Expect(got.Admitted).To(Equal(got.Action == admit.Admit))
	out := actionNames[got.Action] + " " + got.Reason.String()
	switch got.Action {
	case admit.Admit:
		p.controller.Admit(p.now)
	case admit.Queue:
		p.controller.Enqueue(admit.Waiter{
			Key:      p.key(a["key"]),
			Deadline: a.moment("deadline"),
			Until:    got.Until,
		})
		out += fmt.Sprintf(" until %d", got.Until.UnixMilli())
	}
	return out
}

func (p *runner) key(name string) link.Key {
	if _, ok := p.keys[name]; !ok {
		p.keys[name] = link.Key{
			Caller: uint32(len(p.keys)),
		}
	}
	return p.keys[name]
}

func (p *runner) ready() string {
	w, ok := p.controller.DequeueReady(p.now)
	if !ok {
		return "none"
	}
	for name, key := range p.keys {
		if key == w.Key {
			return name
		}
	}
	return "unknown"
}

func (p *runner) check() string {
	return fmt.Sprintf("busy=%d flows=%d waiting=%d slots=%d drained=%v",
		p.controller.ActiveFlows(), p.controller.Flows(), p.controller.QueueLength(), p.controller.Slots(p.now), p.controller.Drained(p.now))
}
