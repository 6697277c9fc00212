package steer_test

import (
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/clementinewing/clementinewing/internal/flow/rank"
	"github.com/clementinewing/clementinewing/internal/flow/steer"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

var states = map[string]node.State{
	"joining":  node.Joining,
	"serving":  node.Serving,
	"draining": node.Draining,
	"gone":     node.Gone,
}

var kinds = map[string]link.Kind{
	"opening":    link.Opening,
	"continuing": link.Continuing,
	"closing":    link.Closing,
}

// fixture is one flow and the steerer that decides on its packets.
type fixture struct {
	steerer   *steer.Steerer
	endpoints []node.Endpoint
	silent    []netip.AddrPort
	key       link.Key
	now       time.Time
	decision  steer.Decision
}

func newFixture(count int) *fixture {
	b := &fixture{
		steerer:   steer.New(steer.WithMaxOwners(1000), steer.WithMaxOpenings(1000)),
		endpoints: make([]node.Endpoint, count),
		key: link.Key{
			Caller:     0xc0000201,
			CallerPort: 40000,
			Target:     0x0a000001,
			TargetPort: 80,
			Protocol:   uint8(spec.TCP),
		},
	}
	random := rand.New(rand.NewPCG(uint64(count), 0))
	for i := range b.endpoints {
		b.endpoints[i].Incarnation = node.Incarnation(random.Uint64())
		b.endpoints[i].Weight = 1
		b.endpoints[i].Agent = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, 1}), uint16(i+1))
	}
	ranked := make([]node.Endpoint, 0, count)
	for _, i := range rank.List(b.key.Hash(), b.endpoints, nil) {
		ranked = append(ranked, b.endpoints[i])
	}
	b.endpoints = ranked
	return b
}

func (b *fixture) setStates(words []string) {
	for _, w := range words {
		name, state, _ := strings.Cut(w, "=")
		b.endpoints[name[0]-'a'].State = states[state]
	}
	service := steer.Service{
		ID:        1,
		Address:   netip.MustParseAddrPort("10.0.0.1:80"),
		Protocol:  spec.TCP,
		Endpoints: slices.Clone(b.endpoints),
	}
	udpService := service
	udpService.Protocol = spec.UDP
	slices.Reverse(service.Endpoints)
	b.steerer.SetServices(steer.Snapshot{
		Services:     []steer.Service{service, udpService},
		SilentAgents: b.silent,
	})
}

func (b *fixture) decide(protocol spec.Protocol, kind link.Kind, sequence uint32) error {
	key := b.key
	key.Protocol = uint8(protocol)
	batch := []steer.Arrival{
		{
			Packet: link.Packet{
				Key:      key,
				Kind:     kind,
				Sequence: sequence,
			},
		},
	}
	b.steerer.Prepare(batch)
	return b.steerer.Decide(b.now, &batch[0], &b.decision)
}

func (b *fixture) order() string {
	var order strings.Builder
	for _, i := range b.decision.Order {
		at := slices.IndexFunc(b.endpoints, func(e node.Endpoint) bool {
			return e.Incarnation == b.decision.Endpoints[i].Incarnation
		})
		order.WriteByte(byte('a' + at))
	}
	return order.String()
}

func (b *fixture) step(words []string) {
	at, err := strconv.Atoi(words[0])
	Expect(err).NotTo(HaveOccurred())
	b.now = time.UnixMilli(int64(at) + 1_000_000_000)
	switch words[1] {
	case "packet":
		sequence, err := strconv.Atoi(words[3])
		Expect(err).NotTo(HaveOccurred())
		Expect(b.decide(spec.TCP, kinds[words[2]], uint32(sequence))).To(Succeed())
		Expect(b.order()).To(Equal(words[4]), strings.Join(words, " "))
	case "datagram":
		Expect(b.decide(spec.UDP, link.Opening, 0)).To(Succeed())
		Expect(b.order()).To(HaveLen(len(words[2])))
		first := b.order()
		Expect(b.decide(spec.UDP, link.Opening, 0)).To(Succeed())
		Expect(b.order()).To(Equal(first))
	case "hint":
		Expect(b.steerer.Hint(b.now, b.key, b.endpoints[words[2][0]-'a'].Incarnation)).To(Succeed())
	case "silent":
		b.silent = nil
		for _, name := range strings.TrimSuffix(words[2], "none") {
			b.silent = append(b.silent, b.endpoints[name-'a'].Agent)
		}
		b.setStates(nil)
	case "states":
		b.setStates(words[2:])
	case "nothing":
		err := b.decide(spec.TCP, link.Opening, 1)
		Expect(err).To(HaveOccurred())
		Expect(strings.ReplaceAll(err.Error(), " ", "_")).To(Equal(words[2]))
	default:
		Fail("unknown event " + words[1])
	}
}

