package roster_test

import (
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/fake/script"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// Hosts are small numbers; the balancer is 90. The events load, name, meet, named, written
// and expire change the roster; takes, owns, turn, reachable, registered, lists, shown and
// isolated query it. They stand for ApplyReport, AddBalancer, ApplyHeartbeat, ExpectAgent,
// ApplyRecord and Expire; AcceptsFlows, MayOwn, Rank, Unreachable, Registered, AgentsToRecord,
// RecordCalledAt and Isolated.
var _ = Describe("Roster", func() {
	cases, err := script.Read("testdata/*.txt")
	if err != nil {
		panic(err)
	}
	for _, c := range cases {
		It(c.Name, func() {
			r := roster.New(90)
			for i := range c.Lines {
				l := &c.Lines[i]
				Expect(applyEvent(r, l)).To(Equal(l.Want), "line %d", l.Number)
			}
		})
	}
})

func applyEvent(r *roster.Roster, l *script.Line) string {
	host := frame.Host(l.Int("host", 0))
	switch l.Event {
	case "load":
		return textIf(r.ApplyReport(l.At, newLoad(l)), "changed")
	case "meet":
		return textIf(r.ApplyHeartbeat(l.At, frame.Heartbeat{
			Host:    host,
			Process: uint64(l.Int("process", 1)),
			Leaving: l.Has("leaving"),

			StoreLost: l.Has("storeless"),
		}), "added")
	case "name":
		return textIf(r.AddBalancer(l.At, host), "added")
	case "named":
		return textIf(r.ExpectAgent(l.At, host), "not heard")
	case "written":
		return joinHosts(r.ApplyRecord(l.At, roster.RecordContent{
			Agents:   parseHosts(l.Ints("present")),
			CalledAt: l.At,
			Complete: !l.Has("incomplete"),
		}))
	case "expire":
		agents, balancers := r.Expire(l.At)
		return textIf(len(agents)+len(balancers) > 0, "forgotten")
	case "takes":
		return textIf(r.Agent(host).AcceptsFlows(l.At), "yes")
	case "owns":
		return textIf(r.Agent(host).MayOwn(l.At, r.Isolated(l.At)), "yes")
	case "reachable":
		_, found := r.Unreachable(l.At)
		return textIf(!found, "yes")
	case "registered":
		return textIf(r.Registered(host), "yes")
	case "lists":
		return joinHosts(r.AgentsToRecord())
	case "shown":
		if r.RecordCalledAt().IsZero() {
			return ""
		}
		return strconv.FormatInt(r.RecordCalledAt().UnixMilli(), 10)
	case "isolated":
		return textIf(r.Isolated(l.At), "yes")
	case "turn":
		return [...]string{"first", "second", "third"}[r.Rank(l.At, roster.Fitness{
			StoreLost: l.Has("storeless"),
			Leaving:   l.Has("leaving"),
		})]
	default:
		panic("no event " + l.Event)
	}
}

func textIf(is bool, text string) string {
	if is {
		return text
	}
	return ""
}

func parseHosts(list []int) (out []frame.Host) {
	for _, n := range list {
		out = append(out, frame.Host(n))
	}
	return out
}

func joinHosts(list []frame.Host) string {
	texts := make([]string, len(list))
	for i, h := range list {
		texts[i] = strconv.Itoa(int(h))
	}
	return strings.Join(texts, ",")
}

func newLoad(l *script.Line) frame.LoadReport {
	r := frame.LoadReport{
		Host:       frame.Host(l.Int("host", 0)),
		Process:    uint64(l.Int("process", 1)),
		Service:    1,
		State:      node.Serving,
		StartedAt:  uint64(l.Int("born", 5)),
		Sequence:   uint32(l.Int("number", 1)),
		Refuses:    l.Has("refuses"),
		Proven:     l.Has("proven"),
		Registered: l.Has("registered"),

		EndpointEnded:     l.Has("ended"),
		EndpointAbsent:    l.Has("absent"),
		WantsRegistration: l.Has("wants"),
		IntervalMS:        uint16(l.Int("every", 250)),
	}
	switch {
	case l.Has("gone"):
		r.State = node.Gone
	case l.Has("draining"):
		r.State = node.Draining
	case l.Has("joining"):
		r.State = node.Joining
	}
	return r
}

var _ = Describe("Digest", func() {
	It("depends on the set and not on its order", func() {
		a := roster.Digest([]frame.Host{1, 2, 3})
		Expect(roster.Digest([]frame.Host{3, 1, 2})).To(Equal(a))
		Expect(roster.Digest([]frame.Host{3, 1})).NotTo(Equal(a))
	})
})

var _ = Describe("LoadEvery", func() {
	It("grows with the balancers, within bounds", func() {
		Expect(roster.ReportInterval(0)).To(Equal(250 * time.Millisecond))
		Expect(roster.ReportInterval(8)).To(Equal(250 * time.Millisecond))
		Expect(roster.ReportInterval(21)).To(BeNumerically("~", 656*time.Millisecond, time.Millisecond))
		Expect(roster.ReportInterval(300)).To(Equal(750 * time.Millisecond))
	})
})
