package link_test

import (
	"encoding/hex"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/world/link"
)

var kindNames = map[link.Kind]string{
	link.Opening:    "opening",
	link.Continuing: "continuing",
	link.Closing:    "closing",
}

// The script has one packet per line: name, expected kind or error, packet in hex.
var _ = Describe("Parse", func() {
	script, err := os.ReadFile("testdata/packets.txt")
	if err != nil {
		panic(err)
	}
	for line := range strings.Lines(string(script)) {
		fields := strings.Fields(line)
		if len(fields) != 3 || fields[0] == "#" {
			continue
		}
		It(fields[0], func() {
			raw, err := hex.DecodeString(fields[2])
			Expect(err).NotTo(HaveOccurred())
			p, err := link.Parse(raw)
			if err != nil {
				Expect(strings.ReplaceAll(err.Error(), " ", "_")).To(Equal(fields[1]))
				return
			}
			Expect(kindNames[p.Kind]).To(Equal(fields[1]))
			Expect(link.ParseKey(raw[:24])).To(Equal(p.Key))
		})
	}
})

func FuzzParse(f *testing.F) {
	script, err := os.ReadFile("testdata/packets.txt")
	if err != nil {
		f.Fatal(err)
	}
	for line := range strings.Lines(string(script)) {
		raw, err := hex.DecodeString(strings.Fields(line)[2])
		if err == nil {
			f.Add(raw)
		}
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		p, err := link.Parse(b)
		k, keyErr := link.ParseKey(b)
		if err == nil && (keyErr != nil || k != p.Key) {
			t.Fatalf("ParseKey returned %v (error %v), Parse returned %v", k, keyErr, p.Key)
		}
		if err == nil && (p.Payload < 0 || p.Payload > len(b)) {
			t.Fatalf("payload of %d bytes in a packet of %d", p.Payload, len(b))
		}
	})
}
