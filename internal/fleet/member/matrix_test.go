package member_test

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/fleet/member"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

const (
	// workers is the number of cells that run concurrently.
	workers = 4
	// settleTime is how long the fleet runs before the step. An endpoint that has run
	// that long must never be missing from a list.
	settleTime = 15 * time.Second
	// faultDelay is the time between the step and the fault.
	faultDelay = 20 * time.Millisecond
	// checkInterval is the time between two checks of all lists.
	checkInterval = 2 * time.Second
	// leaveLimit is how long a leaving endpoint may be listed for new flows, and
	// how long a resumed balancer may lack an endpoint. A new balancer must list all
	// endpoints as soon as it reports that it is ready.
	leaveLimit = 6 * time.Second
	// deadLimit is how long a dead endpoint may be listed for new flows, absentLimit
	// how long it may be listed at all.
	deadLimit   = 20 * time.Second
	absentLimit = 70 * time.Second
	// maxRate is the upper limit of an agent's calls per second over its lifetime.
	maxRate = 2
	// runAfter is how long the fleet runs after the last command.
	runAfter = 80 * time.Second
)

var _ = Describe("the fault matrix", func() {
	steps := sections("testdata/steps.txt")
	faults := sections("testdata/faults.txt")
	raw, err := os.ReadFile("testdata/pairs.txt")
	if err != nil {
		panic(err)
	}
	for _, s := range steps {
		It(s.name+" × each fault", func() {
			var cells [][]section
			for _, f := range faults {
				cells = append(cells, []section{s, f})
			}
			runCells(1, cells)
		})
		It(s.name+" × pairs of faults", func() {
			var cells [][]section
			for _, pair := range pairsOf(faults, string(raw)) {
				cells = append(cells, []section{s, pair[0], pair[1]})
			}
			runCells(2, cells)
		})
	}
})

// runCells runs the cells, at most workers of them concurrently. Each cell has its
// own clock and network.
func runCells(seed uint64, cells [][]section) {
	Expect(cells).NotTo(BeEmpty())
	var running sync.WaitGroup
	semaphore := make(chan struct{}, workers)
	for _, cell := range cells {
		semaphore <- struct{}{}
		running.Go(func() {
			defer GinkgoRecover()
			defer func() { <-semaphore }()
			runCell(seed, cell[0], cell[1:]...)
		})
	}
	running.Wait()
}

// pairsOf returns all pairs of those faults that are listed in names.
func pairsOf(faults []section, names string) (out [][2]section) {
	chosen := slices.DeleteFunc(slices.Clone(faults), func(f section) bool {
		return !strings.Contains(names, "\n"+f.name+"\n")
	})
	for i, a := range chosen {
		for _, b := range chosen[i+1:] {
			out = append(out, [2]section{a, b})
		}
	}
	return out
}

// runCell runs one step with its faults and checks the list of every balancer every
// checkInterval.
func runCell(seed uint64, step section, faults ...section) {
	script := slices.Clone(step.lines)
	for i, f := range faults {
		for _, l := range f.lines {
			l.at += faultDelay * time.Duration(1+i*20)
			script = append(script, l)
		}
	}
	slices.SortStableFunc(script, func(a, b line) int { return int(a.at - b.at) })
	c := newCell(seed, script)
	c.name = step.name
	for _, f := range faults {
		c.name += " × " + f.name
	}
	c.rig.Run(settleTime)
	start := c.now()
	c.lastCommandAt = start
	for _, l := range script {
		c.watch(start.Add(l.at))
		c.runCommand(l)
	}
	c.watch(c.now().Add(runAfter))
	c.finish()
}

func (c *cell) watch(until time.Time) {
	for c.now().Add(checkInterval).Before(until) {
		c.rig.Run(checkInterval)
		for name, b := range c.balancers {
			if !b.Dead() && !b.paused {
				c.check(name, b)
			}
		}
	}
	c.rig.Clock.Run(until)
}

