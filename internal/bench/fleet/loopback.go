package fleet

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	cryptorand "crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
	"google.golang.org/grpc/credentials"

	"github.com/clementinewing/clementinewing/internal/bench/report"
	"github.com/clementinewing/clementinewing/internal/edge/peer"
	"github.com/clementinewing/clementinewing/internal/fake/lossy"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

const (
	loopbackBalancers       = 30
	loopbackEndpoints       = 100
	loopbackSettleDuration  = 6 * time.Second
	loopbackMeasureDuration = 10 * time.Second
	// maxOverModel bounds the ratio of the bytes on real sockets to the model.
	maxOverModel = 1.1
	// segmentBytes is the size of the IPv4 header and the TCP header with timestamps.
	segmentBytes = 52
)

// meter counts the traffic on the sockets of all servers.
type meter struct {
	bytes atomic.Int64
	mu    sync.Mutex
	conns []*net.TCPConn
}

// segments returns the number of TCP segments on all sockets so far, acknowledgments
// included.
func (m *meter) segments() (n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.conns {
		n += segmentCount(c)
	}
	return n
}

func segmentCount(c *net.TCPConn) (n int64) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			n = int64(info.Segs_in) + int64(info.Segs_out)
		}
	})
	return n
}

type meteredListener struct {
	net.Listener
	meter *meter
}

type meteredConn struct {
	net.Conn
	meter *meter
}

// Accept implements net.Listener.
func (l meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if t, ok := c.(*net.TCPConn); ok {
		l.meter.mu.Lock()
		l.meter.conns = append(l.meter.conns, t)
		l.meter.mu.Unlock()
	}
	return meteredConn{
		Conn:  c,
		meter: l.meter,
	}, nil
}

// Read implements net.Conn.
func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.bytes.Add(int64(n))
	return n, err
}

// measureLoopback runs a fleet in one process on real sockets with mutual TLS, and
// compares it with the model at the same size.
func measureLoopback() (rows []report.Row, err error) {
	defer func() { err = eris.Wrap(err, "measuring on loopback") }()
	secure, err := newSharedCredentials()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	m := &meter{}
	members, err := startLoopback(ctx, &running, m, secure)
	if err != nil {
		return nil, err
	}
	time.Sleep(loopbackSettleDuration)
	bytes, segments, busy := m.bytes.Load(), m.segments(), processorTime()
	time.Sleep(loopbackMeasureDuration)
	bytes = m.bytes.Load() - bytes
	segments = m.segments() - segments
	busy = processorTime() - busy
	complete := 0
	for _, x := range members {
		if len(x.Snapshot()) == loopbackEndpoints {
			complete++
		}
	}
	balancers := float64(loopbackBalancers)
	seconds := loopbackMeasureDuration.Seconds()
	// Servers count each call once. The model counts a call between balancers at
	// both ends, so the comparison is by call and not by balancer.
	wire := float64(bytes+segments*segmentBytes) / balancers / seconds
	model := modelServerBytes()
	return []report.Row{
		report.Summarize("loopback_30_balancers_complete", "balancers", report.AtLeast, balancers, []float64{float64(complete)}),
		report.Summarize("loopback_bytes_at_servers", "B/s", report.Info, 0, []float64{wire}),
		report.Summarize("loopback_payload_at_servers", "B/s", report.Info, 0, []float64{float64(bytes) / balancers / seconds}),
		report.Summarize("model_bytes_at_servers", "B/s", report.Info, 0, []float64{model}),
		report.Summarize("loopback_over_model", "1", report.AtMost, maxOverModel, []float64{wire / model}),
		report.Summarize("loopback_core_share_of_a_balancer", "%", report.AtMost, targetCoreBound, []float64{100 * busy.Seconds() / balancers / seconds}),
	}, nil
}

// modelServerBytes returns the model's bytes per balancer and second at the same size,
// counting each call once.
func modelServerBytes() float64 {
	g := NewRig(1, lossy.WithDelay(linkDelay, linkJitter))
	g.AddConvergedFleet(loopbackBalancers, loopbackEndpoints)
	g.Run(3 * settleDuration)
	g.CountBytes = true
	g.Run(measureDuration)
	return float64(g.CallBytes) / loopbackBalancers / measureDuration.Seconds()
}

func startLoopback(ctx context.Context, running *sync.WaitGroup, m *meter, secure peer.Option) (members []*peer.Member, err error) {
	var seeds []netip.AddrPort
	for i := range loopbackBalancers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		self := node.Endpoint{
			Agent:       netip.MustParseAddrPort(l.Addr().String()),
			Incarnation: node.Incarnation(1 + i),
			Place:       placeOfMachine(i),
			Weight:      1,
			State:       node.Serving,
		}
		x, err := peer.NewMember(self, secure, peer.WithSeeds(seeds...))
		if err != nil {
			return nil, err
		}
		if len(seeds) < seedCount {
			seeds = append(seeds, self.Agent)
		}
		members = append(members, x)
		running.Go(func() {
			_ = x.Run(ctx, meteredListener{
				Listener: l,
				meter:    m,
			})
		})
	}
	for i := range loopbackEndpoints {
		err = startAnnouncer(ctx, running, i, secure, peer.WithSeeds(seeds...))
		if err != nil {
			return nil, err
		}
	}
	return members, nil
}

func startAnnouncer(ctx context.Context, running *sync.WaitGroup, i int, opts ...peer.Option) error {
	e := node.Endpoint{
		Service:     spec.NewServiceID("order-desk"),
		Upstream:    "order-desk",
		Agent:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(20000+i)),
		Incarnation: node.Incarnation(1000 + i),
		Place:       placeOfMachine(i),
		Weight:      1,
		State:       node.Serving,
	}
	a, err := peer.NewAnnouncer(e.Incarnation, opts...)
	if err != nil {
		return err
	}
	running.Go(func() { a.Run(ctx) })
	a.Update(e)
	return nil
}

// processorTime returns the processor time that the process has used so far.
func processorTime() time.Duration {
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// newSharedCredentials returns credentials of one new key that both ends require.
func newSharedCredentials() (o peer.Option, err error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), cryptorand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	raw, err := x509.CreateCertificate(cryptorand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(raw)
	if err != nil {
		return nil, err
	}
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
	return peer.WithCredentials(credentials.NewTLS(config), credentials.NewTLS(config)), nil
}
