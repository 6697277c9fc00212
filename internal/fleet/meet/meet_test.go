package meet_test

import (
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/fleet/meet"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

var errDown = errors.New("store is down")

// directory is a stand-in for the store's directory.
type directory struct {
	entries []meet.Entry
	version uint64
	down    bool
	reads   int
	writes  int
}

func (d *directory) Read() ([]meet.Entry, uint64, error) {
	d.reads++
	if d.down {
		return nil, 0, errDown
	}
	return d.entries, d.version, nil
}

func (d *directory) Write(entries []meet.Entry, version uint64) error {
	d.writes++
	if d.down || version != d.version {
		return errDown
	}
	d.entries = entries
	d.version++
	return nil
}

// visitor runs one machine against a directory.
type visitor struct {
	machine  *meet.Meet
	store    *directory
	now      time.Time
	contacts []netip.AddrPort
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7)
}

func newVisitor(store *directory, seed uint64, opts ...meet.Option) *visitor {
	return &visitor{
		machine: meet.New(rand.New(rand.NewPCG(seed, 0)), []netip.AddrPort{address(1)}, opts...),
		store:   store,
		now:     time.Unix(0, 0),
	}
}

func (v *visitor) step(e meet.Event) {
	for _, a := range v.machine.Step(v.now, e) {
		switch a := a.(type) {
		case meet.Fetch:
			entries, version, err := v.store.Read()
			if err != nil {
				v.step(meet.Failed{})
				continue
			}
			v.step(meet.Read{
				Entries: entries,
				Version: version,
			})
		case meet.Store:
			if v.store.Write(a.Entries, a.Version) != nil {
				v.step(meet.Failed{})
			}
		case meet.Contacts:
			v.contacts = a.Addresses
		}
	}
}

func (v *visitor) run(d time.Duration) {
	for end := v.now.Add(d); v.now.Before(end); v.now = v.now.Add(time.Second) {
		v.step(meet.Tick{})
	}
}

func (v *visitor) meets(i int) {
	v.step(meet.Peers{
		Balancers: []node.Endpoint{
			{
				Agent: address(i),
			},
		},
	})
}

var _ = Describe("first contacts", func() {
	It("come from settings and the directory, without the node itself", func() {
		store := &directory{}
		newVisitor(store, 1, meet.WithListing(address(5))).run(time.Second)
		v := newVisitor(store, 2, meet.WithListing(address(6)))
		v.run(time.Second)
		Expect(v.contacts).To(Equal([]netip.AddrPort{address(5), address(1)}))
		Expect(store.entries).To(HaveLen(2))
	})

	It("come from peers met before, once the store is back and the fleet is lost", func() {
		v := newVisitor(&directory{}, 1)
		v.meets(9)
		v.step(meet.Peers{})
		v.run(time.Minute)
		Expect(v.contacts).To(ContainElements(address(9), address(1)))
	})

	It("leave a store that is down alone more and more", func() {
		v := newVisitor(&directory{
			down: true,
		}, 1)
		v.run(time.Hour)
		Expect(v.store.reads).To(BeNumerically("<", 60))
		Expect(v.store.reads).To(BeNumerically(">", 20))
	})

	It("cost the store nothing for a side process that knows balancers", func() {
		v := newVisitor(&directory{}, 1)
		v.meets(9)
		v.run(time.Hour)
		Expect(v.store.reads).To(BeZero())
	})

	It("keep the directory small, however many balancers there are", func() {
		store := &directory{}
		var all []*visitor
		for i := range 100 {
			v := newVisitor(store, uint64(i), meet.WithListing(address(i)))
			v.meets(200)
			all = append(all, v)
		}
		for range 60 {
			for _, v := range all {
				v.run(time.Minute)
			}
		}
		Expect(len(store.entries)).To(BeNumerically("<=", meet.DirectoryMax))
		Expect(store.writes).To(BeNumerically("<", 6*meet.DirectoryMax))
	})
})
