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
	// offeredFlowsPerSecond is the rate of new flows in a trial. It is 10 % above
	// the bound, so that the bound is met only if few of them are lost.
	offeredFlowsPerSecond = newFlowsPerSecond * 11 / 10
	offeredDuration       = time.Second
	sendInterval          = 10 * time.Millisecond
	hintTimeout           = 30 * time.Second
)

var errHintsNotTaken = errors.New("hints not processed in time")

// measureCapacity sends a running balancer the owners of hintedFlows flows, as
// agents do, and then new flows at a steady rate. It returns the memory of the whole
// process afterwards and the number of new flows per second that were forwarded.
func measureCapacity(seed uint64) (megabytes, newFlows float64, err error) {
	random := rand.New(rand.NewPCG(seed, 0))
	agent, err := batch.Listen(loopback)
	if err != nil {
		return 0, 0, err
	}
	ring := newTestRing()
	e, err := entry.New(ring)
	if err != nil {
		return 0, 0, errors.Join(err, agent.Close())
	}
	snapshot := newSnapshot(random, agent.Local())
	e.SetServices(snapshot)
	var w sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	w.Go(func() { answerProbes(agent, ring) })
	w.Go(func() { ended <- e.Run(ctx) })
	err = sendHints(random, e, agent, wire.NewSealer(ring), snapshot.Services[0].Endpoints[0].Incarnation)
	if err == nil {
		newFlows = sendOpenings(random, e, agent)
		megabytes = processMegabytes()
	}
	cancel()
	err = errors.Join(err, <-ended, agent.Close())
	w.Wait()
	return megabytes, newFlows, err
}

// sendHints sends hints as fast as the balancer processes them.
func sendHints(random *rand.Rand, e *entry.PacketPath, from *batch.Socket, s *wire.Sealer, owner node.Incarnation) error {
	w := batch.NewWriter(from, socketBatch, wire.MaxBytes)
	packet := make([]byte, smallPacket)
	m := &wire.Message{
		Kind:     wire.Hint,
		Service:  1,
		Balancer: e.TunnelAddress(),
		Candidates: []wire.Candidate{
			{
				Incarnation: owner,
			},
		},
		Inner: packet,
	}
	end := time.Now().Add(hintTimeout)
	for sent := uint64(0); sent < hintedFlows; {
		for !w.Full() {
			writePacket(packet, randomKey(random), 1, flagAck)
			w.Add(e.TunnelAddress(), s.Seal(w.NextBuffer(), m))
			sent++
		}
		_, _ = w.Flush()
		for c := e.Counts(); c.Of(entry.HintsKept) < sent; c = e.Counts() {
			if time.Now().After(end) {
				return errHintsNotTaken
			}
			runtime.Gosched()
		}
	}
	return nil
}

// sendOpenings sends new flows at the offered rate and returns how many per second
// were forwarded.
func sendOpenings(random *rand.Rand, e *entry.PacketPath, from *batch.Socket) float64 {
	w := batch.NewWriter(from, socketBatch, wire.MaxBytes)
	packet := make([]byte, headerBytes)
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	before := e.Counts()
	start := time.Now()
	sent := 0
	for elapsed := time.Duration(0); elapsed < offeredDuration; elapsed = time.Since(start) {
		for due := int(elapsed.Seconds() * offeredFlowsPerSecond); sent < due; sent++ {
			writePacket(packet, randomKey(random), random.Uint32(), flagSyn)
			w.Add(e.FabricAddress(), append(w.NextBuffer(), packet...))
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

// processMegabytes returns the memory that the process has obtained from the
// operating system and not returned.
func processMegabytes() float64 {
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.Sys-m.HeapReleased) / megabyte
}
