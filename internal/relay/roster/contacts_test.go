package roster_test

import (
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/fake/script"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
)

// Events: name (Add: balancers that were heard), list (the balancers that one of them knows),
// round (starts a round and prints the balancers that check the list), digest (compares
// the digest with that of the given hosts), hosts.
var _ = Describe("Contacts", func() {
	cases, err := script.Read("testdata/contacts/*.txt")
	if err != nil {
		panic(err)
	}
	for _, c := range cases {
		It(c.Name, func() {
			contacts := roster.NewContacts(time.UnixMilli(0).UTC())
			for i := range c.Lines {
				l := &c.Lines[i]
				Expect(applyContactsEvent(contacts, l)).To(Equal(l.Want), "line %d", l.Number)
			}
		})
	}

	// While balancers join and leave, their lists differ. When each report with a different
	// digest was answered, a round of reports caused as many answers as there are balancers.
	It("is checked by one balancer per round of reports, each in turn", func() {
		const balancers = 300
		contacts := roster.NewContacts(time.UnixMilli(0).UTC())
		for i := range balancers {
			contacts.Add(frame.Host(i + 1))
		}
		now := time.UnixMilli(0).UTC().Add(time.Minute)
		checked := map[frame.Host]int{}
		for range balancers {
			contacts.NextRound()
			for _, h := range contacts.Hosts() {
				if contacts.ChecksList(now, h) {
					checked[h]++
				}
			}
		}
		Expect(checked).To(HaveLen(balancers))
		for _, n := range checked {
			Expect(n).To(Equal(1))
		}
	})
})

func applyContactsEvent(c *roster.Contacts, l *script.Line) string {
	list := parseHosts(l.Ints("hosts"))
	switch l.Event {
	case "name":
		var added []frame.Host
		for _, h := range list {
			if c.Add(h) {
				added = append(added, h)
			}
		}
		return formatHosts("added", added)
	case "list":
		added, forgotten := c.ApplyList(l.At, list)
		return strings.Trim(formatHosts("added", added)+" "+formatHosts("forgotten", forgotten), " ")
	case "round":
		c.NextRound()
		return joinHosts(slices.DeleteFunc(slices.Clone(c.Hosts()), func(h frame.Host) bool { return !c.ChecksList(l.At, h) }))
	case "digest":
		return textIf(c.Digest() == roster.Digest(list), "same")
	case "hosts":
		return joinHosts(c.Hosts())
	default:
		panic("no event " + l.Event)
	}
}

func formatHosts(what string, list []frame.Host) string {
	if len(list) == 0 {
		return ""
	}
	return what + " " + joinHosts(list)
}
