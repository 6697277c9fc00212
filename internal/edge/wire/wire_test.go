package wire_test

import (
	"encoding/hex"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/clementinewing/clementinewing/internal/edge/keys"
	"github.com/clementinewing/clementinewing/internal/edge/wire"
)

const testSender = 0x0123456789abcdef

func twoEpochs(seal keys.Epoch) *keys.Set {
	return &keys.Set{
		SealEpoch: seal,
		Masters: []keys.Master{
			{
				Epoch: 1,
				Key:   keys.Key{1},
			},
			{
				Epoch: 2,
				Key:   keys.Key{2},
			},
		},
	}
}

func oneEpoch(e keys.Epoch) *keys.Set {
	return &keys.Set{
		SealEpoch: e,
		Masters: []keys.Master{
			{
				Epoch: e,
				Key:   keys.Key{byte(e)},
			},
		},
	}
}

func exampleMessage() *wire.Message {
	return &wire.Message{
		Kind:     wire.Packet,
		Service:  7,
		Position: 1,
		Round:    2,
		Denied:   1,
		Balancer: netip.MustParseAddrPort("10.0.0.1:4000"),
		Candidates: []wire.Candidate{
			{
				Agent:       netip.MustParseAddrPort("10.0.0.2:4001"),
				Incarnation: 0xa1,
			},
			{
				Agent:       netip.MustParseAddrPort("10.0.0.3:4001"),
				Incarnation: 0xa2,
			},
		},
		Inner: []byte("twenty bytes of data"),
	}
}

var _ = Describe("Open", func() {
	script, err := os.ReadFile("testdata/faults.txt")
	if err != nil {
		panic(err)
	}
	for line := range strings.Lines(string(script)) {
		fields := strings.Fields(line)
		if strings.HasPrefix(line, "#") {
			continue
		}
		It(fields[0], func() {
			ring := keys.NewRing(twoEpochs(1))
			datagram := wire.NewSealer(ring, wire.WithSender(testSender)).Seal(nil, exampleMessage())
			Expect(datagram).To(HaveLen(104))
			err := wire.NewOpener(ring).Open(mutate(datagram, fields[2:]), &wire.Message{})
			if fields[1] == "ok" {
				Expect(err).NotTo(HaveOccurred())
				return
			}
			Expect(wire.FaultOf(err).String()).To(Equal(fields[1]))
		})
	}

	It("returns every field and points into the datagram", func() {
		ring := keys.NewRing(oneEpoch(1))
		datagram := wire.NewSealer(ring).Seal([]byte("kept"), exampleMessage())
		Expect(string(datagram[:4])).To(Equal("kept"))
		var got wire.Message
		Expect(wire.NewOpener(ring).Open(datagram[4:], &got)).To(Succeed())
		Expect(got).To(Equal(*exampleMessage()))
		datagram[4+wire.HeaderBytes+2*wire.CandidateBytes] = 'T'
		Expect(string(got.Inner)).To(HavePrefix("Twenty"))
	})

	It("rejects a replay that arrives at another Opener", func() {
		ring := keys.NewRing(oneEpoch(1))
		datagram := wire.NewSealer(ring).Seal(nil, exampleMessage())
		senders := wire.NewSenders(0)
		var m wire.Message
		Expect(wire.NewOpener(ring, wire.WithSenders(senders)).Open(datagram, &m)).To(Succeed())
		Expect(wire.NewOpener(ring, wire.WithSenders(senders)).Open(datagram, &m)).To(MatchError(wire.ErrReplayed))
	})

	It("accepts a datagram once if it arrives at several Openers at the same time", func() {
		ring := keys.NewRing(oneEpoch(1))
		sealer := wire.NewSealer(ring)
		var sealed [][]byte
		for range 1000 {
			sealed = append(sealed, sealer.Seal(nil, exampleMessage()))
		}
		senders := wire.NewSenders(0)
		var accepted atomic.Int64
		var w sync.WaitGroup
		for range 4 {
			w.Go(func() {
				opener := wire.NewOpener(ring, wire.WithSenders(senders))
				var m wire.Message
				for _, datagram := range sealed {
					if opener.Open(datagram, &m) == nil {
						accepted.Add(1)
					}
				}
			})
		}
		w.Wait()
		Expect(accepted.Load()).To(Equal(int64(len(sealed))))
	})

	It("rejects no datagram while keys are rotated", func() {
		sealerRing := keys.NewRing(oneEpoch(1))
		openerRing := keys.NewRing(oneEpoch(1))
		sealer := wire.NewSealer(sealerRing)
		opener := wire.NewOpener(openerRing)
		var m wire.Message
		expectOpened := func() {
			delayed := sealer.Seal(nil, exampleMessage())
			Expect(opener.Open(sealer.Seal(nil, exampleMessage()), &m)).To(Succeed())
			Expect(opener.Open(delayed, &m)).To(Succeed())
			Expect(opener.Open(delayed, &m)).To(MatchError(wire.ErrReplayed))
		}
		expectOpened()
		openerRing.Swap(twoEpochs(1))
		expectOpened()
		before := sealer.Seal(nil, exampleMessage())
		sealerRing.Swap(twoEpochs(2))
		expectOpened()
		Expect(opener.Open(before, &m)).To(Succeed())
		openerRing.Swap(oneEpoch(2))
		expectOpened()
		Expect(opener.Open(before, &m)).To(MatchError(wire.ErrEpoch))
	})

	It("verifies the tag of a sender that was evicted", func() {
		ring := keys.NewRing(oneEpoch(1))
		opener := wire.NewOpener(ring, wire.WithSenders(wire.NewSenders(1)))
		var m wire.Message
		for sender := range uint64(200) {
			sealer := wire.NewSealer(ring, wire.WithSender(sender))
			Expect(opener.Open(sealer.Seal(nil, exampleMessage()), &m)).To(Succeed())
		}
		forged := wire.NewSealer(keys.NewRing(&keys.Set{
			Masters: []keys.Master{
				{
					Epoch: 0,
					Key:   keys.Key{9},
				},
			},
		}), wire.WithSender(0)).Seal(nil, exampleMessage())
		forged[2] = 1
		Expect(opener.Open(forged, &m)).To(MatchError(wire.ErrTag))
	})

	It("allocates nothing once the sender is known", func() {
		ring := keys.NewRing(oneEpoch(1))
		sealer := wire.NewSealer(ring)
		opener := wire.NewOpener(ring)
		var m wire.Message
		var buffer [wire.MaxBytes]byte
		in := exampleMessage()
		Expect(opener.Open(sealer.Seal(buffer[:0], in), &m)).To(Succeed())
		allocations := testing.AllocsPerRun(1000, func() {
			if opener.Open(sealer.Seal(buffer[:0], in), &m) != nil {
				panic("datagram was not opened")
			}
		})
		Expect(allocations).To(BeZero())
	})
})

