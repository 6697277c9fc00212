package chair_test

import (
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/board/file"
	"github.com/clementinewing/clementinewing/internal/board/head"
)

// command is one operator's command of the matrix. Before it, so many rivals'
// files came in force, and then, if it is about a collision, the subject collided.
// Try makes the machine of each try. Wins tells whether the subject comes in force
// if nothing goes wrong.
type command struct {
	name        string
	takesEffect bool
	rivals      int
	collided    bool
	subject     file.File
	newMachine  func(subject file.File, deadline time.Time) machine
}

// patience is how long one try of a command goes on.
const commandTimeout = 5 * time.Minute

var commands = []command{
	{
		name:        "first",
		takesEffect: true,
		subject:     draft(0, 1),
		newMachine:  newApplyByBero,
	},
	{
		name:        "apply",
		takesEffect: true,
		rivals:      1,
		subject:     draft(1, 2),
		newMachine:  newApplyByBero,
	},
	{
		name:       "collide",
		rivals:     2,
		subject:    draft(1, 2),
		newMachine: newApplyByBero,
	},
	{
		name:        "take",
		takesEffect: true,
		rivals:      2,
		collided:    true,
		subject:     draft(1, 2),
		newMachine: func(f file.File, deadline time.Time) machine {
			return newDecide(takeDecision(2, signedProposal(f, "bero").ID()), deadline)
		},
	},
	{
		name:     "keep",
		rivals:   2,
		collided: true,
		subject:  draft(1, 2),
		newMachine: func(f file.File, deadline time.Time) machine {
			return newDecide(keepDecision(2, signedProposal(f, "bero").ID()), deadline)
		},
	},
}

func newApplyByBero(f file.File, deadline time.Time) machine {
	return newApply(f, "bero", deadline)
}

// prepared is a desk as it stands before the command.
func (c command) prepare() *harness {
	d := newHarness()
	for range c.rivals {
		d.applyRivalFile()
	}
	if c.collided {
		d.runToEnd(newApplyByBero(c.subject, d.clock.Now().Add(commandTimeout)), always(noFault))
	}
	return d
}

// next makes the machine of one more try.
func (c command) machine(d *harness) machine {
	return c.newMachine(c.subject, d.clock.Now().Add(commandTimeout))
}

func always(f fault) func(int) fault {
	return func(int) fault { return f }
}

// workers is how many goroutines share the cells of a command.
const workers = 3

// Every fault hits every call of every command, alone and with every fault of
// every later call. The same command is then run again without faults.
var _ = Describe("Matrix", func() {
	faults := readFaults()
	for _, c := range commands {
		It(c.name+" under every fault at every step and under pairs", func() {
			before := c.prepare()
			d := before.clone()
			result, calls := d.runToEnd(c.machine(d), always(noFault))
			Expect(d.violations).To(BeEmpty())
			Expect(result.Refusal == nil).To(Equal(c.takesEffect || c.name == "keep"))
			Expect(calls).To(BeNumerically(">=", 2))
			plans := append(singleFaultPlans(calls, faults), faultPairPlans(calls, faults)...)
			AddReportEntry("cells", len(plans))
			runCells(c, before, plans)
		})
	}
})

// plan gives the fault of some calls.
type plan map[int]fault

func singleFaultPlans(calls int, faults []fault) []plan {
	var plans []plan
	for step := range calls {
		for _, f := range faults {
			plans = append(plans, plan{step: f})
		}
	}
	return plans
}

func faultPairPlans(calls int, faults []fault) []plan {
	var plans []plan
	for _, one := range singleFaultPlans(calls, faultsForPairs(faults)) {
		for step, f := range one {
			for later := step + 1; later <= calls; later++ {
				for _, second := range faultsForPairs(faults) {
					plans = append(plans, plan{step: f, later: second})
				}
			}
		}
	}
	return plans
}

func runCells(c command, before *harness, plans []plan) {
	var group sync.WaitGroup
	for w := range workers {
		group.Go(func() {
			defer GinkgoRecover()
			for i := w; i < len(plans); i += workers {
				runCell(c, before.clone(), plans[i])
			}
		})
	}
	group.Wait()
}

func runCell(c command, d *harness, plan plan) {
	subject := signedProposal(c.subject, "bero").ID()
	rivals := d.rivalCount
	first, _ := d.runToEnd(c.machine(d), func(call int) fault {
		if f, ok := plan[call]; ok {
			return f
		}
		return noFault
	})
	if !c.collided {
		d.checkAnswer(first, subject)
	}
	second, _ := d.runToEnd(c.machine(d), always(noFault))
	for d.clock.Next() {
		continue
	}
	third, _ := d.runToEnd(c.machine(d), always(noFault))
	what := describePlan(c, plan)
	Expect(d.violations).To(BeEmpty(), what)
	Expect(reason(second)).NotTo(Equal(head.StoreAway), what)
	Expect(reason(third)).To(Equal(reason(second)), what)
	Expect(third.Revision).To(Equal(second.Revision), what)
	if first.Refusal == nil {
		Expect(second.Refusal).To(BeNil(), what)
		Expect(second.Revision).To(Equal(first.Revision), what)
	}
	force := d.wasInForce(d.heads, subject)
	Expect(force).To(Equal(second.Refusal == nil && c.takesEffect), what)
	if d.rivalCount == rivals {
		Expect(force).To(Equal(c.takesEffect), what)
	}
}

func reason(r head.Result) head.Reason {
	if r.Refusal == nil {
		return ""
	}
	return r.Refusal.Reason
}

func describePlan(c command, plan plan) string {
	var b strings.Builder
	b.WriteString(c.name)
	for step, f := range plan {
		b.WriteString(" " + f.name + "@" + strconv.Itoa(step))
	}
	return b.String()
}

func readFaults() []fault {
	text, err := os.ReadFile("testdata/faults.txt")
	if err != nil {
		panic(err)
	}
	var faults []fault
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) != 5 || fields[0] == "#" {
			continue
		}
		faults = append(faults, fault{
			name:   fields[0],
			effect: parseMilliseconds(fields[1]),
			answer: parseMilliseconds(fields[2]),
			rival:  fields[3] == "yes",
			pair:   fields[4] == "yes",
		})
	}
	if len(faults) == 0 {
		panic("no faults")
	}
	return faults
}

func faultsForPairs(faults []fault) []fault {
	var out []fault
	for _, f := range faults {
		if f.pair {
			out = append(out, f)
		}
	}
	return out
}

func parseMilliseconds(text string) time.Duration {
	if text == "-" {
		return never
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		panic(err)
	}
	return time.Duration(n) * time.Millisecond
}
