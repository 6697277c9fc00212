package peer_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"net/netip"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc/credentials"

	"github.com/clementinewing/clementinewing/internal/edge/peer"
	"github.com/clementinewing/clementinewing/internal/fleet/member"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/spec"
	"github.com/clementinewing/clementinewing/internal/world/zone"
)

// hangTimeout stops a test that hangs.
const hangTimeout = 20 * time.Second

var places = []zone.Place{
	{
		Region: "oberbayern",
		Domain: "muenchen-nord",
	},
	{
		Region: "oberbayern",
		Domain: "freising",
	},
	{
		Region: "oberbayern",
		Domain: "rosenheim",
	},
}

// mutualTLS returns credentials with one self-signed certificate that both ends
// require.
func mutualTLS() peer.Option {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject: pkix.Name{
			CommonName: "fleet",
		},
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	cert, err := x509.ParseCertificate(raw)
	Expect(err).NotTo(HaveOccurred())
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	config := &tls.Config{
		Certificates: []tls.Certificate{
			{
				Certificate: [][]byte{raw},
				PrivateKey:  key,
			},
		},
		RootCAs:    pool,
		ClientCAs:  pool,
		ClientAuth: tls.RequireAndVerifyClientCert,
		MinVersion: tls.VersionTLS13,
	}
	return peer.WithCredentials(credentials.NewTLS(config), credentials.NewTLS(config))
}

// fleet runs members and announcers on loopback.
type fleet struct {
	ctx     context.Context
	options []peer.Option
	members []*peer.Member
	control []netip.AddrPort
	stops   []context.CancelFunc
	running sync.WaitGroup
}

func newFleet(opts ...peer.Option) *fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{
		ctx:     ctx,
		options: opts,
	}
	DeferCleanup(func() {
		cancel()
		f.running.Wait()
	})
	return f
}

func (f *fleet) add(opts ...peer.Option) *peer.Member {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	self := node.Endpoint{
		Agent:       netip.MustParseAddrPort(l.Addr().String()),
		Incarnation: node.Incarnation(1000 + len(f.members)),
		Place:       places[len(f.members)%len(places)],
		Weight:      1,
		State:       node.Serving,
	}
	opts = append(append([]peer.Option{peer.WithSeeds(f.control...)}, f.options...), opts...)
	m, err := peer.NewMember(self, opts...)
	Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(f.ctx)
	f.members = append(f.members, m)
	f.control = append(f.control, self.Agent)
	f.stops = append(f.stops, stop)
	f.running.Go(func() {
		defer GinkgoRecover()
		Expect(m.Run(ctx, l)).To(Succeed())
	})
	return m
}

func (f *fleet) announce(e node.Endpoint, opts ...peer.Option) *peer.Announcer {
	opts = append(append([]peer.Option{peer.WithSeeds(f.control...)}, f.options...), opts...)
	a, err := peer.NewAnnouncer(e.Incarnation, opts...)
	Expect(err).NotTo(HaveOccurred())
	f.running.Go(func() { a.Run(f.ctx) })
	a.Update(e)
	return a
}

// expectEverywhere waits until the endpoint list of every member matches.
func (f *fleet) expectEverywhere(match func(list []node.Endpoint) bool) {
	for _, m := range f.members {
		Eventually(func() bool { return match(m.Snapshot()) }).
			WithTimeout(hangTimeout).WithPolling(20 * time.Millisecond).Should(BeTrue())
	}
}

func dienstplanEndpoint(number int) node.Endpoint {
	return node.Endpoint{
		Service:     spec.NewServiceID("dienstplan"),
		Upstream:    "dienstplan-1",
		Agent:       netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+number)),
		Incarnation: node.Incarnation(1 + number),
		Place:       places[0],
		Weight:      1,
		State:       node.Serving,
	}
}

func singleEndpointIn(state node.State) func(list []node.Endpoint) bool {
	return func(list []node.Endpoint) bool {
		return len(list) == 1 && list[0].State == state
	}
}

var _ = Describe("a fleet on loopback", func() {
	It("lists an upstream that joins, drains and leaves, over mutual TLS", func() {
		f := newFleet(mutualTLS())
		for range 3 {
			f.add()
		}
		e := dienstplanEndpoint(1)
		a := f.announce(e)
		f.expectEverywhere(singleEndpointIn(node.Serving))
		Expect(a.HasLease()).To(BeTrue())
		e.State = node.Draining
		a.Update(e)
		f.expectEverywhere(singleEndpointIn(node.Draining))
		a.Leave(f.ctx)
		f.expectEverywhere(func(list []node.Endpoint) bool { return len(list) == 0 })
	})

	It("gives a new member the endpoints and the file of its only peer", func() {
		f := newFleet(peer.WithInsecure(), peer.WithFiles(files{"abc": []byte("whole file")}))
		first := f.add()
		f.announce(dienstplanEndpoint(1))
		first.SetHead(member.Head{
			Revision: 7,
			Hash:     "abc",
		})
		newerHeads := make(chan member.Head, 100)
		second := f.add(peer.OnNewerHead(func(h member.Head) { newerHeads <- h }))
		f.expectEverywhere(singleEndpointIn(node.Serving))
		var head member.Head
		Eventually(newerHeads).WithTimeout(hangTimeout).Should(Receive(&head))
		Expect(head.Revision).To(Equal(uint64(7)))
		content, err := second.FetchFile(f.ctx, head.Hash)
		Expect(err).NotTo(HaveOccurred())
		Expect(content).To(Equal([]byte("whole file")))
	})

	It("tells the earlier incarnation that a later one has announced its address", func() {
		f := newFleet(peer.WithInsecure())
		f.add()
		superseded := make(chan struct{}, 10)
		f.announce(dienstplanEndpoint(1), peer.OnSuperseded(func() { superseded <- struct{}{} }))
		f.expectEverywhere(singleEndpointIn(node.Serving))
		successor := dienstplanEndpoint(1)
		successor.Incarnation = 77
		f.announce(successor)
		f.expectEverywhere(func(list []node.Endpoint) bool { return len(list) == 1 && list[0].Incarnation == 77 })
		Eventually(superseded).WithTimeout(hangTimeout).Should(Receive())
	})

	It("rejects a member without credentials", func() {
		_, err := peer.NewMember(node.Endpoint{})
		Expect(err).To(MatchError(peer.ErrNoCredentials))
	})
})

type files map[string][]byte

func (f files) File(hash string) ([]byte, bool) {
	content, ok := f[hash]
	return content, ok
}
