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

// Events: name (balancers that were heard), list (what a balancer knows), round
// (who checks in the next one),
// digest (compared with that of the hosts given), hosts.
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
				Expect(contact(contacts, l)).To(Equal(l.Want), "line %d", l.Number)
			}
		})
	}

	// While balancers join and leave, their lists differ: with an answer to each report
	// whose digest differs, a round of reports brought as many lists as there are
	// balancers.
	It("is checked once in a round of reports, by each balancer in its turn", func() {
		const balancers = 300
		contacts := roster.NewContacts(time.UnixMilli(0).UTC())
		for i := range balancers {
			contacts.Name(frame.Host(i + 1))
		}
		now := time.UnixMilli(0).UTC().Add(time.Minute)
		checked := map[frame.Host]int{}
		for range balancers {
			contacts.NextRound()
			for _, h := range contacts.Hosts() {
				if contacts.Checks(now, h) {
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

func contact(c *roster.Contacts, l *script.Line) string {
	list := hosts(l.Ints("hosts"))
	switch l.Event {
	case "name":
		var added []frame.Host
		for _, h := range list {
			if c.Name(h) {
				added = append(added, h)
			}
		}
		return told("added", added)
	case "list":
		added, forgotten := c.Named(l.At, list)
		return strings.Trim(told("added", added)+" "+told("forgotten", forgotten), " ")
	case "round":
		c.NextRound()
		return numbers(slices.DeleteFunc(slices.Clone(c.Hosts()), func(h frame.Host) bool { return !c.Checks(l.At, h) }))
	case "digest":
		return yes(c.Digest() == roster.Digest(list), "same")
	case "hosts":
		return numbers(c.Hosts())
	default:
		panic("no event " + l.Event)
	}
}

func told(what string, list []frame.Host) string {
	if len(list) == 0 {
		return ""
	}
	return what + " " + numbers(list)
}
