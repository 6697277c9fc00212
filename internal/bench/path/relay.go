package path

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clementinewing/clementinewing/internal/edge/batch"
	"github.com/clementinewing/clementinewing/internal/edge/keys"
	"github.com/clementinewing/clementinewing/internal/edge/wire"
	"github.com/clementinewing/clementinewing/internal/role/entry"
)

const (
	socketBatch = 64
	trialFor    = 150 * time.Millisecond
	trials      = 3
	relayFlows  = 10_000
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func testRing() *keys.Ring {
	return keys.NewRing(&keys.Set{
		Masters: []keys.Master{
			{
				Key: keys.Key{1},
			},
		},
	})
}

// sink reads and forgets what comes to a socket until it closes.
func sink(s *batch.Socket) {
	r := batch.NewReader(s, socketBatch, wire.MaxBytes)
	for {
		if _, err := r.Read(); errors.Is(err, net.ErrClosed) {
			return
		}
	}
}

// relay sends on what comes to a socket, with the batches of a balancer and
// nothing else, until the socket closes.
func relay(s *batch.Socket, to netip.AddrPort, sent *atomic.Uint64) {
	out, err := batch.Listen(loopback)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	r := batch.NewReader(s, socketBatch, wire.MaxBytes)
	w := batch.NewWriter(out, socketBatch, wire.MaxBytes)
	for {
		n, err := r.Read()
		if err != nil {
			return
		}
		for i := range n {
			w.Add(to, append(w.Slot(), r.Datagram(i)...))
		}
		done, _ := w.Flush()
		sent.Add(uint64(done.Sent))
	}
}

// flood sends packets of many flows to an address for the length of a trial.
func flood(s *batch.Socket, to netip.AddrPort, packets [][]byte) {
	w := batch.NewWriter(s, socketBatch, wire.MaxBytes)
	next := 0
	for end := time.Now().Add(trialFor); time.Now().Before(end); {
		for !w.Full() {
			w.Add(to, append(w.Slot(), packets[next]...))
			next = (next + 1) % len(packets)
		}
		_, _ = w.Flush()
	}
}

// compare gives the packets a second of a balancer with one thread, as a share
// of those of a bare relay with one thread. The two take turns.
func compare(seed uint64, size int) (ratio float64, err error) {
	random := rand.New(rand.NewPCG(seed, 0))
	list := make([][]byte, relayFlows)
	for i := range list {
		list[i] = make([]byte, size)
		write(list[i], flow(random), 1, flagAck)
	}
	sockets, err := batch.ListenMany(loopback, 1)
	if err != nil {
		return 0, err
	}
	for range 2 {
		s, listenErr := batch.Listen(loopback)
		if listenErr != nil {
			return 0, errors.Join(listenErr, batch.CloseAll(sockets))
		}
		sockets = append(sockets, s)
	}
	source, bare, agent := sockets[0], sockets[1], sockets[2]
	e, err := entry.New(testRing(), entry.WithThreads(1))
	if err != nil {
		return 0, errors.Join(err, batch.CloseAll(sockets))
	}
	e.SetServices(service(random, agent.Local()))
	var w sync.WaitGroup
	var relayed atomic.Uint64
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	w.Go(func() { sink(agent) })
	w.Go(func() { relay(bare, agent.Local(), &relayed) })
	w.Go(func() { ended <- e.Run(ctx) })
	var passed uint64
	for range trials {
		flood(source, bare.Local(), list)
		flood(source, e.Fabric(), list)
	}
	cancel()
	err = errors.Join(<-ended, batch.CloseAll(sockets))
	w.Wait()
	c := e.Counts()
	passed = c.Of(entry.Forwarded)
	return float64(passed) / float64(relayed.Load()), err
}
