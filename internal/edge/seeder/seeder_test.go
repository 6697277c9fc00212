package seeder_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/edge/seeder"
	"github.com/clementinewing/clementinewing/internal/fake/store"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

func TestSeeder(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "greet")
}

func noBalancers() []node.Endpoint { return nil }

func start(s *seeder.Seeder, contacts func([]netip.AddrPort)) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(ctx, noBalancers, contacts)
	}()
	DeferCleanup(func() {
		cancel()
		<-done
	})
}

var _ = Describe("Greeter", func() {
	It("gives an agent without contacts the address of a balancer", func() {
		s := store.New()
		control := netip.MustParseAddrPort("10.0.0.1:7202")
		start(seeder.NewBalancer(s, 1, nil, control), func([]netip.AddrPort) {})
		Eventually(func() []byte { return s.Memory.Get(seeder.DirectoryKey).Value }).WithTimeout(time.Minute).ShouldNot(BeEmpty())
		found := make(chan []netip.AddrPort, 100)
		start(seeder.NewAgent(s, 2, nil), func(a []netip.AddrPort) { found <- a })
		Eventually(found).WithTimeout(time.Minute).Should(Receive(ConsistOf(control)))
	})

	It("replaces a malformed directory", func() {
		s := store.New()
		s.Memory.Swap(seeder.DirectoryKey, 0, []byte("{"))
		start(seeder.NewBalancer(s, 1, nil, netip.MustParseAddrPort("10.0.0.1:7202")), func([]netip.AddrPort) {})
		Eventually(func() string { return string(s.Memory.Get(seeder.DirectoryKey).Value) }).WithTimeout(time.Minute).Should(ContainSubstring("10.0.0.1:7202"))
	})

	It("does not access the store while a balancer holds the lease", func() {
		s := store.New()
		listed := make(chan struct{}, 100)
		balancers := []node.Endpoint{
			{
				Agent: netip.MustParseAddrPort("10.0.0.1:7202"),
			},
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			seeder.NewAgent(s, 1, nil).Run(ctx, func() []node.Endpoint {
				listed <- struct{}{}
				return balancers
			}, func([]netip.AddrPort) {})
		}()
		for range 3 {
			Eventually(listed).WithTimeout(time.Minute).Should(Receive())
		}
		cancel()
		<-done
		Expect(s.Memory.Counts()).To(BeZero())
	})
})
