package boot_test

import (
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/fleet/boot"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

var errDown = errors.New("store is down")

// directory is a fake of the directory in the store.
type directory struct {
	entries []boot.Entry
	version uint64
	down    bool
	reads   int
	writes  int
}

func (d *directory) Read() ([]boot.Entry, uint64, error) {
	d.reads++
	if d.down {
		return nil, 0, errDown
	}
	return d.entries, d.version, nil
}

func (d *directory) Write(entries []boot.Entry, version uint64) error {
	d.writes++
	if d.down || version != d.version {
		return errDown
	}
	d.entries = entries
	d.version++
	return nil
}

// runner runs one state machine against a directory.
type runner struct {
	machine  *boot.Bootstrap
	store    *directory
	now      time.Time
	contacts []netip.AddrPort
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7)
}

func newRunner(store *directory, seed uint64, opts ...boot.Option) *runner {
	return &runner{
		machine: boot.New(rand.New(rand.NewPCG(seed, 0)), []netip.AddrPort{address(1)}, opts...),
		store:   store,
		now:     time.Unix(0, 0),
	}
}

func (r *runner) step(e boot.Event) {
	for _, a := range r.machine.Step(r.now, e) {
		switch a := a.(type) {
		case boot.ReadDirectory:
			entries, version, err := r.store.Read()
			if err != nil {
				r.step(boot.StoreFailed{})
				continue
			}
			r.step(boot.DirectoryRead{
				Entries: entries,
				Version: version,
			})
		case boot.WriteDirectory:
			if r.store.Write(a.Entries, a.Version) != nil {
				r.step(boot.StoreFailed{})
			}
		case boot.ContactsFound:
			r.contacts = a.Addresses
		}
	}
}

func (r *runner) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(time.Second) {
		r.step(boot.Tick{})
	}
}

func (r *runner) setPeer(i int) {
	r.step(boot.PeersChanged{
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
		newRunner(store, 1, boot.WithDirectoryEntry(address(5))).run(time.Second)
		r := newRunner(store, 2, boot.WithDirectoryEntry(address(6)))
		r.run(time.Second)
		Expect(r.contacts).To(Equal([]netip.AddrPort{address(5), address(1)}))
		Expect(store.entries).To(HaveLen(2))
	})

	It("include peers known before, once the store is back and the node has no live peers", func() {
		r := newRunner(&directory{}, 1)
		r.setPeer(9)
		r.step(boot.PeersChanged{})
		r.run(time.Minute)
		Expect(r.contacts).To(ContainElements(address(9), address(1)))
	})

	It("are read from a failing store with exponential backoff", func() {
		r := newRunner(&directory{
			down: true,
		}, 1)
		r.run(time.Hour)
		Expect(r.store.reads).To(BeNumerically("<", 60))
		Expect(r.store.reads).To(BeNumerically(">", 20))
	})

	It("need no reads by an agent that has live peers", func() {
		r := newRunner(&directory{}, 1)
		r.setPeer(9)
		r.run(time.Hour)
		Expect(r.store.reads).To(BeZero())
	})

	It("keep the directory within its limit in a large fleet, with few writes", func() {
		store := &directory{}
		var all []*runner
		for i := range 100 {
			r := newRunner(store, uint64(i), boot.WithDirectoryEntry(address(i)))
			r.setPeer(200)
			all = append(all, r)
		}
		for range 60 {
			for _, r := range all {
				r.run(time.Minute)
			}
		}
		Expect(len(store.entries)).To(BeNumerically("<=", boot.MaxDirectoryEntries))
		Expect(store.writes).To(BeNumerically("<", 6*boot.MaxDirectoryEntries))
	})
})
