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
		Seal: seal,
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
		Seal: e,
		Masters: []keys.Master{
			{
				Epoch: e,
				Key:   keys.Key{byte(e)},
			},
		},
	}
}

func example() *wire.Message {
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
			datagram := wire.NewSealer(ring, wire.WithSender(testSender)).Seal(nil, example())
			Expect(datagram).To(HaveLen(104))
			err := wire.NewOpener(ring).Open(change(datagram, fields[2:]), &wire.Message{})
			if fields[1] == "ok" {
				Expect(err).NotTo(HaveOccurred())
				return
			}
			Expect(wire.FaultOf(err).String()).To(Equal(fields[1]))
		})
	}

	It("gives back every field and points into the datagram", func() {
		ring := keys.NewRing(oneEpoch(1))
		datagram := wire.NewSealer(ring).Seal([]byte("kept"), example())
		Expect(string(datagram[:4])).To(Equal("kept"))
		var got wire.Message
		Expect(wire.NewOpener(ring).Open(datagram[4:], &got)).To(Succeed())
		Expect(got).To(Equal(*example()))
		datagram[4+wire.HeaderBytes+2*wire.CandidateBytes] = 'T'
		Expect(string(got.Inner)).To(HavePrefix("Twenty"))
	})

	It("refuses a replay at whichever Opener it arrives", func() {
		ring := keys.NewRing(oneEpoch(1))
		datagram := wire.NewSealer(ring).Seal(nil, example())
		senders := wire.NewSenders(0)
		var m wire.Message
		Expect(wire.NewOpener(ring, wire.WithSenders(senders)).Open(datagram, &m)).To(Succeed())
		Expect(wire.NewOpener(ring, wire.WithSenders(senders)).Open(datagram, &m)).To(MatchError(wire.ErrReplayed))
	})

	It("takes a datagram once that arrives at several Openers at the same time", func() {
		ring := keys.NewRing(oneEpoch(1))
		sealer := wire.NewSealer(ring)
		var sealed [][]byte
		for range 1000 {
			sealed = append(sealed, sealer.Seal(nil, example()))
		}
		senders := wire.NewSenders(0)
		var taken atomic.Int64
		var w sync.WaitGroup
		for range 4 {
			w.Go(func() {
				opener := wire.NewOpener(ring, wire.WithSenders(senders))
				var m wire.Message
				for _, datagram := range sealed {
					if opener.Open(datagram, &m) == nil {
						taken.Add(1)
					}
				}
			})
		}
		w.Wait()
		Expect(taken.Load()).To(Equal(int64(len(sealed))))
	})

	It("refuses no datagram while keys are rotated", func() {
		sealing := keys.NewRing(oneEpoch(1))
		opening := keys.NewRing(oneEpoch(1))
		sealer := wire.NewSealer(sealing)
		opener := wire.NewOpener(opening)
		var m wire.Message
		pass := func() {
			late := sealer.Seal(nil, example())
			Expect(opener.Open(sealer.Seal(nil, example()), &m)).To(Succeed())
			Expect(opener.Open(late, &m)).To(Succeed())
			Expect(opener.Open(late, &m)).To(MatchError(wire.ErrReplayed))
		}
		pass()
		opening.Swap(twoEpochs(1))
		pass()
		before := sealer.Seal(nil, example())
		sealing.Swap(twoEpochs(2))
		pass()
		Expect(opener.Open(before, &m)).To(Succeed())
		opening.Swap(oneEpoch(2))
		pass()
		Expect(opener.Open(before, &m)).To(MatchError(wire.ErrEpoch))
	})

	It("checks the tag of an evicted sender again", func() {
		ring := keys.NewRing(oneEpoch(1))
		opener := wire.NewOpener(ring, wire.WithSenders(wire.NewSenders(1)))
		var m wire.Message
		for sender := range uint64(200) {
			sealer := wire.NewSealer(ring, wire.WithSender(sender))
			Expect(opener.Open(sealer.Seal(nil, example()), &m)).To(Succeed())
		}
		forged := wire.NewSealer(keys.NewRing(&keys.Set{
			Masters: []keys.Master{
				{
					Epoch: 0,
					Key:   keys.Key{9},
				},
			},
		}), wire.WithSender(0)).Seal(nil, example())
		forged[2] = 1
		Expect(opener.Open(forged, &m)).To(MatchError(wire.ErrTag))
	})

	It("allocates nothing once the sender is known", func() {
		ring := keys.NewRing(oneEpoch(1))
		sealer := wire.NewSealer(ring)
		opener := wire.NewOpener(ring)
		var m wire.Message
		var buffer [wire.MaxBytes]byte
		in := example()
		Expect(opener.Open(sealer.Seal(buffer[:0], in), &m)).To(Succeed())
		allocations := testing.AllocsPerRun(1000, func() {
			if opener.Open(sealer.Seal(buffer[:0], in), &m) != nil {
				panic("not opened")
			}
		})
		Expect(allocations).To(BeZero())
	})
})

var _ = Describe("Seal", func() {
	DescribeTable("appends nothing past the limits", func(spoil func(*wire.Message)) {
		m := example()
		spoil(m)
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

// The naive window remembers every sequence.
var _ = Describe("the replay window", func() {
	It("agrees with a set of all sequences within its reach", func() {
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
					t.Fatalf("sequence %d of highest %d, seen %v: %v", i, highest, seen[i], err)
				}
				seen[i] = seen[i] || want
				highest = max(highest, i)
			}
		})
	})
})

func change(b []byte, words []string) []byte {
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
