package entry_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/conf/relay"
	"github.com/clementinewing/clementinewing/internal/edge/logs"
	"github.com/clementinewing/clementinewing/internal/relay/entry"
)

func TestEntry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Entry")
}

var _ = Describe("The page that explains placements", func() {
	var b *entry.Balancer

	BeforeEach(func() {
		var err error
		address := netip.MustParseAddr("127.0.0.1")
		b, err = entry.New(relay.Settings{
			Zone:    "north",
			Address: address,
			Callers: netip.AddrPortFrom(address, 0),
			Features: relay.Features{
				ZoneEvacuation: true,
			},
		}, entry.WithLogs(logs.New(io.Discard, "balancer", "a")))
		Expect(err).NotTo(HaveOccurred())
	})

	request := func(method, query string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		b.ExplainHandler().ServeHTTP(w, httptest.NewRequest(method, entry.ExplainPath+query, http.NoBody))
		return w
	}

	It("answers without a plan", func() {
		w := request(http.MethodGet, "?caller=10.0.0.1:4000&target=10.1.0.1:443")
		Expect(w.Code).To(Equal(http.StatusOK))
		var e entry.Explanation
		Expect(json.Unmarshal(w.Body.Bytes(), &e)).To(Succeed())
		Expect(e.Flow).To(Equal("10.0.0.1:4000>10.1.0.1:443"))
		Expect(e.Outcome).To(Equal("dropped"))
		Expect(e.Reason).To(Equal("no_plan"))
		Expect(e.Evacuations.Known).To(BeFalse())
	})

	DescribeTable("names what is wrong with a question", func(method, query string, status int, message string) {
		w := request(method, query)
		Expect(w.Code).To(Equal(status))
		Expect(w.Body.String()).To(ContainSubstring(message))
	},
		Entry("no caller", http.MethodGet, "?target=10.1.0.1:443", 400, "parameter caller: expected once, found 0 times"),
		Entry("two targets", http.MethodGet, "?caller=10.0.0.1:1&target=10.1.0.1:1&target=10.1.0.1:2", 400, "parameter target: expected once, found 2 times"),
		Entry("no port", http.MethodGet, "?caller=10.0.0.1&target=10.1.0.1:443", 400, `parameter caller: "10.0.0.1" is not an IPv4 address`),
		Entry("port 0", http.MethodGet, "?caller=10.0.0.1:1&target=10.1.0.1:0", 400, `parameter target: "10.1.0.1:0" is not`),
		Entry("IPv6", http.MethodGet, "?caller=[2001:db8::1]:1&target=10.1.0.1:443", 400, "parameter caller:"),
		Entry("another method", http.MethodPost, "?caller=10.0.0.1:1&target=10.1.0.1:443", 405, "only GET"),
	)
})
