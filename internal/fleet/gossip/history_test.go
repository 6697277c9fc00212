package gossip_test

import (
	"math/rand/v2"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/clementinewing/clementinewing/internal/fake/clock"
	"github.com/clementinewing/clementinewing/internal/fake/lossy"
	"github.com/clementinewing/clementinewing/internal/fleet/gossip"
	"github.com/clementinewing/clementinewing/internal/fleet/lease"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

var start = time.Unix(1_000_000, 0).UTC()

// anyRecord draws versions of only 40 records, so that versions of the same record
// often conflict.
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

// newTable returns a table into which the records were merged.
func newTable(records []lease.Record) *gossip.Table {
	table := gossip.NewTable()
	for _, r := range records {
		table.Merge(start, r)
	}
	return table
}

// versions returns the versions that the table holds of the records of anyRecord.
func versions(table *gossip.Table) map[lease.Key]lease.Version {
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
	It("reaches the same state in any order of versions and with duplicates", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			records := rapid.SliceOf(rapid.Custom(anyRecord)).Draw(t, "records")
			again := rapid.Permutation(append(records, records...)).Draw(t, "again")
			a, b := newTable(records), newTable(again)
			if a.Root() != b.Root() || a.Len() != b.Len() {
				t.Fatalf("%d records with root %x, or %d with root %x", a.Len(), a.Root(), b.Len(), b.Root())
			}
		})
	})

	It("reconciles two tables to the state reached by sending every record", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			left := rapid.SliceOf(rapid.Custom(anyRecord)).Draw(t, "left")
			right := rapid.SliceOf(rapid.Custom(anyRecord)).Draw(t, "right")
			naive := newTable(append(left, right...))
			a, b := newTable(left), newTable(right)
			message := a.StartReconciliation()
			for range 20 {
				message, _ = b.Respond(start, message)
				message, _ = a.Respond(start, message)
			}
			if !message.Empty() {
				t.Fatalf("the reconciliation does not end: %+v", message)
			}
			if a.Root() != naive.Root() || b.Root() != naive.Root() {
				t.Fatalf("left %v\nright %v\nnaive %v", versions(a), versions(b), versions(naive))
			}
		})
	})

	It("has the root hash of an empty table after every tombstone has expired", func() {
		table := newTable([]lease.Record{
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
		table.RemoveExpired(start.Add(time.Hour))
		Expect(table.Root()).To(BeZero())
		Expect(table.Len()).To(BeZero())
	})

	It("transfers only the two differing records of tables with 5000 records", func() {
		random := rand.New(rand.NewPCG(7, 7))
		a, b := gossip.NewTable(), gossip.NewTable()
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
		message, transferred := a.StartReconciliation(), 0
		for range 6 {
			message, _ = b.Respond(start, message)
			transferred += len(message.Records)
			message, _ = a.Respond(start, message)
			transferred += len(message.Records)
		}
		Expect(a.Root()).To(Equal(b.Root()))
		Expect(transferred).To(Equal(2))
	})
})

// naive is the reference model: one table that every version reaches at once.
type naive map[lease.Key]lease.Record

func (n naive) broadcast(r lease.Record) {
	if old, ok := n[r.Key()]; ok {
		r = lease.Merge(old, r)
	}
	n[r.Key()] = r
}

var _ = Describe("the gossip", func() {
	It("reaches the state of a full broadcast despite loss, duplicates and cut links", func() {
		for seed := range uint64(20) {
			compareHistory(seed + 1)
		}
	})
})

// compareHistory runs one random history on the mesh and on the reference model, and
// compares their final records.
func compareHistory(seed uint64) {
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
		n.net.Cut(lossy.Direction{
			From: n.members[a].name,
			To:   n.members[b].name,
		}, random.IntN(2) == 0)
		r := randomChange(random)
		all.broadcast(r)
		n.members[a].publish(r)
	}
	for _, a := range n.members {
		for _, b := range n.members {
			n.net.Cut(lossy.Direction{
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

// randomChange draws a version of one of 10 records; one in 20 is gone.
func randomChange(random *rand.Rand) lease.Record {
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
		r = r.AsGone(time.Unix(0, 0).Add(lease.TombstoneTTL))
	}
	return r
}