var _ = Describe("Seal", func() {
	DescribeTable("appends nothing beyond the limits", func(invalidate func(*wire.Message)) {
		m := exampleMessage()
		invalidate(m)
		Expect(wire.NewSealer(keys.NewRing(oneEpoch(1))).Seal(nil, m)).To(BeEmpty())
	},
		Entry("kind", func(m *wire.Message) { m.Kind = 0 }),
		Entry("position", func(m *wire.Message) { m.Position = 2 }),
		Entry("denied", func(m *wire.Message) { m.Denied = 4 }),
		Entry("candidates", func(m *wire.Message) { m.Candidates = make([]wire.Candidate, wire.MaxCandidates+1) }),
		Entry("packet", func(m *wire.Message) { m.Inner = make([]byte, wire.MaxInner(2)+1) }),
		Entry("address", func(m *wire.Message) { m.Balancer = netip.MustParseAddrPort("[::1]:1") }),
		Entry("candidate address", func(m *wire.Message) { m.Candidates[0].Agent = netip.MustParseAddrPort("[::1]:1") }),
	)
})

// The reference is a set that keeps every sequence number.
var _ = Describe("the replay window", func() {
	It("agrees with a set of all sequence numbers within its size", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			ring := keys.NewRing(oneEpoch(1))
			sealer := wire.NewSealer(ring)
			opener := wire.NewOpener(ring)
			count := rapid.IntRange(1, 5000).Draw(t, "count")
			var sealed [][]byte
			for range count {
				sealed = append(sealed, sealer.Seal(nil, &wire.Message{
					Kind: wire.Probe,
				}))
			}
			seen := map[int]bool{}
			highest := -1
			var m wire.Message
			for range 60 {
				i := rapid.IntRange(0, count-1).Draw(t, "i")
				err := opener.Open(sealed[i], &m)
				want := !seen[i] && highest-i < 63*64
				if (err == nil) != want {
					t.Fatalf("sequence number %d, highest %d, seen %v: %v", i, highest, seen[i], err)
				}
				seen[i] = seen[i] || want
				highest = max(highest, i)
			}
		})
	})
})

func mutate(b []byte, words []string) []byte {
	if words[0] == "none" {
		return b
	}
	n, err := strconv.Atoi(words[1])
	Expect(err).NotTo(HaveOccurred())
	switch words[0] {
	case "cut":
		return b[:len(b)-n]
	case "add":
		return append(b, make([]byte, n)...)
	default:
		raw, err := hex.DecodeString(words[2])
		Expect(err).NotTo(HaveOccurred())
		copy(b[n:], raw)
		return b
	}
}
