package plan_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/fake/script"
	"github.com/clementinewing/clementinewing/internal/relay/plan"
)

// Event: answer (era=N, revision=N; unread if reading the plan after it fails). Wanted:
// restored, read.
var _ = Describe("Tracker", func() {
	cases, err := script.Read("testdata/position.txt")
	if err != nil {
		panic(err)
	}
	for _, c := range cases {
		It(c.Name, func() {
			t := &plan.Tracker{}
			restores := uint64(0)
			for i := range c.Lines {
				l := &c.Lines[i]
				p := plan.Position{
					Era:      uint64(l.Int("era", 0)),
					Revision: uint64(l.Int("revision", 0)),
				}
				var got []string
				if t.Observe(p) {
					got = append(got, "restored")
					restores++
					Expect(t.Latest()).To(Equal(p), "line %d", l.Number)
				}
				if t.PlanMayDiffer(p) {
					got = append(got, "read")
					if !l.Has("unread") {
						t.RecordRead(p)
					}
				}
				Expect(strings.Join(got, " ")).To(Equal(l.Want), "line %d", l.Number)
				Expect(t.Restores()).To(Equal(restores), "line %d", l.Number)
			}
		})
	}
})
