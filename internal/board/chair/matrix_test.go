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

// command is one operator's command in the matrix. Its subject is the file that it
// applies or decides about. Before the command, the given number of rival files comes
// into force, and then, if collided is set, the subject collides. newMachine returns
// the machine for one attempt. takesEffect is whether the subject comes into force
// without faults.
type command struct {
	name        string
	takesEffect bool
	rivals      int
	collided    bool
	subject     file.File
	newMachine  func(subject file.File, deadline time.Time) machine
}

// commandTimeout is the time limit of one attempt of a command.
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

// prepare returns a driver in the state before the command.
func (c command) prepare() *driver {
	d := newDriver()
	for range c.rivals {
		d.applyRivalFile()
	}
	if c.collided {
		d.runToEnd(newApplyByBero(c.subject, d.clock.Now().Add(commandTimeout)), always(noFault))
	}
	return d
}

// machine returns the machine for one more attempt.
func (c command) machine(d *driver) machine {
	return c.newMachine(c.subject, d.clock.Now().Add(commandTimeout))
}

func always(f fault) func(int) fault {
	return func(int) fault { return f }
}

// workers is the number of goroutines that run the cells of a command.
const workers = 3

// Injects every fault into every call of every command, alone and combined with every
// fault of every later call, then repeats the same command without faults. The repeated
// command must report what actually happened and must not take effect twice.
var _ = Describe("Matrix", func() {
	faults := readFaults()
	for _, c := range commands {
		It(c.name+" with every fault at every step and with pairs of faults", func() {
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

// plan maps call numbers to faults.
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

func runCells(c command, before *driver, plans []plan) {
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

func runCell(c command, d *driver, plan plan) {
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
	inForce := d.wasInForce(d.heads, subject)
	Expect(inForce).To(Equal(second.Refusal == nil && c.takesEffect), what)
	if d.rivalCount == rivals {
		Expect(inForce).To(Equal(c.takesEffect), what)
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
			name:        fields[0],
			effectDelay: parseMilliseconds(fields[1]),
			answerDelay: parseMilliseconds(fields[2]),
			rival:       fields[3] == "yes",
			inPairs:     fields[4] == "yes",
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
		if f.inPairs {
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
