package path

import (
	"context"
	"errors"
	"math/rand/v2"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"github.com/clementinewing/clementinewing/internal/edge/batch"
	"github.com/clementinewing/clementinewing/internal/edge/wire"
	"github.com/clementinewing/clementinewing/internal/role/entry"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

const (
	megabyte = 1 << 20
	// offered is the rate of openings in a trial, above the bound so that the
	// bound is met only if hardly any is lost.
	offered    = newFlowsPerSecond * 11 / 10
	offeredFor = time.Second
	pacing     = 10 * time.Millisecond
	patience   = 30 * time.Second
)

var errSlow = errors.New("hints were not taken in time")

// hold gives a running balancer the owners of heldFlows flows, as side processes
// would, and then new flows at a steady rate. It gives the memory that the whole
// process holds by then, and how many new flows a second were sent on.
func hold(seed uint64) (megabytes, newFlows float64, err error) {
	random := rand.New(rand.NewPCG(seed, 0))
	agent, err := batch.Listen(loopback)
	if err != nil {
		return 0, 0, err
	}
	ring := testRing()
	e, err := entry.New(ring)
	if err != nil {
		return 0, 0, errors.Join(err, agent.Close())
	}
	snapshot := service(random, agent.Local())
	e.SetServices(snapshot)
	var w sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	w.Go(func() { sink(agent, ring) })
	w.Go(func() { ended <- e.Run(ctx) })
	err = hint(random, e, agent, wire.NewSealer(ring), snapshot.Services[0].Endpoints[0].Incarnation)
	if err == nil {
		newFlows = openings(random, e, agent)
		megabytes = held()
	}
	cancel()
	err = errors.Join(err, <-ended, agent.Close())
	w.Wait()
	return megabytes, newFlows, err
}

// hint sends hints as fast as they are taken.
func hint(random *rand.Rand, e *entry.Entry, from *batch.Socket, s *wire.Sealer, owner node.Incarnation) error {
	w := batch.NewWriter(from, socketBatch, wire.MaxBytes)
	packet := make([]byte, smallPacket)
	m := &wire.Message{
		Kind:     wire.Hint,
		Service:  1,
		Balancer: e.Tunnel(),
		Candidates: []wire.Candidate{
			{
				Incarnation: owner,
			},
		},
		Inner: packet,
	}
	end := time.Now().Add(patience)
	for sent := uint64(0); sent < heldFlows; {
		for !w.Full() {
			write(packet, flow(random), 1, flagAck)
			w.Add(e.Tunnel(), s.Seal(w.Slot(), m))
			sent++
		}
		_, _ = w.Flush()
		for c := e.Counts(); c.Of(entry.HintsKept) < sent; c = e.Counts() {
			if time.Now().After(end) {
				return errSlow
			}
			runtime.Gosched()
		}
	}
	return nil
}

// openings sends new flows at the offered rate and gives how many a second were
// sent on.
func openings(random *rand.Rand, e *entry.Entry, from *batch.Socket) float64 {
	w := batch.NewWriter(from, socketBatch, wire.MaxBytes)
	packet := make([]byte, headerBytes)
	ticker := time.NewTicker(pacing)
	defer ticker.Stop()
	before := e.Counts()
	start := time.Now()
	sent := 0
	for elapsed := time.Duration(0); elapsed < offeredFor; elapsed = time.Since(start) {
		for due := int(elapsed.Seconds() * offered); sent < due; sent++ {
			write(packet, flow(random), random.Uint32(), flagSyn)
			w.Add(e.Fabric(), append(w.Slot(), packet...))
			if w.Full() {
				_, _ = w.Flush()
			}
		}
		_, _ = w.Flush()
		<-ticker.C
	}
	elapsed := time.Since(start)
	after := e.Counts()
	return float64(after.Of(entry.Forwarded)-before.Of(entry.Forwarded)) / elapsed.Seconds()
}

// held is the memory that the process holds from the operating system.
func held() float64 {
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.Sys-m.HeapReleased) / megabyte
}
