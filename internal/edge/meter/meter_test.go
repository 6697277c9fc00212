package meter_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/edge/meter"
)

func TestMeter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "meter")
}

var _ = Describe("Meter", func() {
	DescribeTable("reports on /ready whether the role is ready", func(ready bool, status int) {
		m := meter.New("agent", func() meter.Sample { return meter.Sample{} }, func() any { return nil }, func() bool { return ready })
		w := httptest.NewRecorder()
		m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/ready", nil))
		Expect(w.Code).To(Equal(status))
	},
		Entry("ready", true, http.StatusOK),
		Entry("not ready", false, http.StatusServiceUnavailable),
	)

	It("publishes counters by reason, and gauges", func() {
		sample := meter.Sample{
			Totals: []meter.Total{
				{
					Name:   "packets",
					Reason: "not_mine",
					Value:  3,
				},
			},
			Levels: []meter.Level{
				{
					Name:  "flows_open",
					Value: 7,
				},
			},
		}
		m := meter.New("agent", func() meter.Sample { return sample }, func() any { return meter.State{} }, func() bool { return false })
		m.Collect()
		sample.Totals[0].Value = 5
		m.Collect()
		Eventually(func() string {
			w := httptest.NewRecorder()
			m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
			return w.Body.String()
		}).WithTimeout(30 * time.Second).Should(And(
			ContainSubstring(`clementinewing_agent_packets{reason="not_mine"} 5`),
			ContainSubstring("clementinewing_agent_flows_open 7"),
		))
	})
})