var _ = Describe("Decide", func() {
	script, err := os.ReadFile("testdata/decisions.txt")
	if err != nil {
		panic(err)
	}
	for _, part := range strings.Split(string(script), "\nscenario ")[1:] {
		lines := strings.Split(strings.TrimSpace(part), "\n")
		head := strings.Fields(lines[0])
		It(head[0], func() {
			b := newFixture(len(head) - 1)
			b.setStates(head[1:])
			for _, line := range lines[1:] {
				b.step(strings.Fields(line))
			}
		})
	}

	It("fails if no service has the target address", func() {
		b := newFixture(1)
		Expect(b.decide(spec.TCP, link.Opening, 1)).To(MatchError(steer.ErrNoService))
		Expect(b.steerer.Hint(b.now, b.key, 1)).To(MatchError(steer.ErrNoService))
	})

	It("rejects a hint that names an endpoint that the service does not have", func() {
		b := newFixture(1)
		b.setStates([]string{"a=serving"})
		Expect(b.steerer.Hint(b.now, b.key, b.endpoints[0].Incarnation+1)).To(MatchError(steer.ErrNoOwner))
	})

	It("keeps draining endpoints in the candidate list of an opening if there are many endpoints", func() {
		b := newFixture(rank.MaxCandidates)
		words := []string{"a=draining", "b=draining", "c=draining", "d=draining", "e=draining"}
		for name := 'f'; name < 'a'+rank.MaxCandidates; name++ {
			words = append(words, string(name)+"=serving")
		}
		b.setStates(words)
		Expect(b.decide(spec.TCP, link.Opening, 1)).To(Succeed())
		Expect(b.order()).To(Equal("fghijklmnopabcde"))
	})

	It("allocates nothing", func() {
		b := newFixture(7)
		b.setStates([]string{"a=serving", "b=serving", "c=serving", "d=draining", "e=serving", "f=serving", "g=joining"})
		Expect(b.steerer.Hint(b.now, b.key, b.endpoints[4].Incarnation)).To(Succeed())
		batch := make([]steer.Arrival, 2)
		batch[0].Packet.Key = b.key
		batch[0].Packet.Kind = link.Continuing
		batch[1].Packet.Key = b.key
		batch[1].Packet.Kind = link.Opening
		Expect(testing.AllocsPerRun(100, func() {
			b.steerer.Prepare(batch)
			for i := range batch {
				if b.steerer.Decide(b.now, &batch[i], &b.decision) != nil {
					panic("Decide failed")
				}
			}
		})).To(BeZero())
	})
})

// The reference model is a map of all hints. The table of owners may forget a hint but
// must not return an owner other than the one in the last hint.
var _ = Describe("owners", func() {
	It("agree with a map of all hints", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			b := newFixture(5)
			b.now = time.Unix(1000, 0)
			b.setStates([]string{"a=serving", "b=serving", "c=serving", "d=serving", "e=serving"})
			hints := map[uint16]node.Incarnation{}
			for range 200 {
				b.key.CallerPort = uint16(rapid.IntRange(1, 3000).Draw(t, "port"))
				if rapid.Bool().Draw(t, "hint") {
					owner := b.endpoints[rapid.IntRange(0, 4).Draw(t, "owner")].Incarnation
					hints[b.key.CallerPort] = owner
					if err := b.steerer.Hint(b.now, b.key, owner); err != nil {
						t.Fatal(err)
					}
				}
				if err := b.decide(spec.TCP, link.Continuing, 0); err != nil {
					t.Fatal(err)
				}
				owner, found := hints[b.key.CallerPort]
				first := b.decision.Endpoints[b.decision.Order[0]].Incarnation
				if b.decision.Hinted != found || found && first != owner {
					t.Fatalf("first is %x, want %x (%v)", first, owner, found)
				}
			}
		})
	})

	It("stay bounded and keep most hints up to the configured number", func() {
		b := newFixture(2)
		b.now = time.Unix(1000, 0)
		b.setStates([]string{"a=serving", "b=serving"})
		random := rand.New(rand.NewPCG(1, 0))
		var callers []uint32
		for range 1000 {
			callers = append(callers, random.Uint32())
			b.key.Caller = callers[len(callers)-1]
			Expect(b.steerer.Hint(b.now, b.key, b.endpoints[0].Incarnation)).To(Succeed())
		}
		kept := 0
		for _, caller := range callers {
			b.key.Caller = caller
			Expect(b.decide(spec.TCP, link.Continuing, 0)).To(Succeed())
			if b.decision.Hinted {
				kept++
			}
		}
		Expect(kept).To(BeNumerically(">=", 950))
	})
})
