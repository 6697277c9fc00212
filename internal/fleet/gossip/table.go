package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/fleet/lease"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/zone"
)

const (
	// branching is the number of parts into which a range is split.
	branching = 16
	// bucketLevel is the level of the smallest ranges, which are the buckets.
	bucketLevel = 3
	// bucketCount is the number of buckets: branching to the power of bucketLevel.
	bucketCount = 4096
	// groupBuckets is the number of buckets in a group. Iteration skips a group
	// without rows.
	groupBuckets = 64
	// bucketBits is the number of leading bits of a position that select the bucket.
	bucketBits = 12
)

// Table holds the records that a balancer knows, in buckets by their position in the
// key space. It is not safe for concurrent use.
type Table struct {
	places  places
	buckets [bucketCount]bucket
	// groupRows is the number of rows in each group of buckets.
	groupRows [bucketCount / groupBuckets]int
	root      uint64
	count     int
	changes   uint64
	balancers []node.Endpoint
	regions   map[string][]node.Endpoint
	lost      []node.Endpoint
	// balancersStale is set if the lists of balancers are out of date.
	balancersStale bool
	// balancerKeys are the keys of all balancer records.
	balancerKeys map[lease.Key]struct{}
	// tombstones are the keys of the records that expire: gone and absent ones.
	tombstones map[lease.Key]struct{}
}

type bucket struct {
	hash uint64
	rows []row
}

// NewTable creates an empty table.
func NewTable() *Table {
	return &Table{
		places: places{
			numbers: map[zone.Place]uint16{},
		},
		balancerKeys: map[lease.Key]struct{}{},
		tombstones:   map[lease.Key]struct{}{},
	}
}

// Merge stores one version of a record and reports whether it was news. A version
// changes nothing if it has expired or if the table holds the same or a newer one.
func (t *Table) Merge(now time.Time, r lease.Record) bool {
	if expired(now, r) {
		return false
	}
	key := r.Key()
	b, i := t.find(key)
	if i < 0 {
		t.add(b, r)
		return true
	}
	w := &b.rows[i]
	if lease.Compare(t.places.unpack(w), t.atRowPrecision(r)) >= 0 {
		return false
	}
	old := digest(key, w.version())
	*w = t.places.pack(r)
	t.updateHashes(b, old^digest(key, w.version()))
	t.updateIndexes(r)
	return true
}

// atRowPrecision returns the record as a row stores it, with times in whole seconds.
func (t *Table) atRowPrecision(r lease.Record) lease.Record {
	w := t.places.pack(r)
	return t.places.unpack(&w)
}

func (t *Table) add(b *bucket, r lease.Record) {
	b.rows = append(b.rows, t.places.pack(r))
	t.count++
	t.groupRows[position(r.Key())>>(64-bucketBits)/groupBuckets]++
	t.updateHashes(b, digest(r.Key(), r.Version()))
	t.updateIndexes(r)
}

// updateHashes applies the change of a digest to the hashes of its bucket and of the
// table.
func (t *Table) updateHashes(b *bucket, delta uint64) {
	b.hash ^= delta
	t.root ^= delta
	t.changes++
}

// updateIndexes updates the indexes of balancers and tombstones.
func (t *Table) updateIndexes(r lease.Record) {
	if r.Tombstone() {
		t.tombstones[r.Key()] = struct{}{}
	} else {
		delete(t.tombstones, r.Key())
	}
	if r.IsBalancer() {
		t.balancerKeys[r.Key()] = struct{}{}
		t.balancersStale = true
	}
}

// RemoveExpired removes the tombstones that have expired.
func (t *Table) RemoveExpired(now time.Time) {
	for key := range t.tombstones {
		b, i := t.find(key)
		if i < 0 || !expired(now, t.places.unpack(&b.rows[i])) {
			continue
		}
		t.remove(b, i, key)
	}
}

func (t *Table) remove(b *bucket, i int, key lease.Key) {
	t.updateHashes(b, digest(key, b.rows[i].version()))
	b.rows = slices.Delete(b.rows, i, i+1)
	t.count--
	t.groupRows[position(key)>>(64-bucketBits)/groupBuckets]--
	delete(t.tombstones, key)
	if key.Service == lease.BalancerService {
		delete(t.balancerKeys, key)
		t.balancersStale = true
	}
}

