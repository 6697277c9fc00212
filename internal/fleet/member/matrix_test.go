package member_test

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/fleet/member"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

const (
	// settled is how long the fleet runs before the step.
	settled = 15 * time.Second
	// faultDelay is when the fault strikes after the step.
	faultDelay = 20 * time.Millisecond
	// look is the time between two looks at all lists.
	look = time.Second
	// leaveLimit is how long a leaving endpoint may be listed for new flows, and
	// how long a woken balancer may lack an endpoint. A newcomer must have them all
	// once it says that it is ready.
	leaveLimit = 6 * time.Second
	// deadLimit and absentLimit are how long a dead endpoint may be listed for
	// new flows, and at all.
	deadLimit   = 20 * time.Second
	absentLimit = 70 * time.Second
	// maxRate bounds the calls a second of a side process over its life.
	maxRate = 2
	// after is how long the fleet runs on after the last command.
	after = 80 * time.Second
)

var _ = Describe("the fault matrix", func() {
	steps := sections("testdata/steps.txt")
	faults := sections("testdata/faults.txt")
	raw, err := os.ReadFile("testdata/pairs.txt")
	if err != nil {
		panic(err)
	}
	for _, s := range steps {
		for _, f := range faults {
			It(s.name+" × "+f.name, func() {
				play(1, s, f)
			})
		}
		for _, pair := range pairsOf(faults, string(raw)) {
			It(s.name+" × "+pair[0].name+" × "+pair[1].name, func() {
				play(2, s, pair[0], pair[1])
			})
		}
	}
})

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

// play runs a step and its faults and looks at every list all the while.
func play(seed uint64, step section, faults ...section) {
	script := slices.Clone(step.lines)
	for i, f := range faults {
		for _, l := range f.lines {
			l.at += faultDelay * time.Duration(1+i*20)
			script = append(script, l)
		}
	}
	slices.SortStableFunc(script, func(a, b line) int { return int(a.at - b.at) })
	c := newCell(seed, script)
	c.rig.Run(settled)
	start := c.now()
	c.calm = start
	for _, l := range script {
		c.watch(start.Add(l.at))
		c.run(l)
	}
	c.watch(c.now().Add(after))
	c.finish()
}

func (c *cell) watch(until time.Time) {
	for c.now().Add(look).Before(until) {
		c.rig.Run(look)
		for name, b := range c.balancers {
			if !b.Dead() && !b.paused {
				c.check(name, b)
			}
		}
	}
	c.rig.Clock.Run(until)
}

// check holds one balancer's list against what is true.
func (c *cell) check(name string, b *balancer) {
	listed := map[string]node.Endpoint{}
	for _, e := range b.Machine.Endpoints() {
		listed[e.Upstream] = e
	}
	at := place{
		name: name,
		at:   c.now().Sub(time.Unix(0, 0)),
	}
	young := !b.Machine.Ready(c.now()) || b.woken && c.now().Before(b.since.Add(leaveLimit))
	for upstream, a := range c.agents {
		e, ok := listed[upstream]
		takes := ok && (e.State == node.Serving || e.State == node.Joining)
		switch {
		case a.taken || a.Lost:
			calm := c.now().After(c.calm.Add(leaveLimit))
			Expect(takes && calm).To(BeFalse(), "%s lists %s, whose address is taken", at, upstream)
		case !a.died.IsZero():
			Expect(takes && c.now().After(later(a.died, c.calm).Add(deadLimit))).To(BeFalse(), "%s lists the dead %s", at, upstream)
			Expect(ok && c.now().After(later(a.died, c.calm).Add(absentLimit))).To(BeFalse(), "%s still lists the dead %s", at, upstream)
		case !a.left.IsZero():
			Expect(takes && c.now().After(later(a.left, c.calm).Add(leaveLimit))).To(BeFalse(), "%s lists the leaving %s", at, upstream)
		case !young && c.now().After(later(a.since, c.calm).Add(leaveLimit)):
			Expect(ok).To(BeTrue(), "%s lacks %s", at, upstream)
		case !young && c.now().After(a.since.Add(settled)):
			Expect(ok).To(BeTrue(), "%s lost %s", at, upstream)
		}
	}
	c.checkHead(name, b)
}

// place names the moment of a failure.
type place struct {
	name string
	at   time.Duration
}

func (p place) String() string {
	return p.name + " at " + p.at.String()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// checkHead adopts what the balancer was told of; it must never step back.
func (c *cell) checkHead(name string, b *balancer) {
	Expect(b.Behind.Revision).To(BeNumerically(">=", c.heads[name]), "%s stepped back", name)
	c.heads[name] = b.Behind.Revision
	if b.Behind.Revision > 0 {
		b.Step(member.Adopted{
			Head: b.Behind,
		})
	}
}

// finish checks that all living balancers agree on what is true.
func (c *cell) finish() {
	c.checkRates()
	for name, b := range c.balancers {
		if b.Dead() {
			continue
		}
		var want, got []string
		for upstream, a := range c.agents {
			if a.taken || !a.died.IsZero() || a.Endpoint.State == node.Gone {
				continue
			}
			want = append(want, fmt.Sprintf("%s %s %d", upstream, a.Endpoint.State, a.Endpoint.Weight))
		}
		for _, e := range b.Machine.Endpoints() {
			got = append(got, fmt.Sprintf("%s %s %d", e.Upstream, e.State, e.Weight))
		}
		Expect(got).To(ConsistOf(want), "the list of %s", name)
		Expect(b.Machine.Table().Balancers()).To(HaveLen(c.living()), "the balancers known to %s", name)
	}
}

// checkRates fails where nodes keep each other busy.
func (c *cell) checkRates() {
	for upstream, a := range c.agents {
		life := c.now().Sub(a.since).Seconds()
		Expect(float64(a.Calls)/life).To(BeNumerically("<", maxRate), "the calls of %s", upstream)
	}
}

func (c *cell) living() (n int) {
	for _, b := range c.balancers {
		if !b.Dead() {
			n++
		}
	}
	return n
}
