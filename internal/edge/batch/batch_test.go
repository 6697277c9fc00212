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
	maxDatagrams = 8
	maxBytes     = 64
)

func openSockets(count int) []*batch.Socket {
	list, err := batch.ListenMany(netip.MustParseAddrPort("127.0.0.1:0"), count)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		_ = batch.CloseAll(list)
	})
	return list
}

func addText(w *batch.Writer, to netip.AddrPort, text string) {
	w.Add(to, append(w.NextBuffer(), text...))
}

var _ = Describe("batches of datagrams", func() {
	It("delivers datagrams to their destinations, with their source addresses", func() {
		sender, receiver, other := openSockets(1)[0], openSockets(1)[0], openSockets(1)[0]
		w := batch.NewWriter(sender, maxDatagrams, maxBytes)
		addText(w, receiver.Local(), "one")
		addText(w, other.Local(), "other")
		addText(w, receiver.Local(), "three")
		Expect(w.Flush()).To(Equal(batch.FlushResult{
			Sent: 3,
		}))
		r := batch.NewReader(receiver, maxDatagrams, maxBytes)
		n, err := r.Read()
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(Equal(2))
		Expect(string(r.Datagram(0))).To(Equal("one"))
		Expect(string(r.Datagram(1))).To(Equal("three"))
		Expect(r.From(1)).To(Equal(sender.Local()))
		r = batch.NewReader(other, maxDatagrams, maxBytes)
		Expect(r.Read()).To(Equal(1))
		Expect(string(r.Datagram(0))).To(Equal("other"))
	})

	It("sends the datagrams after a refused one", func() {
		sender, receiver, closed := openSockets(1)[0], openSockets(1)[0], openSockets(1)[0]
		Expect(closed.Close()).To(Succeed())
		w := batch.NewWriter(sender, maxDatagrams, maxBytes)
		for range 3 {
			addText(w, closed.Local(), "lost")
			addText(w, netip.MustParseAddrPort("127.0.0.1:0"), "port 0 is not a destination")
			addText(w, receiver.Local(), "kept")
			Expect(w.Flush()).To(Equal(batch.FlushResult{
				Sent:   2,
				Failed: 1,
			}))
		}
		r := batch.NewReader(receiver, maxDatagrams, maxBytes)
		Expect(r.Read()).To(Equal(3))
	})

	It("reports which datagrams were truncated", func() {
		sender, receiver := openSockets(1)[0], openSockets(1)[0]
		w := batch.NewWriter(sender, maxDatagrams, 2*maxBytes)
		w.Add(receiver.Local(), w.NextBuffer()[:maxBytes])
		w.Add(receiver.Local(), w.NextBuffer()[:maxBytes+1])
		Expect(w.Flush()).To(Equal(batch.FlushResult{
			Sent: 2,
		}))
		r := batch.NewReader(receiver, maxDatagrams, maxBytes)
		Expect(r.Read()).To(Equal(2))
		Expect(r.Truncated(0)).To(BeFalse())
		Expect(r.Truncated(1)).To(BeTrue())
		Expect(r.Datagram(1)).To(HaveLen(maxBytes))
	})

	It("fails a pending read when its socket is closed", func() {
		s := openSockets(1)[0]
		ended := make(chan error)
		go func() {
			_, err := batch.NewReader(s, maxDatagrams, maxBytes).Read()
			ended <- err
		}()
		Expect(s.Close()).To(Succeed())
		Eventually(ended, time.Minute).Should(Receive(MatchError(net.ErrClosed)))
	})

	It("fails to listen on a port in use by other sockets", func() {
		_, err := batch.ListenMany(openSockets(2)[0].Local(), 2)
		Expect(err).To(MatchError(syscall.EADDRINUSE))
	})

	It("gets a different port on each listen on port 0", func() {
		ports := map[uint16]bool{}
		for range 600 {
			ports[openSockets(1)[0].Local().Port()] = true
		}
		Expect(ports).To(HaveLen(600))
	})

	It("sends one datagram immediately", func() {
		sender, receiver := openSockets(1)[0], openSockets(1)[0]
		Expect(sender.WriteTo([]byte("one"), receiver.Local())).To(Succeed())
		r := batch.NewReader(receiver, maxDatagrams, maxBytes)
		Expect(r.Read()).To(Equal(1))
		Expect(string(r.Datagram(0))).To(Equal("one"))
	})

	It("receives every datagram on one of the sockets that share a port", func() {
		list := openSockets(4)
		const senders = 64
		for i := range senders {
			w := batch.NewWriter(openSockets(1)[0], maxDatagrams, maxBytes)
			addText(w, list[0].Local(), fmt.Sprint(i))
			Expect(w.Flush()).To(Equal(batch.FlushResult{
				Sent: 1,
			}))
		}
		total := 0
		for _, s := range list {
			Expect(s.SetReadDeadline(time.Now().Add(time.Minute))).To(Succeed())
			n, err := batch.NewReader(s, senders, maxBytes).Read()
			Expect(err).NotTo(HaveOccurred())
			total += n
		}
		Expect(total).To(Equal(senders))
	})

	It("reads and writes without allocation", func() {
		sender, receiver := openSockets(1)[0], openSockets(1)[0]
		w := batch.NewWriter(sender, maxDatagrams, maxBytes)
		r := batch.NewReader(receiver, maxDatagrams, maxBytes)
		allocations := testing.AllocsPerRun(100, func() {
			for !w.Full() {
				w.Add(receiver.Local(), append(w.NextBuffer(), "packet"...))
			}
			if _, err := w.Flush(); err != nil {
				panic(err)
			}
			n, err := r.Read()
			if err != nil || r.From(n-1) != sender.Local() {
				panic("not read")
			}
		})
		Expect(allocations).To(BeZero())
	})
})
