package probe_test

import (
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/flow/probe"
)

func TestProbe(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "probe")
}

// A script has lines of "MILLISECONDS EVENT PEER => ACTION; ACTION; heard|silent", where
// heard means that the peer isn't silent.
var _ = Describe("Peers", func() {
	script, err := os.ReadFile("testdata/links.txt")
	if err != nil {
		panic(err)
	}
	for _, part := range strings.Split("\n"+string(script), "\ncase ")[1:] {
		name, body, _ := strings.Cut(part, "\n")
		It(name, func() {
			p := probe.New()
			for line := range strings.Lines(body) {
				event, expected, found := strings.Cut(line, " => ")
				if found {
					Expect(step(p, strings.Fields(event))).To(Equal(strings.TrimSpace(expected)), line)
				}
			}
		})
	}

	It("probes each of many peers less often, within its rate limit", func() {
		p := probe.New(probe.WithRate(10))
		probes := 0
		for ms := range 60_000 {
			now := time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond)
			for _, a := range p.Step(now, probe.PacketSent{
				Peer: peer(ms % 200),
			}, nil) {
				probes++
				p.Step(now, probe.Answered{
					Peer: a.(probe.SendProbe).Peer,
				}, nil)
			}
		}
		Expect(probes).To(BeNumerically("<=", 200+60*10))
	})
})

func peer(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(n))
}

func step(p *probe.Peers, fields []string) string {
	ms, err := strconv.Atoi(fields[0])
	Expect(err).NotTo(HaveOccurred())
	n, err := strconv.Atoi(fields[2])
	Expect(err).NotTo(HaveOccurred())
	events := map[string]probe.Event{
		"sent": probe.PacketSent{
			Peer: peer(n),
		},
		"answered": probe.Answered{
			Peer: peer(n),
		},
		"tick": probe.Tick{},
	}
	var results []string
	for _, a := range p.Step(time.Unix(0, 0).Add(time.Duration(ms)*time.Millisecond), events[fields[1]], nil) {
		switch a := a.(type) {
		case probe.SendProbe:
			results = append(results, "ask "+strconv.Itoa(int(a.Peer.Port())))
		case probe.ReopenLink:
			results = append(results, "renew "+strconv.Itoa(int(a.Peer.Port())))
		}
	}
	if p.Silent(peer(n)) {
		return strings.Join(append(results, "silent"), "; ")
	}
	return strings.Join(append(results, "heard"), "; ")
}
