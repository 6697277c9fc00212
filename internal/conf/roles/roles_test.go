package roles_test

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/conf/lines"
	"github.com/clementinewing/clementinewing/internal/conf/roles"
)

func TestRoles(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "roles")
}

var _ = Describe("settings of an agent", func() {
	script, err := os.ReadFile("testdata/faults.txt")
	if err != nil {
		panic(err)
	}
	for _, part := range strings.Split(string(script), "\n== ")[1:] {
		name, rest, _ := strings.Cut(part, "\n")
		text, want, _ := strings.Cut(rest, "--\n")
		It("lists every fault of "+name, func() {
			_, err := roles.ParseAgent(name, text)
			var faults lines.Faults
			Expect(errors.As(err, &faults)).To(BeTrue())
			Expect(faults.Error()).To(Equal(strings.TrimSpace(want)))
		})
	}

	It("reads the example", func() {
		a, err := roles.ReadAgent("../../../examples/agent.ini")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Service).To(Equal("dienstplan"))
		Expect(a.Place.String()).To(Equal("oberbayern/freising"))
		Expect(a.DrainTimeout).To(Equal(time.Minute))
		Expect(a.Contacts).To(HaveLen(2))
	})
})

var _ = Describe("settings of a balancer", func() {
	It("reads the example", func() {
		b, err := roles.ReadBalancer("../../../examples/balancer.ini")
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Control.String()).To(Equal("127.0.0.1:7202"))
		Expect(b.Keys.Epochs()).To(HaveLen(1))
	})

	It("prints no key material in faults", func() {
		_, err := roles.ParseBalancer("b.ini", "[keys]\n1 = 6b1f3c9a5d7e2048\n")
		Expect(err).To(HaveOccurred())
		Expect(err.Error()).To(ContainSubstring("b.ini:2"))
		Expect(err.Error()).NotTo(ContainSubstring("6b1f3c9a5d7e2048"))
	})
})

func FuzzParse(f *testing.F) {
	f.Add("[agent]\nname = a\n")
	f.Add("[keys]\n1 = ab\nseal = 2\n[tls]\ninsecure = yes\n")
	f.Fuzz(func(t *testing.T, text string) {
		a, err := roles.ParseAgent("fuzz", text)
		if err == nil && (a.Slots == 0 || !a.Upstream.IsValid()) {
			t.Fatalf("accepted %q as %+v", text, a)
		}
	})
}
