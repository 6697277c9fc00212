package roster_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/fake/script"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// The event check stands for Next, with the members as agents that have reported; done,
// conflict and lost for ConfirmWrite, RejectWrite and Abandon. The balancer started a second
// before.
var _ = Describe("Record", func() {
	cases, err := script.Read("testdata/record/*.txt")
	if err != nil {
		panic(err)
	}
	for _, c := range cases {
		It(c.Name, func() {
			r := roster.NewRecord(time.UnixMilli(-1000).UTC())
			for i := range c.Lines {
				l := &c.Lines[i]
				revision := uint64(l.Int("revision", 0))
				got := ""
				switch l.Event {
				case "observe":
					r.Observe(revision, l.Has("complete"))
				case "restore":
					r.Restore()
				case "check":
					got = checkRecord(r, l)
				case "done":
					r.ConfirmWrite(revision)
				case "conflict":
					r.RejectWrite()
				case "lost":
					r.Abandon()
				default:
					panic("no event " + l.Event)
				}
				Expect(got).To(Equal(l.Want), "line %d", l.Number)
			}
		})
	}
})

func checkRecord(r *roster.Record, l *script.Line) string {
	members := roster.New(90)
	for _, h := range parseHosts(l.Ints("members")) {
		members.ApplyReport(l.At, frame.LoadReport{
			Host:     h,
			State:    node.Serving,
			Sequence: 1,

			WantsRegistration: slices.Contains(l.Ints("joining"), int(h)),
		})
	}
	switch c := r.Next(l.At, l.Int("rank", 0), members).(type) {
	case roster.RecordRead:
		return "read"
	case roster.RecordWrite:
		if c.Complete {
			return fmt.Sprintf("replace %d, complete", c.Replaces)
		}
		return fmt.Sprintf("replace %d", c.Replaces)
	default:
		return ""
	}
}
