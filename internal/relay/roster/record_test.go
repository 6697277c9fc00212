package roster_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/fake/script"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
)

// The event check stands for CheckDue and StartWrite; done, conflict and lost for
// ConfirmWrite, RejectWrite and AbandonWrite.
var _ = Describe("Record", func() {
	cases, err := script.Read("testdata/record/*.txt")
	if err != nil {
		panic(err)
	}
	for _, c := range cases {
		It(c.Name, func() {
			var r roster.Record
			for i := range c.Lines {
				l := &c.Lines[i]
				revision := uint64(l.Int("revision", 0))
				got := ""
				switch l.Event {
				case "observe":
					r.Observe(revision)
				case "forget":
					r.Forget()
				case "check":
					if !r.CheckDue(l.At) {
						break
					}
					if replaces, ok := r.StartWrite(parseHosts(l.Ints("members"))); ok {
						got = fmt.Sprintf("replace %d", replaces)
					}
				case "done":
					r.ConfirmWrite(revision)
				case "conflict":
					r.RejectWrite(revision)
				case "lost":
					r.AbandonWrite()
				default:
					panic("no event " + l.Event)
				}
				Expect(got).To(Equal(l.Want), "line %d", l.Number)
			}
		})
	}
})
