package entry_test

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/edge/batch"
	"github.com/clementinewing/clementinewing/internal/edge/keys"
	"github.com/clementinewing/clementinewing/internal/edge/wire"
	"github.com/clementinewing/clementinewing/internal/flow/rank"
	"github.com/clementinewing/clementinewing/internal/flow/steer"
	"github.com/clementinewing/clementinewing/internal/role/entry"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

const (
	// syn opens a flow from 10.0.0.1:80 to 10.0.0.1:80, ack continues it.
	syn = "4500002800000000400600000a0000010a0000010050005000000001000000005002000000000000"
	ack = "4500002800000000400600000a0000010a0000010050005000000002000000005010000000000000"
)

func ringOf(epoch keys.Epoch, first byte) *keys.Ring {
	return keys.NewRing(&keys.Set{
		SealEpoch: epoch,
		Masters: []keys.Master{
			{
				Epoch: epoch,
				Key:   keys.Key{first},
			},
		},
	})
}

func unhex(text string) []byte {
	b, err := hex.DecodeString(text)
	Expect(err).NotTo(HaveOccurred())
	return b
}

// fixture is a PacketPath with three agents, in the ranked order of the flow under
// test. A socket of the test stands for the fabric.
type fixture struct {
	entry          *entry.PacketPath
	ring           *keys.Ring
	sealer         *wire.Sealer
	fabric         *batch.Socket
	agents         []*batch.Socket
	endpoints      []node.Endpoint
	clock          atomic.Int64
	silenceChanges chan string
}

func newFixture(run bool) *fixture {
	b := &fixture{
		ring:           ringOf(1, 1),
		silenceChanges: make(chan string, 100),
	}
	b.clock.Store(1_000_000_000_000)
	b.sealer = wire.NewSealer(b.ring)
	b.fabric = listen()
	b.addEndpoints()
	e, err := entry.New(b.ring, entry.WithThreads(1), entry.WithTableSizes(1000, 1000), entry.WithNow(b.now), entry.OnSilenceChanged(b.recordSilence))
	Expect(err).NotTo(HaveOccurred())
	b.entry = e
	DeferCleanup(e.Close)
	b.entry.SetServices(b.snapshot())
	if run {
		b.run()
	}
	return b
}

func (b *fixture) run() {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- b.entry.Run(ctx) }()
	DeferCleanup(func() {
		cancel()
		Eventually(ended, 20*time.Second).Should(Receive(BeNil()))
	})
}

func (b *fixture) now() time.Time {
	return time.Unix(0, b.clock.Load())
}

func (b *fixture) advance(d time.Duration) {
	b.clock.Add(int64(d))
}

func (b *fixture) recordSilence(agent netip.AddrPort, silent bool) {
	b.silenceChanges <- strconv.FormatBool(silent) + " " + agent.String()
}

func (b *fixture) addEndpoints() {
	random := rand.New(rand.NewPCG(1, 0))
	var endpoints []node.Endpoint
	var sockets []*batch.Socket
	for range 3 {
		s := listen()
		sockets = append(sockets, s)
		endpoints = append(endpoints, node.Endpoint{
			Service:     1,
			Agent:       s.Local(),
			Incarnation: node.Incarnation(random.Uint64()),
			Weight:      1,
			State:       node.Serving,
		})
	}
	p, err := link.Parse(unhex(syn))
	Expect(err).NotTo(HaveOccurred())
	for _, i := range rank.List(p.Key.Hash(), endpoints, nil) {
		b.endpoints = append(b.endpoints, endpoints[i])
		b.agents = append(b.agents, sockets[i])
	}
}

func (b *fixture) snapshot() steer.Snapshot {
	return steer.Snapshot{
		Services: []steer.Service{
			{
				ID:        1,
				Address:   netip.MustParseAddrPort("10.0.0.1:80"),
				Protocol:  spec.TCP,
				Endpoints: b.endpoints,
			},
			{
				ID:       2,
				Address:  netip.MustParseAddrPort("10.0.0.2:80"),
				Protocol: spec.TCP,
			},
		},
	}
}

func listen() *batch.Socket {
	s, err := batch.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = s.Close() })
	return s
}

func (b *fixture) send(packet []byte) {
	Expect(b.fabric.WriteTo(packet, b.entry.FabricAddress())).To(Succeed())
}

