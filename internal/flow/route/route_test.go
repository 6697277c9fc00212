package route_test

import (
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/board/file"
	"github.com/clementinewing/clementinewing/internal/flow/route"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

func TestRoute(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "route")
}

// The script has one announced endpoint per line: service, upstream, and whether the
// announced weight or the one in the file applies, or - if the endpoint is not allowed.
var _ = Describe("Build", func() {
	text, err := os.ReadFile("testdata/file.ini")
	if err != nil {
		panic(err)
	}
	script, err := os.ReadFile("testdata/endpoints.txt")
	if err != nil {
		panic(err)
	}
	for line := range strings.Lines(string(script)) {
		fields := strings.Fields(line)
		if strings.HasPrefix(line, "#") {
			continue
		}
		It("routes to "+fields[1]+" of "+fields[0]+" as the file allows", func() {
			f, err := file.Parse("file.ini", text)
			Expect(err).NotTo(HaveOccurred())
			s := route.Build(f, []node.Endpoint{
				{
					Service:  spec.NewServiceID(fields[0]),
					Upstream: fields[1],
					Weight:   100,
				},
			})
			got := "-"
			for _, one := range s.Services {
				for _, e := range one.Endpoints {
					Expect(one.ID).To(Equal(spec.NewServiceID(fields[0])))
					got = "announced"
					if e.Weight != 100 {
						got = "filed"
					}
				}
			}
			Expect(got).To(Equal(fields[2]))
		})
	}
})