// check compares one balancer's list with the true state of the agents.
func (c *cell) check(name string, b *balancer) {
	listed := map[string]node.Endpoint{}
	for _, e := range b.Machine.Endpoints() {
		listed[e.Upstream] = e
	}
	at := failure{
		cell: c.name,
		name: name,
		at:   c.now().Sub(time.Unix(0, 0)),
	}
	starting := !b.Machine.Ready(c.now()) || b.resumed && c.now().Before(b.startedAt.Add(leaveLimit))
	for upstream, a := range c.agents {
		e, ok := listed[upstream]
		acceptsFlows := ok && (e.State == node.Serving || e.State == node.Joining)
		switch {
		case a.addressReused || a.Superseded:
			late := c.now().After(c.lastCommandAt.Add(leaveLimit))
			Expect(acceptsFlows && late).To(BeFalse(), "%s lists %s, whose address another agent has", at, upstream)
		case !a.diedAt.IsZero():
			Expect(acceptsFlows && c.now().After(later(a.diedAt, c.lastCommandAt).Add(deadLimit))).To(BeFalse(), "%s lists the dead %s", at, upstream)
			Expect(ok && c.now().After(later(a.diedAt, c.lastCommandAt).Add(absentLimit))).To(BeFalse(), "%s still lists the dead %s", at, upstream)
		case !a.leftAt.IsZero():
			Expect(acceptsFlows && c.now().After(later(a.leftAt, c.lastCommandAt).Add(leaveLimit))).To(BeFalse(), "%s lists the leaving %s", at, upstream)
		case !starting && c.now().After(later(a.startedAt, c.lastCommandAt).Add(leaveLimit)):
			Expect(ok).To(BeTrue(), "%s does not list %s", at, upstream)
		case !starting && c.now().After(a.startedAt.Add(settleTime)):
			Expect(ok).To(BeTrue(), "%s no longer lists %s", at, upstream)
		}
	}
	c.checkHead(name, b)
}

// failure says in which cell, on which balancer and when a check failed.
type failure struct {
	cell string
	name string
	at   time.Duration
}

func (f failure) String() string {
	return f.cell + ": " + f.name + " at " + f.at.String()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// checkHead adopts the head that was reported to the balancer. Its revision must
// never decrease.
func (c *cell) checkHead(name string, b *balancer) {
	Expect(b.NewerHead.Revision).To(BeNumerically(">=", c.lastRevisions[name]), "%s: %s went back to an earlier revision", c.name, name)
	c.lastRevisions[name] = b.NewerHead.Revision
	if b.NewerHead.Revision > 0 {
		b.Step(member.HeadAdopted{
			Head: b.NewerHead,
		})
	}
}

// finish checks that the lists of all running balancers match the true state.
func (c *cell) finish() {
	c.checkRates()
	for name, b := range c.balancers {
		if b.Dead() {
			continue
		}
		var want, got []string
		for upstream, a := range c.agents {
			if a.addressReused || !a.diedAt.IsZero() || a.Endpoint.State == node.Gone {
				continue
			}
			want = append(want, fmt.Sprintf("%s %s %d", upstream, a.Endpoint.State, a.Endpoint.Weight))
		}
		for _, e := range b.Machine.Endpoints() {
			got = append(got, fmt.Sprintf("%s %s %d", e.Upstream, e.State, e.Weight))
		}
		Expect(got).To(ConsistOf(want), "%s: the list of %s", c.name, name)
		Expect(b.Machine.Table().Balancers()).To(HaveLen(c.runningBalancers()), "%s: the balancers in the table of %s", c.name, name)
	}
}

// checkRates guards against agents and balancers that keep triggering calls of
// each other.
func (c *cell) checkRates() {
	for upstream, a := range c.agents {
		life := c.now().Sub(a.startedAt).Seconds()
		Expect(float64(a.Calls)/life).To(BeNumerically("<", maxRate), "%s: calls per second of %s", c.name, upstream)
	}
}

func (c *cell) runningBalancers() (n int) {
	for _, b := range c.balancers {
		if !b.Dead() {
			n++
		}
	}
	return n
}