// Lookup implements lease.RecordTable.
func (t *Table) Lookup(key lease.Key) (lease.Record, bool) {
	b, i := t.find(key)
	if i < 0 {
		return lease.Record{}, false
	}
	return t.places.unpack(&b.rows[i]), true
}

// ByAddress implements lease.RecordTable.
func (t *Table) ByAddress(e node.Endpoint) []lease.Record {
	var out []lease.Record
	address := e.Agent.Addr().As16()
	for i := range t.buckets {
		rows := t.buckets[i].rows
		for j := range rows {
			w := &rows[j]
			if w.port == e.Agent.Port() && w.service == uint64(e.Service) && w.address == address {
				out = append(out, t.places.unpack(w))
			}
		}
	}
	return out
}

// EachPresent implements lease.RecordTable.
func (t *Table) EachPresent(visit func(r lease.Record)) {
	for group, count := range t.groupRows {
		if count == 0 {
			continue
		}
		first := group * groupBuckets
		for i := first; i < first+groupBuckets; i++ {
			t.buckets[i].each(&t.places, visit)
		}
	}
}

// Balancers returns the live balancers, ordered by region and incarnation. The caller
// must not modify the list.
func (t *Table) Balancers() []node.Endpoint {
	t.refreshBalancers()
	return t.balancers
}

// each calls visit for every record of the bucket that is not a tombstone.
func (b *bucket) each(p *places, visit func(r lease.Record)) {
	for i := range b.rows {
		if r := p.unpack(&b.rows[i]); !r.Tombstone() {
			visit(r)
		}
	}
}

// Candidates implements lease.RecordTable.
func (t *Table) Candidates(e node.Endpoint) []node.Endpoint {
	t.refreshBalancers()
	local := t.regions[e.Place.Region]
	if len(local) <= lease.HomeCount {
		return t.balancers
	}
	return local
}

// LostBalancers returns the suspect and absent balancers, which may come back.
func (t *Table) LostBalancers() []node.Endpoint {
	t.refreshBalancers()
	return t.lost
}

// refreshBalancers rebuilds the lists of balancers if they are out of date.
func (t *Table) refreshBalancers() {
	if !t.balancersStale {
		return
	}
	t.balancersStale = false
	t.balancers = make([]node.Endpoint, 0, len(t.balancerKeys))
	t.lost = nil
	for key := range t.balancerKeys {
		r, _ := t.Lookup(key)
		switch {
		case r.Endpoint.State == node.Gone:
		case r.Health != lease.Live:
			t.lost = append(t.lost, r.Endpoint)
		default:
			t.balancers = append(t.balancers, r.Endpoint)
		}
	}
	slices.SortFunc(t.lost, compareBalancers)
	slices.SortFunc(t.balancers, compareBalancers)
	t.indexRegions()
}

// indexRegions maps each region to its part of the sorted balancers.
func (t *Table) indexRegions() {
	t.regions = map[string][]node.Endpoint{}
	first := 0
	for i, b := range t.balancers {
		if b.Place.Region != t.balancers[first].Place.Region {
			first = i
		}
		t.regions[b.Place.Region] = t.balancers[first : i+1 : i+1]
	}
}

func compareBalancers(a, b node.Endpoint) int {
	return cmp.Or(
		cmp.Compare(a.Place.Region, b.Place.Region),
		cmp.Compare(a.Incarnation, b.Incarnation),
	)
}

// Len returns the number of records, tombstones included.
func (t *Table) Len() int {
	return t.count
}

// ChangeCount returns a counter that every change of the table increments.
func (t *Table) ChangeCount() uint64 {
	return t.changes
}

// Root returns the hash of all records.
func (t *Table) Root() uint64 {
	return t.root
}

// find returns the bucket of a key and the index of its row there, or -1.
func (t *Table) find(key lease.Key) (*bucket, int) {
	b := &t.buckets[position(key)>>(64-bucketBits)]
	for i := range b.rows {
		w := &b.rows[i]
		if w.incarnation == uint64(key.Incarnation) && w.service == uint64(key.Service) {
			return b, i
		}
	}
	return b, -1
}

func expired(now time.Time, r lease.Record) bool {
	return r.Tombstone() && !now.Before(r.Expires)
}
