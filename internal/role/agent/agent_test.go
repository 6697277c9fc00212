package agent_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/edge/keys"
	"github.com/clementinewing/clementinewing/internal/edge/wire"
	"github.com/clementinewing/clementinewing/internal/fake/caller"
	"github.com/clementinewing/clementinewing/internal/fake/fabric"
	"github.com/clementinewing/clementinewing/internal/fake/origin"
	"github.com/clementinewing/clementinewing/internal/flow/admit"
	"github.com/clementinewing/clementinewing/internal/flow/owner"
	"github.com/clementinewing/clementinewing/internal/role/agent"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

var (
	service = spec.NewServiceID("dienstplan")
	target  = netip.MustParseAddrPort("10.99.0.1:80")
)

// fixture is a fabric, a few agents with upstreams, and one caller. Its balancer
// forwards each packet to a randomly chosen candidate.
type fixture struct {
	fabric     *fabric.Fabric
	ledger     *origin.Ledger
	origins    []*origin.Upstream
	agents     []*agent.Agent
	candidates []wire.Candidate
	caller     *caller.Caller
	ring       *keys.Ring
	// stops holds one function per agent that ends it.
	stops []func()
}

func newFixture(ctx context.Context, count int, work time.Duration, options ...owner.Option) *fixture {
	set, err := keys.Parse("test", "1 = "+strings.Repeat("ab", 32))
	Expect(err).NotTo(HaveOccurred())
	b := &fixture{
		ledger: origin.NewLedger(),
		ring:   keys.NewRing(set),
	}
	b.fabric, err = fabric.New(1, fabric.WithFaults(0.01, 0.02, 0.05))
	Expect(err).NotTo(HaveOccurred())
	for i := range count {
		b.addEndpoint(ctx, i, work, options)
	}
	b.addBalancer(ctx)
	run(ctx, b.fabric.Run)
	b.caller, err = caller.New(netip.MustParseAddr("10.1.0.1"), b.fabric.CallerAddress())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(b.caller.Close)
	return b
}

func run(ctx context.Context, f func(context.Context)) (stop func()) {
	var w sync.WaitGroup
	ctx, cancel := context.WithCancel(ctx)
	w.Go(func() { f(ctx) })
	stop = func() {
		cancel()
		w.Wait()
	}
	DeferCleanup(stop)
	return stop
}

func (b *fixture) addEndpoint(ctx context.Context, i int, work time.Duration, options []owner.Option) {
	u, err := origin.New("dienstplan", fmt.Sprintf("u%d", i), netip.MustParseAddrPort("127.0.0.1:0"),
		origin.WithLedger(b.ledger), origin.WithWorkDuration(work))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(u.Kill)
	incarnation := node.Incarnation(i + 1)
	table := owner.New(append(options, owner.WithIdentity(service, incarnation))...)
	a, err := agent.New(b.ring, table, agent.WithIncarnation(incarnation), agent.WithUpstream(u.Address()), agent.WithFabric(b.fabric.AnswerAddress()))
	Expect(err).NotTo(HaveOccurred())
	b.stops = append(b.stops, run(ctx, a.Run))
	b.origins = append(b.origins, u)
	b.agents = append(b.agents, a)
	b.candidates = append(b.candidates, wire.Candidate{
		Agent:       a.Address(),
		Incarnation: incarnation,
	})
}

func (b *fixture) addBalancer(ctx context.Context) {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{
		IP: net.IPv4(127, 0, 0, 1),
	})
	Expect(err).NotTo(HaveOccurred())
	b.fabric.SetBalancers(socket.LocalAddr().(*net.UDPAddr).AddrPort())
	run(ctx, func(ctx context.Context) {
		stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
		defer stop()
		b.relay(socket)
	})
}

func (b *fixture) relay(socket *net.UDPConn) {
	random := rand.New(rand.NewPCG(1, 1))
	sealer := wire.NewSealer(b.ring)
	buffer := make([]byte, 2048)
	for {
		n, err := socket.Read(buffer)
		if err != nil {
			return
		}
		m := &wire.Message{
			Kind:       wire.Packet,
			Service:    service,
			Position:   uint8(random.IntN(len(b.candidates))),
			Candidates: b.candidates,
			Inner:      buffer[:n],
		}
		_, _ = socket.WriteToUDPAddrPort(sealer.Seal(nil, m), m.Candidates[m.Position].Agent)
	}
}

func (b *fixture) post(id string, size int) (answer string, err error) {
	url := fmt.Sprintf("http://%s%s?id=%s", target, origin.RunPath, id)
	reply, err := b.caller.Client().Post(url, "text/plain", strings.NewReader(strings.Repeat("x", size)))
	if err != nil {
		return "", err
	}
	defer func() { _ = reply.Body.Close() }()
	body, err := io.ReadAll(reply.Body)
	return string(body), err
}

var _ = Describe("Agent", func() {
	It("serves flows whose packets arrive at random agents", func(ctx context.Context) {
		b := newFixture(context.WithoutCancel(ctx), 3, 0)
		for i := range 10 {
			id := fmt.Sprintf("swap-%d", i)
			answer, err := b.post(id, 50_000)
			Expect(err).NotTo(HaveOccurred())
			Expect(answer).To(HaveSuffix(id + " 50000\n"))
			Expect(b.ledger.Runs(id)).To(HaveLen(1))
		}
	})

	It("resets the upstream connection when the caller cancels", func(ctx context.Context) {
		b := newFixture(context.WithoutCancel(ctx), 1, time.Hour)
		request, cancel := context.WithCancel(ctx)
		url := fmt.Sprintf("http://%s%s?id=swap", target, origin.RunPath)
		r, err := http.NewRequestWithContext(request, http.MethodPost, url, nil)
		Expect(err).NotTo(HaveOccurred())
		done := make(chan error, 1)
		go func() {
			_, err := b.caller.Client().Do(r)
			done <- err
		}()
		Eventually(b.origins[0].ActiveRequests.Load).WithTimeout(time.Minute).Should(BeEquivalentTo(1))
		cancel()
		Eventually(done).WithTimeout(time.Minute).Should(Receive(HaveOccurred()))
		Eventually(b.origins[0].ActiveRequests.Load).WithTimeout(time.Minute).Should(BeEquivalentTo(0))
	})

	It("stops while SYNs wait for a slot", func(ctx context.Context) {
		controller := admit.New(admit.Limits{
			Slots:       1,
			Connections: 10,
		})
		b := newFixture(context.WithoutCancel(ctx), 1, time.Hour, owner.WithAdmissionController(controller))
		for i := range 3 {
			go func() { _, _ = b.post(fmt.Sprintf("swap-%d", i), 10) }()
		}
		Eventually(func() int {
			c := b.agents[0].Counts().Owner
			return c.Queued + int(b.origins[0].RequestCount.Load())
		}).WithTimeout(time.Minute).Should(Equal(3))
		b.stops[0]()
		Expect(b.origins[0].RequestCount.Load()).To(BeEquivalentTo(1))
	})
})
