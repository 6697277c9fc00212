package agent_test

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/edge/rawip"
	"github.com/clementinewing/clementinewing/internal/flow/owner"
	"github.com/clementinewing/clementinewing/internal/role/agent"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// datagramKey is the flow of a caller to the datagram service.
// rawip.AppendDatagram writes answers, so question swaps the two ends.
var datagramKey = link.Key{
	Caller:     binary.BigEndian.Uint32([]byte{10, 1, 0, 9}),
	Target:     binary.BigEndian.Uint32([]byte{10, 99, 0, 1}),
	CallerPort: 20_000,
	TargetPort: 53,
	Protocol:   uint8(spec.UDP),
}

// question is a datagram from the caller to the service.
func question(text string) []byte {
	k := datagramKey
	k.Caller, k.Target = k.Target, k.Caller
	k.CallerPort, k.TargetPort = k.TargetPort, k.CallerPort
	return rawip.AppendDatagram(nil, k, []byte(text))
}

// echo starts a server that returns each datagram to its sender.
func echo() netip.AddrPort {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{
		IP: net.IPv4(127, 0, 0, 1),
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	go func() {
		b := make([]byte, 2048)
		for {
			n, from, err := c.ReadFromUDPAddrPort(b)
			if err != nil {
				return
			}
			_, _ = c.WriteToUDPAddrPort(b[:n], from)
		}
	}()
	return c.LocalAddr().(*net.UDPAddr).AddrPort()
}

var _ = Describe("datagram service", func() {
	It("forwards questions and answers, and ends idle flows", func(ctx context.Context) {
		b := newFixture(context.WithoutCancel(ctx), 1, 0)
		b.stops[0]()
		table := owner.New(owner.WithIdentity(service, 1), owner.WithIdleTimeout(200*time.Millisecond))
		a, err := agent.New(b.ring, table, agent.WithListen(b.candidates[0].Agent),
			agent.WithUpstream(echo()), agent.WithFabric(b.fabric.AnswerAddress()), agent.WithIncarnation(1))
		Expect(err).NotTo(HaveOccurred())
		run(context.WithoutCancel(ctx), a.Run)
		socket, err := net.ListenUDP("udp4", &net.UDPAddr{
			IP: net.IPv4(127, 0, 0, 1),
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(socket.Close)
		answers := make(chan string, 100)
		go func() {
			in := make([]byte, 2048)
			for {
				n, err := socket.Read(in)
				if err != nil {
					return
				}
				p, err := link.Parse(in[:n])
				if err == nil && p.Key.CallerPort == datagramKey.TargetPort {
					answers <- string(in[n-p.Payload : n])
				}
			}
		}()
		for _, text := range []string{"sheet 1", "sheet 2"} {
			Eventually(func() chan string {
				_, err := socket.WriteToUDPAddrPort(question(text), b.fabric.CallerAddress())
				Expect(err).NotTo(HaveOccurred())
				return answers
			}).WithTimeout(20 * time.Second).WithPolling(50 * time.Millisecond).Should(Receive(Equal(text)))
		}
		Eventually(func() int { return a.Counts().Owner.Open }).WithTimeout(time.Minute).Should(BeZero())
		Expect(a.Counts().Owner.Of(owner.IdleExpired)).To(BeNumerically(">", 0))
	})
})
