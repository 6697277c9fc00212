package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/urfave/cli/v3"

	"github.com/clementinewing/clementinewing/internal/relay/entry"
	"github.com/clementinewing/clementinewing/internal/relay/place"
)

func TestCommands(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cwnode")
}

func runCommand(args ...string) (output string, err error) {
	var out bytes.Buffer
	app := &cli.Command{
		Name:     "cwnode",
		Commands: commands(),
		Writer:   &out,

		ErrWriter:      &out,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	err = app.Run(context.Background(), append([]string{"cwnode"}, args...))
	return out.String(), err
}

var _ = Describe("explain", func() {
	var (
		server *httptest.Server
		status int
	)

	BeforeEach(func() {
		status = http.StatusOK
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if status != http.StatusOK {
				http.Error(w, "no such page", status)
				return
			}
			_ = json.NewEncoder(w).Encode(entry.Explanation{
				Flow:    r.URL.Query().Get("caller") + ">" + r.URL.Query().Get("target"),
				Outcome: "placed",
				Reason:  "placed",
				Route:   "orders",
				Candidates: []entry.ExplainedEndpoint{
					{
						Address: "10.2.0.1",
						Class:   "normal",
						Cost:    1.25,
						Terms:   &place.Terms{},
					},
				},
				LeftOut: []entry.ExplainedEndpoint{
					{
						Address:   "10.2.0.2",
						Exclusion: place.ExcludedEvacuated,
					},
				},
				LeftOutCounts: map[place.Exclusion]int{
					place.ExcludedEvacuated: 1,
				},
			})
		}))
		DeferCleanup(server.Close)
	})

	explain := func(args ...string) (string, error) {
		address := strings.TrimPrefix(server.URL, "http://")
		return runCommand(append([]string{"explain", "--address", address}, args...)...)
	}

	It("prints the candidates in their order and why endpoints are left out", func() {
		out, err := explain("10.0.0.1:4000", "10.1.0.1:443")
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(MatchRegexp(`flow +10.0.0.1:4000>10.1.0.1:443`))
		Expect(out).To(MatchRegexp(`1 +10.2.0.1 +normal +1.250`))
		Expect(out).To(ContainSubstring("left out: evacuated 1"))
		Expect(out).To(MatchRegexp(`10.2.0.2 +evacuated`))
	})

	It("prints JSON", func() {
		out, err := explain("--json", "10.0.0.1:4000", "10.1.0.1:443")
		Expect(err).NotTo(HaveOccurred())
		var e entry.Explanation
		Expect(json.Unmarshal([]byte(out), &e)).To(Succeed())
		Expect(e.Candidates).To(HaveLen(1))
	})

	DescribeTable("names what is wrong with its arguments", func(message string, args ...string) {
		_, err := explain(args...)
		Expect(err).To(MatchError(ContainSubstring(message)))
	},
		Entry("none", "expected CALLER and TARGET as IP:PORT, found 0 arguments"),
		Entry("no port", `CALLER: "10.0.0.1" is not an IPv4 address with a port`, "10.0.0.1", "10.1.0.1:443"),
		Entry("a name", `TARGET: "orders:443" is not`, "10.0.0.1:4000", "orders:443"),
	)

	It("reports a process that explains nothing", func() {
		status = http.StatusNotFound
		_, err := explain("10.0.0.1:4000", "10.1.0.1:443")
		Expect(err).To(MatchError(ContainSubstring("404 Not Found: no such page")))
		server.Close()
		_, err = explain("10.0.0.1:4000", "10.1.0.1:443")
		Expect(err).To(MatchError(ContainSubstring("asking the balancer at 127.0.0.1:")))
	})
})
