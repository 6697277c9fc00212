package trace_test

import (
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/relay/trace"
)

func TestTrace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "story")
}

func read() []*trace.Line {
	f, err := os.Open("testdata/two.log")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(f.Close)
	lines, err := trace.Read(f)
	Expect(err).NotTo(HaveOccurred())
	Expect(lines).To(HaveLen(7))
	return lines
}

var _ = Describe("Tell", func() {
	It("sorts a request's lines by time, with the state of each process", func() {
		selected, err := trace.Extract(read(), "r1")
		Expect(err).NotTo(HaveOccurred())
		var texts []string
		for _, l := range selected {
			texts = append(texts, l.String())
		}
		Expect(texts).To(Equal([]string{
			"10:00:01.000 edge-1: plan in force plan_revision=4",
			"10:00:02.400 edge-1: packet sent on to=10.0.0.1 why=placed",
			"10:00:00.001 side-1: endpoint changed state=serving why=endpoint_report",
			"10:00:02.500 side-1: request given to endpoint in_use=1 request_id=r1",
			"10:00:03.000 edge-1: flow reset why=owner_restarted",
		}))
	})

	It("accepts a flow key, and fails if no line matches", func() {
		selected, err := trace.Extract(read(), "1.2.3.4:6>6.7.8.9:443")
		Expect(err).NotTo(HaveOccurred())
		Expect(selected).To(HaveLen(2))
		_, err = trace.Extract(read(), "r9")
		Expect(err).To(MatchError(trace.ErrNotFound))
	})
})
