//go:build linux

package batch_test

import (
	"fmt"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/edge/batch"
)

const (
	size  = 8
	bytes = 64
)

func open(count int) []*batch.Socket {
	list, err := batch.ListenMany(netip.MustParseAddrPort("127.0.0.1:0"), count)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		_ = batch.CloseAll(list)
	})
	return list
}

func add(w *batch.Writer, to netip.AddrPort, text string) {
	w.Add(to, append(w.Slot(), text...))
}

var _ = Describe("a batch", func() {
	It("carries datagrams, their sources and destinations", func() {
		near, far, other := open(1)[0], open(1)[0], open(1)[0]
		w := batch.NewWriter(near, size, bytes)
		add(w, far.Local(), "one")
		add(w, other.Local(), "other")
		add(w, far.Local(), "three")
		Expect(w.Flush()).To(Equal(batch.Sent{
			Sent: 3,
		}))
		r := batch.NewReader(far, size, bytes)
		n, err := r.Read()
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(Equal(2))
		Expect(string(r.Datagram(0))).To(Equal("one"))
		Expect(string(r.Datagram(1))).To(Equal("three"))
		Expect(r.From(1)).To(Equal(near.Local()))
		r = batch.NewReader(other, size, bytes)
		Expect(r.Read()).To(Equal(1))
		Expect(string(r.Datagram(0))).To(Equal("other"))
	})

	It("goes on behind a destination that is refused", func() {
		near, far, closed := open(1)[0], open(1)[0], open(1)[0]
		Expect(closed.Close()).To(Succeed())
		w := batch.NewWriter(near, size, bytes)
		for range 3 {
			add(w, closed.Local(), "lost")
			add(w, netip.MustParseAddrPort("127.0.0.1:0"), "port 0 is no destination")
			add(w, far.Local(), "kept")
			Expect(w.Flush()).To(Equal(batch.Sent{
				Sent:   2,
				Failed: 1,
			}))
		}
		r := batch.NewReader(far, size, bytes)
		Expect(r.Read()).To(Equal(3))
	})

	It("says which datagrams were cut", func() {
		near, far := open(1)[0], open(1)[0]
		w := batch.NewWriter(near, size, 2*bytes)
		w.Add(far.Local(), w.Slot()[:bytes])
		w.Add(far.Local(), w.Slot()[:bytes+1])
		Expect(w.Flush()).To(Equal(batch.Sent{
			Sent: 2,
		}))
		r := batch.NewReader(far, size, bytes)
		Expect(r.Read()).To(Equal(2))
		Expect(r.Truncated(0)).To(BeFalse())
		Expect(r.Truncated(1)).To(BeTrue())
		Expect(r.Datagram(1)).To(HaveLen(bytes))
	})

	It("ends a waiting read when its socket closes", func() {
		s := open(1)[0]
		ended := make(chan error)
		go func() {
			_, err := batch.NewReader(s, size, bytes).Read()
			ended <- err
		}()
		Expect(s.Close()).To(Succeed())
		Eventually(ended, time.Minute).Should(Receive(MatchError(net.ErrClosed)))
	})

	It("shares no port with sockets opened elsewhere", func() {
		_, err := batch.ListenMany(open(2)[0].Local(), 2)
		Expect(err).To(MatchError(syscall.EADDRINUSE))
	})

	It("gives no two callers the same port when the kernel chooses", func() {
		ports := map[uint16]bool{}
		for range 600 {
			ports[open(1)[0].Local().Port()] = true
		}
		Expect(ports).To(HaveLen(600))
	})

	It("sends one datagram at once", func() {
		near, far := open(1)[0], open(1)[0]
		Expect(near.WriteTo([]byte("one"), far.Local())).To(Succeed())
		r := batch.NewReader(far, size, bytes)
		Expect(r.Read()).To(Equal(1))
		Expect(string(r.Datagram(0))).To(Equal("one"))
	})

	It("spreads the senders of one port over its sockets", func() {
		list := open(4)
		const senders = 64
		for i := range senders {
			w := batch.NewWriter(open(1)[0], size, bytes)
			add(w, list[0].Local(), fmt.Sprint(i))
			Expect(w.Flush()).To(Equal(batch.Sent{
				Sent: 1,
			}))
		}
		total := 0
		for _, s := range list {
			Expect(s.SetReadDeadline(time.Now().Add(time.Minute))).To(Succeed())
			n, err := batch.NewReader(s, senders, bytes).Read()
			Expect(err).NotTo(HaveOccurred())
			total += n
		}
		Expect(total).To(Equal(senders))
	})

	It("allocates nothing", func() {
		near, far := open(1)[0], open(1)[0]
		w := batch.NewWriter(near, size, bytes)
		r := batch.NewReader(far, size, bytes)
		allocations := testing.AllocsPerRun(100, func() {
			for !w.Full() {
				w.Add(far.Local(), append(w.Slot(), "packet"...))
			}
			if _, err := w.Flush(); err != nil {
				panic(err)
			}
			n, err := r.Read()
			if err != nil || r.From(n-1) != near.Local() {
				panic("not read")
			}
		})
		Expect(allocations).To(BeZero())
	})
})
