package spread

import (
	"cmp"
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/fleet/lease"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/zone"
)

const (
	// fan is how many parts a range is split into.
	fan = 16
	// depth is the level of the smallest ranges, the buckets.
	depth = 3
	// bucketCount is the number of buckets: fan to the power of depth.
	bucketCount = 4096
	// groupBuckets is how many buckets are passed over together where all are
	// empty.
	groupBuckets = 64
	// bucketBits is the number of leading bits of a position that name a bucket.
	bucketBits = 12
)

// Table holds the records a balancer knows, in buckets by position. It is not
// safe for concurrent use.
type Table struct {
	places  places
	buckets [bucketCount]bucket
	// groups counts the rows of each group of buckets.
	groups    [bucketCount / groupBuckets]int
	root      uint64
	count     int
	changes   uint64
	balancers []node.Endpoint
	regions   map[string][]node.Endpoint
	lost      []node.Endpoint
	// stale tells that the balancers have to be listed again.
	stale bool
	// balancerKeys are the keys of all balancer records.
	balancerKeys map[lease.Key]struct{}
	// tombstones are the keys of the records that expire.
	tombstones map[lease.Key]struct{}
}

type bucket struct {
	hash uint64
	rows []row
}

// NewTable makes an empty table.
func NewTable() *Table {
	return &Table{
		places: places{
			numbers: map[zone.Place]uint16{},
		},
		balancerKeys: map[lease.Key]struct{}{},
		tombstones:   map[lease.Key]struct{}{},
	}
}

// Merge takes in one version of a record and tells whether it was news. Versions
// that the table has, newer ones of which it knows, or which have expired change
// nothing.
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
	if lease.Compare(t.places.unpack(w), t.rounded(r)) >= 0 {
		return false
	}
	old := digest(key, w.version())
	*w = t.places.pack(r)
	t.account(b, old^digest(key, w.version()))
	t.note(r)
	return true
}

// rounded gives the record the precision that rows have.
func (t *Table) rounded(r lease.Record) lease.Record {
	w := t.places.pack(r)
	return t.places.unpack(&w)
}

func (t *Table) add(b *bucket, r lease.Record) {
	b.rows = append(b.rows, t.places.pack(r))
	t.count++
	t.groups[position(r.Key())>>(64-bucketBits)/groupBuckets]++
	t.account(b, digest(r.Key(), r.Version()))
	t.note(r)
}

func (t *Table) account(b *bucket, change uint64) {
	b.hash ^= change
	t.root ^= change
	t.changes++
}

// note keeps the indexes of balancers and tombstones.
func (t *Table) note(r lease.Record) {
	if r.Tombstone() {
		t.tombstones[r.Key()] = struct{}{}
	} else {
		delete(t.tombstones, r.Key())
	}
	if r.IsBalancer() {
		t.balancerKeys[r.Key()] = struct{}{}
		t.stale = true
	}
}

// Forget drops the tombstones that have expired.
func (t *Table) Forget(now time.Time) {
	for key := range t.tombstones {
		b, i := t.find(key)
		if i < 0 || !expired(now, t.places.unpack(&b.rows[i])) {
			continue
		}
		t.remove(b, i, key)
	}
}

func (t *Table) remove(b *bucket, i int, key lease.Key) {
	t.account(b, digest(key, b.rows[i].version()))
	b.rows = slices.Delete(b.rows, i, i+1)
	t.count--
	t.groups[position(key)>>(64-bucketBits)/groupBuckets]--
	delete(t.tombstones, key)
	if key.Service == lease.Balancers {
		delete(t.balancerKeys, key)
		t.stale = true
	}
}

// Lookup implements lease.Book.
func (t *Table) Lookup(key lease.Key) (lease.Record, bool) {
	b, i := t.find(key)
	if i < 0 {
		return lease.Record{}, false
	}
	return t.places.unpack(&b.rows[i]), true
}

// At implements lease.Book.
func (t *Table) At(e node.Endpoint) []lease.Record {
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

// Each implements lease.Book.
func (t *Table) Each(visit func(r lease.Record)) {
	for group, count := range t.groups {
		if count == 0 {
			continue
		}
		first := group * groupBuckets
		for i := first; i < first+groupBuckets; i++ {
			t.buckets[i].each(&t.places, visit)
		}
	}
}

// Balancers lists the balancers that are neither suspect nor away, in order of
// region and incarnation. The caller must not change the list.
func (t *Table) Balancers() []node.Endpoint {
	t.list()
	return t.balancers
}

func (b *bucket) each(p *places, visit func(r lease.Record)) {
	for i := range b.rows {
		if r := p.unpack(&b.rows[i]); !r.Tombstone() {
			visit(r)
		}
	}
}

// Candidates implements lease.Book.
func (t *Table) Candidates(e node.Endpoint) []node.Endpoint {
	t.list()
	near := t.regions[e.Place.Region]
	if len(near) <= lease.HomeCount {
		return t.balancers
	}
	return near
}

// Lost lists the balancers that are suspect or absent, which may come back.
func (t *Table) Lost() []node.Endpoint {
	t.list()
	return t.lost
}

// list brings the lists of balancers up to date.
func (t *Table) list() {
	if !t.stale {
		return
	}
	t.stale = false
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
	t.cutRegions()
}

// cutRegions finds each region's part of the balancers.
func (t *Table) cutRegions() {
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

// Len is the number of records, tombstones included.
func (t *Table) Len() int {
	return t.count
}

// Changes rises with every change of the table.
func (t *Table) Changes() uint64 {
	return t.changes
}

// Root is the hash over all records.
func (t *Table) Root() uint64 {
	return t.root
}

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