// receive waits for a message of one kind at an agent.
func (b *fixture) receive(agent int, kind wire.Kind) (m wire.Message, from netip.AddrPort) {
	r := batch.NewReader(b.agents[agent], 1, wire.MaxBytes)
	o := wire.NewOpener(b.ring)
	for m.Kind != kind {
		Expect(b.agents[agent].SetReadDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
		Expect(r.Read()).To(Equal(1))
		Expect(o.Open(r.Datagram(0), &m)).To(Succeed())
		from = r.From(0)
	}
	return m, from
}

// sendFrom sends a message from an agent to the tunnel.
func (b *fixture) sendFrom(agent int, m wire.Message) {
	Expect(b.agents[agent].WriteTo(b.sealer.Seal(nil, &m), b.entry.TunnelAddress())).To(Succeed())
}

func (b *fixture) counted(name string) func() uint64 {
	return func() (found uint64) {
		c := b.entry.Counts()
		c.Each(func(n string, value uint64) {
			if n == name {
				found = value
			}
		})
		return found
	}
}

func (b *fixture) hint(owner node.Incarnation) wire.Message {
	return wire.Message{
		Kind:     wire.Hint,
		Service:  1,
		Balancer: b.entry.TunnelAddress(),
		Candidates: []wire.Candidate{
			{
				Incarnation: owner,
			},
		},
		Inner: unhex(ack)[:30],
	}
}

var _ = Describe("Entry", func() {
	It("sends a packet to the first candidate and removes bytes after its end", func() {
		b := newFixture(true)
		b.send(append(unhex(syn), "padding"...))
		m, from := b.receive(0, wire.Packet)
		Expect(from).To(Equal(b.entry.TunnelAddress()))
		Expect(m.Service).To(Equal(spec.ServiceID(1)))
		Expect(m.Balancer).To(Equal(b.entry.TunnelAddress()))
		Expect(m.Position).To(BeZero())
		Expect(m.Inner).To(Equal(unhex(syn)))
		for i, c := range m.Candidates {
			Expect(c.Agent).To(Equal(b.endpoints[i].Agent))
			Expect(c.Incarnation).To(Equal(b.endpoints[i].Incarnation))
		}
		Eventually(b.counted("forwarded"), 20*time.Second).Should(Equal(uint64(1)))
	})

	It("sends a packet to the owner named by a hint", func() {
		b := newFixture(true)
		b.sendFrom(2, b.hint(b.endpoints[2].Incarnation))
		Eventually(b.counted("hints_kept"), 20*time.Second).Should(Equal(uint64(1)))
		b.send(unhex(ack))
		m, _ := b.receive(2, wire.Packet)
		Expect(m.Candidates).To(HaveLen(3))
		Expect(m.Candidates[0].Incarnation).To(Equal(b.endpoints[2].Incarnation))
		Eventually(b.counted("hinted"), 20*time.Second).Should(Equal(uint64(1)))
	})

	It("relays a packet to a candidate that an agent cannot reach", func() {
		b := newFixture(true)
		m := b.hint(b.endpoints[1].Incarnation)
		m.Kind = wire.Packet
		m.Candidates[0].Agent = b.endpoints[1].Agent
		b.sendFrom(0, m)
		got, _ := b.receive(1, wire.Packet)
		Expect(got.Inner).To(Equal(m.Inner))
		Expect(got.Candidates).To(Equal(m.Candidates))
		Eventually(b.counted("relayed"), 20*time.Second).Should(Equal(uint64(1)))
	})

	It("sends a retransmitted SYN to the next candidate", func() {
		b := newFixture(true)
		b.send(unhex(syn))
		b.receive(0, wire.Packet)
		b.advance(time.Second)
		b.send(unhex(syn))
		b.receive(1, wire.Packet)
		Eventually(b.counted("repeated_openings"), 20*time.Second).Should(Equal(uint64(1)))
	})

	It("opens a new link to a silent agent, then reports it as silent until it answers", func() {
		b := newFixture(true)
		b.send(unhex(ack))
		_, first := b.receive(0, wire.Probe)
		Expect(first).To(Equal(b.entry.TunnelAddress()))
		b.advance(150 * time.Millisecond)
		_, second := b.receive(0, wire.Probe)
		Expect(second).NotTo(Equal(first))
		b.send(unhex(ack))
		_, from := b.receive(0, wire.Packet)
		Expect(from).To(Equal(second))
		b.advance(150 * time.Millisecond)
		m, _ := b.receive(0, wire.Probe)
		b.advance(150 * time.Millisecond)
		agent := b.endpoints[0].Agent.String()
		Eventually(b.silenceChanges, 20*time.Second).Should(Receive(Equal("true " + agent)))

		b.send(unhex(syn))
		b.receive(1, wire.Packet)
		b.entry.SetServices(b.snapshot())
		b.advance(10 * time.Second)
		b.send(unhex(strings.Replace(syn, "00000001", "00000009", 1)))
		b.receive(1, wire.Packet)

		m.Kind = wire.Answer
		Expect(b.agents[0].WriteTo(b.sealer.Seal(nil, &m), second)).To(Succeed())
		Eventually(b.silenceChanges, 20*time.Second).Should(Receive(Equal("false " + agent)))
	})

	It("forwards to the other agents while one is gone", func() {
		b := newFixture(true)
		Expect(b.agents[0].Close()).To(Succeed())
		for range 3 {
			b.send(unhex(ack))
		}
		Eventually(b.counted("forwarded"), 20*time.Second).Should(Equal(uint64(3)))
		b.send(unhex(syn))
		Eventually(b.counted("forwarded"), 20*time.Second).Should(Equal(uint64(4)))
		b.advance(time.Second)
		b.send(unhex(syn))
		b.receive(1, wire.Packet)
	})

	It("rejects a tunnel address without an IP", func() {
		_, err := entry.New(ringOf(1, 1), entry.WithTunnel(netip.MustParseAddrPort("0.0.0.0:0")))
		Expect(err).To(MatchError(ContainSubstring("must name one IP")))
	})

	It("does not allocate per packet", func() {
		b := newFixture(false)
		step := entry.NewStep(b.entry)
		packet := unhex(ack)
		allocations := testing.AllocsPerRun(100, func() {
			for range 32 {
				if b.fabric.WriteTo(packet, b.entry.FabricAddress()) != nil {
					panic("not sent")
				}
			}
			for handled := 0; handled < 32; {
				n, err := step.Handle()
				if err != nil {
					panic(err)
				}
				handled += n
			}
		})
		Expect(allocations).To(BeZero())
	})
})

var _ = Describe("drops", func() {
	script, err := os.ReadFile("testdata/drops.txt")
	if err != nil {
		panic(err)
	}
	for line := range strings.Lines(string(script)) {
		words := strings.Fields(line)
		if words[0] == "#" {
			continue
		}
		It(words[0], func() {
			b := newFixture(true)
			to := b.entry.FabricAddress()
			if words[1] == "tunnel" {
				to = b.entry.TunnelAddress()
			}
			for _, datagram := range b.datagrams(words[3:]) {
				Expect(b.fabric.WriteTo(datagram, to)).To(Succeed())
			}
			Eventually(b.counted(words[2]), 20*time.Second).Should(Equal(uint64(1)))
		})
	}
})

func (b *fixture) datagrams(words []string) [][]byte {
	switch words[0] {
	case "packet":
		return [][]byte{unhex(words[1])}
	case "zeros":
		n, err := strconv.Atoi(words[1])
		Expect(err).NotTo(HaveOccurred())
		return [][]byte{make([]byte, n)}
	case "kind":
		return [][]byte{b.sealer.Seal(nil, b.messageOfKind(words[1:]))}
	}
	m := b.hint(b.endpoints[0].Incarnation)
	switch words[0] {
	case "wrong_key":
		return [][]byte{wire.NewSealer(ringOf(1, 2)).Seal(nil, &m)}
	case "unknown_epoch":
		return [][]byte{wire.NewSealer(ringOf(2, 1)).Seal(nil, &m)}
	case "twice":
		datagram := b.sealer.Seal(nil, &m)
		return [][]byte{datagram, datagram}
	default:
		Fail("unknown datagram " + words[0])
		return nil
	}
}

func (b *fixture) messageOfKind(words []string) *wire.Message {
	m := b.hint(b.endpoints[0].Incarnation)
	m.Kind = map[string]wire.Kind{
		"packet": wire.Packet,
		"hint":   wire.Hint,
		"answer": wire.Answer,
		"probe":  wire.Probe,
	}[words[0]]
	switch {
	case len(words) == 1:
		m.Inner = nil
	case words[1] == "elsewhere":
		m.Balancer = netip.MustParseAddrPort("127.0.0.1:1")
	default:
		m.Candidates[0].Incarnation++
	}
	return &m
}
