package lease_test

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/fleet/gossip"
	"github.com/clementinewing/clementinewing/internal/fleet/lease"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

const tickInterval = 100 * time.Millisecond

var healths = map[lease.Health]string{
	lease.Live:    "live",
	lease.Suspect: "suspect",
	lease.Absent:  "absent",
}

// scriptRunner runs one script against a registry with a real record table, in a
// fleet with one other balancer.
type scriptRunner struct {
	table    *gossip.Table
	registry *lease.Registry
	now      time.Time
	paused   bool
}

func newScriptRunner() *scriptRunner {
	p := &scriptRunner{
		table: gossip.NewTable(),
		now:   time.Unix(0, 0).UTC(),
	}
	for i := range 2 {
		p.table.Merge(p.now, lease.Record{
			Endpoint: node.Endpoint{
				Service:     lease.BalancerService,
				Incarnation: node.Incarnation(100 + i),
				Agent:       address(100 + i),
				State:       node.Serving,
			},
			Health: lease.Live,
		})
	}
	p.registry = lease.NewRegistry(node.Endpoint{
		Incarnation: 100,
	}, p.table)
	return p
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7)
}

func record(words []string) lease.Record {
	number := func(i, fallback int) int {
		if i >= len(words) {
			return fallback
		}
		n, err := strconv.Atoi(words[i])
		Expect(err).NotTo(HaveOccurred())
		return n
	}
	return lease.Record{
		Endpoint: node.Endpoint{
			Service:     1,
			Incarnation: node.Incarnation(number(0, 0)),
			Agent:       address(number(2, number(0, 0))),
			State:       node.Serving,
			Sequence:    uint64(number(1, 0)),
		},
		Health: lease.Live,
	}
}

// step handles an event and returns the actions in the notation of the scripts.
func (p *scriptRunner) step(e lease.RegistryEvent) string {
	var out []string
	for _, a := range p.registry.Step(p.now, e) {
		switch a := a.(type) {
		case lease.Publish:
			p.table.Merge(p.now, a.Record)
			state := healths[a.Record.Health]
			if a.Record.Endpoint.State == node.Gone {
				state = "gone"
			}
			out = append(out, fmt.Sprintf("publish %d %d %d %s", a.Record.Endpoint.Incarnation, a.Record.Endpoint.Sequence, a.Record.Round, state))
		case lease.QueryHome:
			out = append(out, fmt.Sprintf("ask %d", a.Key.Incarnation))
		case lease.ProbeEndpoint:
			out = append(out, fmt.Sprintf("probe %d", a.Endpoint.Incarnation))
		}
	}
	return strings.Join(out, ", ")
}

func (p *scriptRunner) runEvent(verb string, words []string) string {
	switch verb {
	case "tick":
		return p.step(lease.Tick{})
	case "pause":
		p.paused = true
		return ""
	case "renew":
		return p.step(lease.RenewReceived{
			Renew: lease.Renew{
				Records: []lease.Record{record(words)},
			},
		})
	case "vouch":
		return p.step(lease.AnnouncerConfirmed{
			Key: record(words).Key(),
		})
	case "learn":
		return p.learn(words)
	default:
		panic("unknown event " + verb)
	}
}

func (p *scriptRunner) learn(words []string) string {
	r := record(words[:2])
	switch words[3] {
	case "suspect":
		r.Health = lease.Suspect
	case "gone":
		r = r.AsGone(p.now.Add(lease.TombstoneTTL))
	}
	p.table.Merge(p.now, r)
	return p.step(lease.RecordLearned{
		Record: r,
	})
}

// advance ticks until the time of the next line, and expects no actions.
func (p *scriptRunner) advance(until time.Time, text string) {
	for !p.paused && p.now.Add(tickInterval).Before(until) {
		p.now = p.now.Add(tickInterval)
		Expect(p.step(lease.Tick{})).To(BeEmpty(), "actions of a tick at %s before %s", p.now, text)
	}
	p.paused = false
	p.now = until
}

var _ = Describe("the registry", func() {
	raw, err := os.ReadFile("testdata/registry.txt")
	if err != nil {
		panic(err)
	}
	for _, part := range strings.Split(string(raw), "\n[")[1:] {
		name, script, _ := strings.Cut(part, "]\n")
		It(name, func() {
			p := newScriptRunner()
			for text := range strings.Lines(script) {
				event, want, _ := strings.Cut(strings.TrimSpace(text), "->")
				words := strings.Fields(event)
				if len(words) < 2 {
					continue
				}
				ms, err := strconv.Atoi(words[0])
				Expect(err).NotTo(HaveOccurred())
				p.advance(time.UnixMilli(int64(ms)).UTC(), text)
				Expect(p.runEvent(words[1], words[2:])).To(Equal(strings.TrimSpace(want)), text)
			}
		})
	}
})

var _ = Describe("the announcer", func() {
	It("drops records that another process has taken over", func() {
		a := lease.NewAnnouncer(newRandom(), []netip.AddrPort{address(100)})
		now := time.Unix(0, 0)
		r := record([]string{"1", "1"})
		a.Step(now, lease.EndpointUpdated{
			Endpoint: r.Endpoint,
		})
		a.Step(now, lease.ReplyReceived{
			From: address(100),
			Reply: lease.RenewReply{
				Homes: []netip.AddrPort{address(100)},
			},
		})
		Expect(a.HasLease(now.Add(lease.LeaseTTL - 1))).To(BeTrue())
		Expect(a.HasLease(now.Add(lease.LeaseTTL))).To(BeFalse())
		actions := a.Step(now.Add(time.Minute), lease.ReplyReceived{
			From: address(100),
			Reply: lease.RenewReply{
				Verdicts: []lease.Verdict{
					{
						Key: r.Key(),
						Version: lease.Version{
							Gone: true,
						},
					},
				},
			},
		})
		Expect(actions).To(ConsistOf(lease.Superseded{
			Key: r.Key(),
		}))
		Expect(a.Step(now.Add(2*time.Minute), lease.Tick{})).To(BeEmpty())
	})

	// Two balancers that each name the other as the home must not make the announcer
	// renew with them alternately without end.
	It("sends no endless renewals to balancers that disagree about its homes", func() {
		a := lease.NewAnnouncer(newRandom(), []netip.AddrPort{address(100)})
		now := time.Unix(0, 0)
		queue := a.Step(now, lease.EndpointUpdated{
			Endpoint: record([]string{"1", "1"}).Endpoint,
		})
		sends := 0
		for len(queue) > 0 && sends < 1000 {
			send, ok := queue[0].(lease.Send)
			queue = queue[1:]
			if !ok {
				continue
			}
			sends++
			other := address(100)
			if send.To == other {
				other = address(101)
			}
			queue = append(queue, a.Step(now, lease.ReplyReceived{
				From: send.To,
				Reply: lease.RenewReply{
					Homes: []netip.AddrPort{other},
				},
			})...)
		}
		Expect(sends).To(BeNumerically("<=", 2))
	})
})
