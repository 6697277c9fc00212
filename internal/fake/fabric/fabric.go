// Package fabric simulates the fabric of the platform. It sends each packet of a
// caller to a random balancer (packet spraying) and returns answers to the caller by
// destination address. Packets are IPv4 in UDP datagrams.
package fabric

import (
	"context"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	maxPacketBytes    = 2048
	ipv4HeaderBytes   = 20
	sourceOffset      = 12
	targetOffset      = 16
	socketBufferBytes = 4 << 20
	maxReorderDelay   = 3 * time.Millisecond
)

// Fabric is one fake fabric.
type Fabric struct {
	listen         netip.AddrPort
	callers        *net.UDPConn
	answers        *net.UDPConn
	mutex          sync.Mutex
	random         *rand.Rand
	balancers      []netip.AddrPort
	callerSockets  sync.Map
	loss           float64
	duplicate      float64
	reorder        float64
	Sprayed        atomic.Uint64
	Lost           atomic.Uint64
	UnknownCallers atomic.Uint64
}

// Option sets one property of a Fabric.
type Option func(*Fabric)

// WithListen sets the address for packets of callers. Answers are received on the next
// port. The default is two free ports of 127.0.0.1.
func WithListen(address netip.AddrPort) Option {
	return func(f *Fabric) {
		f.listen = address
	}
}

// WithFaults sets the probabilities, from 0 to 1, that a packet is lost, duplicated or
// delayed.
func WithFaults(loss, duplicate, reorder float64) Option {
	return func(f *Fabric) {
		f.loss = loss
		f.duplicate = duplicate
		f.reorder = reorder
	}
}

// New opens the sockets of a fabric whose random choices come from the seed.
func New(seed uint64, options ...Option) (f *Fabric, err error) {
	defer func() { err = eris.Wrap(err, "opening the fabric") }()
	f = &Fabric{
		listen: netip.MustParseAddrPort("127.0.0.1:0"),
		random: rand.New(rand.NewPCG(seed, 0)),
	}
	for _, o := range options {
		o(f)
	}
	f.callers, err = openSocket(f.listen)
	if err != nil {
		return nil, err
	}
	answers := f.listen
	if answers.Port() != 0 {
		answers = netip.AddrPortFrom(answers.Addr(), answers.Port()+1)
	}
	f.answers, err = openSocket(answers)
	if err != nil {
		return nil, errors.Join(err, f.callers.Close())
	}
	return f, nil
}

func openSocket(address netip.AddrPort) (*net.UDPConn, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	err = errors.Join(c.SetReadBuffer(socketBufferBytes), c.SetWriteBuffer(socketBufferBytes))
	return c, err
}

// CallerAddress returns the address to which callers send their packets.
func (f *Fabric) CallerAddress() netip.AddrPort {
	return f.callers.LocalAddr().(*net.UDPAddr).AddrPort()
}

// AnswerAddress returns the address to which agents send answers.
func (f *Fabric) AnswerAddress() netip.AddrPort {
	return f.answers.LocalAddr().(*net.UDPAddr).AddrPort()
}

// SetBalancers replaces the balancers among which packets are distributed.
func (f *Fabric) SetBalancers(balancers ...netip.AddrPort) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.balancers = append([]netip.AddrPort(nil), balancers...)
}

// Run forwards packets until ctx ends, then closes the sockets.
func (f *Fabric) Run(ctx context.Context) {
	var w sync.WaitGroup
	w.Go(func() { f.forwardCallerPackets(ctx) })
	w.Go(f.forwardAnswers)
	<-ctx.Done()
	_ = f.callers.Close()
	_ = f.answers.Close()
	w.Wait()
}

func (f *Fabric) forwardCallerPackets(ctx context.Context) {
	b := make([]byte, maxPacketBytes)
	for {
		n, from, err := f.callers.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if n < ipv4HeaderBytes {
			continue
		}
		f.callerSockets.Store(binary.BigEndian.Uint32(b[sourceOffset:]), from)
		f.spray(ctx, b[:n])
	}
}

func (f *Fabric) spray(ctx context.Context, packet []byte) {
	for _, d := range f.drawDeliveries() {
		f.Sprayed.Add(1)
		if d.delay == 0 {
			_, _ = f.callers.WriteToUDPAddrPort(packet, d.balancer)
			continue
		}
		delayed := append([]byte(nil), packet...)
		time.AfterFunc(d.delay, func() {
			if ctx.Err() == nil {
				_, _ = f.callers.WriteToUDPAddrPort(delayed, d.balancer)
			}
		})
	}
}

type delivery struct {
	balancer netip.AddrPort
	delay    time.Duration
}

func (f *Fabric) drawDeliveries() []delivery {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.balancers) == 0 || f.random.Float64() < f.loss {
		f.Lost.Add(1)
		return nil
	}
	out := []delivery{f.drawDelivery()}
	if f.random.Float64() < f.duplicate {
		out = append(out, f.drawDelivery())
	}
	return out
}

func (f *Fabric) drawDelivery() delivery {
	d := delivery{
		balancer: f.balancers[f.random.IntN(len(f.balancers))],
	}
	if f.random.Float64() < f.reorder {
		d.delay = time.Duration(f.random.Int64N(int64(maxReorderDelay)))
	}
	return d
}

func (f *Fabric) forwardAnswers() {
	b := make([]byte, maxPacketBytes)
	for {
		n, err := f.answers.Read(b)
		if err != nil {
			return
		}
		if n < ipv4HeaderBytes {
			continue
		}
		caller, known := f.callerSockets.Load(binary.BigEndian.Uint32(b[targetOffset:]))
		if !known {
			f.UnknownCallers.Add(1)
			continue
		}
		_, _ = f.answers.WriteToUDPAddrPort(b[:n], caller.(netip.AddrPort))
	}
}
