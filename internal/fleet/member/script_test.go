package member_test

import (
	"os"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/bench/fleet"
	"github.com/clementinewing/clementinewing/internal/fake/lossy"
	"github.com/clementinewing/clementinewing/internal/fleet/member"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// line is one command of a script, at is the time since the start of its section.
type line struct {
	at   time.Duration
	verb string
	args []string
}

type section struct {
	name  string
	lines []line
}

// sections reads a script that consists of named sections.
func sections(path string) (out []section) {
	raw, err := os.ReadFile(path)
	if err != nil {
		panic(err)
	}
	for text := range strings.Lines(string(raw)) {
		fields := strings.Fields(text)
		switch {
		case len(fields) == 0 || fields[0] == "#":
		case strings.HasPrefix(fields[0], "["):
			out = append(out, section{
				name: strings.Trim(fields[0], "[]"),
			})
		default:
			ms, err := strconv.Atoi(fields[0])
			if err != nil {
				panic(err)
			}
			s := &out[len(out)-1]
			s.lines = append(s.lines, line{
				at:   time.Duration(ms) * time.Millisecond,
				verb: fields[1],
				args: fields[2:],
			})
		}
	}
	return out
}

// agent is a simulated agent with what the script has done to it.
type agent struct {
	*fleet.Agent
	startedAt     time.Time
	leftAt        time.Time
	diedAt        time.Time
	addressReused bool
	paused        bool
}

// balancer is a simulated balancer with what the script has done to it.
type balancer struct {
	*fleet.Balancer
	// startedAt is when the balancer started or last resumed.
	startedAt time.Time
	paused    bool
	resumed   bool
}

// cell is one combination of a step and faults, with a fleet of its own.
type cell struct {
	name      string
	rig       *fleet.Rig
	balancers map[string]*balancer
	agents    map[string]*agent
	// revision is that of the head that the script adopted last.
	revision uint64
	// lastRevisions holds the last revision reported to each balancer.
	lastRevisions map[string]uint64
	// lastCommandAt is when the fleet was last disturbed.
	lastCommandAt time.Time
}

func newCell(seed uint64, script []line) *cell {
	loss, double := 0.0, 0.0
	for _, l := range script {
		switch l.verb {
		case "loss":
			loss = percent(l.args[0])
		case "double":
			double = percent(l.args[0])
		}
	}
	c := &cell{
		rig: fleet.NewRig(seed,
			lossy.WithDelay(time.Millisecond, 20*time.Millisecond),
			lossy.WithLoss(loss, double),
		),
		balancers:     map[string]*balancer{},
		agents:        map[string]*agent{},
		lastRevisions: map[string]uint64{},
	}
	for _, name := range []string{"b1", "b2", "b3", "b4"} {
		c.join(name)
	}
	for _, name := range []string{"e1", "e2", "e3", "e4", "e5"} {
		c.announce(name, node.Endpoint{})
	}
	return c
}

func percent(text string) float64 {
	n, err := strconv.Atoi(text)
	if err != nil {
		panic(err)
	}
	return float64(n) / 100
}

func (c *cell) now() time.Time {
	return c.rig.Clock.Now()
}

func (c *cell) join(name string) {
	c.balancers[name] = &balancer{
		Balancer:  c.rig.AddBalancer(fleet.Oberbayern[len(c.balancers)%len(fleet.Oberbayern)]),
		startedAt: c.now(),
	}
}

func (c *cell) announce(name string, at node.Endpoint) {
	at.Service = spec.NewServiceID("dienstplan")
	at.Upstream = name
	at.Place = fleet.Oberbayern[len(c.agents)%len(fleet.Oberbayern)]
	at.Weight = 1
	at.State = node.Serving
	c.agents[name] = &agent{
		Agent:     c.rig.AddAgent(at),
		startedAt: c.now(),
	}
}

func (c *cell) runCommand(l line) {
	c.lastCommandAt = c.now()
	switch l.verb {
	case "announce":
		c.announce(l.args[0], node.Endpoint{})
	case "reuse":
		old := c.agents[l.args[0]]
		old.addressReused = true
		c.announce(l.args[1], node.Endpoint{
			Agent: old.Endpoint.Agent,
		})
	case "drain", "leave", "weigh":
		c.change(c.agents[l.args[0]], l)
	case "adopt":
		c.adopt(c.balancers[l.args[0]], l.args[1])
	case "join":
		c.join(l.args[0])
	case "stop":
		c.stop(c.balancers[l.args[0]])
	case "kill", "pause", "wake":
		c.setProcessState(l.verb, l.args[0])
	case "cut", "heal":
		c.setCut(l.args[0], l.args[1], l.verb == "cut")
	case "oneway":
		c.rig.Net.Cut(lossy.Direction{
			From: c.networkName(l.args[0]),
			To:   c.networkName(l.args[1]),
		}, true)
	case "loss", "double":
	default:
		panic("unknown command " + l.verb)
	}
}

func (c *cell) change(a *agent, l line) {
	e := a.Endpoint
	switch l.verb {
	case "drain":
		e.State = node.Draining
		a.leftAt = c.now()
	case "leave":
		e.State = node.Gone
		a.leftAt = c.now()
	case "weigh":
		weight, err := strconv.Atoi(l.args[1])
		Expect(err).NotTo(HaveOccurred())
		e.Weight = uint32(weight)
	}
	a.Update(e)
}

func (c *cell) adopt(b *balancer, revision string) {
	n, err := strconv.ParseUint(revision, 10, 64)
	Expect(err).NotTo(HaveOccurred())
	c.revision = n
	b.Step(member.HeadAdopted{
		Head: member.Head{
			Revision: n,
			Hash:     "hash-" + revision,
		},
	})
}

// stop lets a balancer announce that it is gone and ends it a second later.
func (c *cell) stop(b *balancer) {
	gone := b.Self
	gone.State = node.Gone
	b.Step(member.EndpointUpdated{
		Endpoint: gone,
	})
	c.rig.Clock.After(time.Second, b.Kill)
}

// setProcessState kills, pauses or resumes an agent or a balancer.
func (c *cell) setProcessState(verb, name string) {
	b, a := c.balancers[name], c.agents[name]
	switch {
	case verb == "kill" && a != nil:
		a.Kill()
		a.diedAt = c.now()
	case verb == "kill":
		b.Kill()
	case verb == "pause" && a != nil:
		a.paused = true
		a.Pause()
	case verb == "pause":
		b.paused = true
		b.Pause()
	case a != nil:
		a.paused = false
		a.Resume()
	default:
		b.paused = false
		b.resumed = true
		b.startedAt = c.now()
		b.Resume()
	}
}

// setCut cuts or restores the link between two processes in both directions.
func (c *cell) setCut(x, y string, cut bool) {
	for _, way := range []lossy.Direction{
		{
			From: c.networkName(x),
			To:   c.networkName(y),
		},
		{
			From: c.networkName(y),
			To:   c.networkName(x),
		},
	} {
		c.rig.Net.Cut(way, cut)
	}
}

// networkName returns the name of an agent or a balancer on the simulated network.
func (c *cell) networkName(name string) string {
	if a := c.agents[name]; a != nil {
		return a.Name()
	}
	return c.balancers[name].Name()
}
