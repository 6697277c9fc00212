package spread_test

import (
	"math/rand/v2"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/clementinewing/clementinewing/internal/fake/clock"
	"github.com/clementinewing/clementinewing/internal/fake/lossy"
	"github.com/clementinewing/clementinewing/internal/fleet/lease"
	"github.com/clementinewing/clementinewing/internal/fleet/spread"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

var start = time.Unix(1_000_000, 0).UTC()

// anyRecord draws versions of few records, so that they meet often.
func anyRecord(t *rapid.T) lease.Record {
	r := lease.Record{
		Endpoint: node.Endpoint{
			Service:     1,
			Incarnation: node.Incarnation(rapid.Uint64Range(1, 40).Draw(t, "incarnation")),
			Agent:       netip.MustParseAddrPort("10.0.0.1:1"),
			Weight:      rapid.Uint32Range(1, 2).Draw(t, "weight"),
			State:       node.State(rapid.IntRange(int(node.Joining), int(node.Gone)).Draw(t, "state")),
			Sequence:    rapid.Uint64Range(1, 3).Draw(t, "sequence"),
		},
		Health: lease.Health(rapid.IntRange(int(lease.Live), int(lease.Absent)).Draw(t, "health")),
		Round:  rapid.Uint32Range(0, 2).Draw(t, "round"),
	}
	if r.Tombstone() {
		r.Expires = start.Add(time.Duration(rapid.IntRange(1, 3).Draw(t, "expires")) * time.Hour)
	}
	return r
}

func fill(records []lease.Record) *spread.Table {
	table := spread.NewTable()
	for _, r := range records {
		table.Merge(start, r)
	}
	return table
}

func contents(table *spread.Table) map[lease.Key]lease.Version {
	out := map[lease.Key]lease.Version{}
	for i := range 40 {
		key := lease.Key{
			Service:     1,
			Incarnation: node.Incarnation(i + 1),
		}
		if r, ok := table.Lookup(key); ok {
			out[key] = r.Version()
		}
	}
	return out
}

var _ = Describe("the table", func() {
	It("ends the same whatever the order and however often versions arrive", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			records := rapid.SliceOf(rapid.Custom(anyRecord)).Draw(t, "records")
			again := rapid.Permutation(append(records, records...)).Draw(t, "again")
			a, b := fill(records), fill(again)
			if a.Root() != b.Root() || a.Len() != b.Len() {
				t.Fatalf("%d records with root %x, or %d with root %x", a.Len(), a.Root(), b.Len(), b.Root())
			}
		})
	})

	It("is in step after one comparison, as after sending every record", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			left := rapid.SliceOf(rapid.Custom(anyRecord)).Draw(t, "left")
			right := rapid.SliceOf(rapid.Custom(anyRecord)).Draw(t, "right")
			naive := fill(append(left, right...))
			a, b := fill(left), fill(right)
			message := a.Opening()
			for range 20 {
				message, _ = b.Respond(start, message)
				message, _ = a.Respond(start, message)
			}
			if !message.Empty() {
				t.Fatalf("the comparison does not end: %+v", message)
			}
			if a.Root() != naive.Root() || b.Root() != naive.Root() {
				t.Fatalf("left %v\nright %v\nnaive %v", contents(a), contents(b), contents(naive))
			}
		})
	})

	It("has the root of an empty table once every tombstone has expired", func() {
		table := fill([]lease.Record{
			{
				Endpoint: node.Endpoint{
					Service:     1,
					Incarnation: 1,
					State:       node.Gone,
				},
				Health:  lease.Live,
				Expires: start.Add(time.Hour),
			},
		})
		table.Forget(start.Add(time.Hour))
		Expect(table.Root()).To(BeZero())
		Expect(table.Len()).To(BeZero())
	})

	It("compares tables of thousands of records that differ in a few", func() {
		random := rand.New(rand.NewPCG(7, 7))
		a, b := spread.NewTable(), spread.NewTable()
		for i := range 5000 {
			r := lease.Record{
				Endpoint: node.Endpoint{
					Service:     2,
					Incarnation: node.Incarnation(random.Uint64()),
					State:       node.Serving,
				},
				Health: lease.Live,
			}
			if i != 17 {
				a.Merge(start, r)
			}
			if i != 4711 {
				b.Merge(start, r)
			}
		}
		message, carried := a.Opening(), 0
		for range 6 {
			message, _ = b.Respond(start, message)
			carried += len(message.Records)
			message, _ = a.Respond(start, message)
			carried += len(message.Records)
		}
		Expect(a.Root()).To(Equal(b.Root()))
		Expect(carried).To(Equal(2))
	})
})

// naive is a balancer that gets every version at once from one global view.
type naive map[lease.Key]lease.Record

func (n naive) broadcast(r lease.Record) {
	if old, ok := n[r.Key()]; ok {
		r = lease.Merge(old, r)
	}
	n[r.Key()] = r
}

var _ = Describe("the spread", func() {
	It("ends where a naive full broadcast ends, with loss, doubles and cuts", func() {
		for seed := range uint64(20) {
			differ(seed + 1)
		}
	})
})

// differ plays one random history on both.
func differ(seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	c := clock.New()
	n := newMesh(c, random, lossy.New(c, seed,
		lossy.WithDelay(time.Millisecond, 50*time.Millisecond),
		lossy.WithLoss(0.2, 0.1),
	))
	all := naive{}
	for _, m := range n.members {
		all.broadcast(m.self)
	}
	for range 60 {
		c.Run(c.Now().Add(time.Duration(random.IntN(500)) * time.Millisecond))
		a, b := random.IntN(len(n.members)), random.IntN(len(n.members))
		n.net.Cut(lossy.Way{
			From: n.members[a].name,
			To:   n.members[b].name,
		}, random.IntN(2) == 0)
		r := change(random)
		all.broadcast(r)
		n.members[a].publish(r)
	}
	for _, a := range n.members {
		for _, b := range n.members {
			n.net.Cut(lossy.Way{
				From: a.name,
				To:   b.name,
			}, false)
		}
	}
	c.Run(c.Now().Add(time.Minute))
	for _, m := range n.members {
		for key, want := range all {
			got, ok := m.table.Lookup(key)
			Expect(ok).To(BeTrue(), "seed %d", seed)
			Expect(got.Version()).To(Equal(want.Version()), "seed %d", seed)
		}
		Expect(m.table.Len()).To(Equal(len(all)), "seed %d", seed)
	}
}

func change(random *rand.Rand) lease.Record {
	r := lease.Record{
		Endpoint: node.Endpoint{
			Service:     1,
			Incarnation: node.Incarnation(1 + random.IntN(10)),
			State:       node.Serving,
			Sequence:    uint64(random.IntN(50)),
		},
		Health: lease.Health(1 + random.IntN(2)),
	}
	if random.IntN(20) == 0 {
		r = r.Leave(time.Unix(0, 0).Add(lease.TombstoneLife))
	}
	return r
}
