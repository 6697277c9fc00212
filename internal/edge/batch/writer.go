//go:build linux

package batch

import (
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"
)

// Writer gathers datagrams and sends them in batches. One thread uses it; any
// number of Writers may share a socket.
type Writer struct {
	socket *Socket
	ring   ring
	count  int
	next   int
	sent   Sent
	write  func(uintptr) bool
}

// Sent is what became of a batch. Failed datagrams were refused by the kernel.
type Sent struct {
	Sent   int
	Failed int
}

// NewWriter gathers up to size datagrams of up to bytes bytes.
func NewWriter(s *Socket, size, bytes int) *Writer {
	w := &Writer{
		socket: s,
		ring:   newRing(size, bytes),
	}
	w.write = w.send
	return w
}

// Full tells whether Flush is due before the next Slot.
func (w *Writer) Full() bool {
	return w.count == len(w.ring.headers)
}

// Slot is the empty buffer of the next datagram. The Writer must not be full.
func (w *Writer) Slot() []byte {
	return w.ring.buffers[w.count][:0]
}

// Add puts a datagram into the batch; b extends the last Slot within its
// capacity. The destination is an IPv4 address.
func (w *Writer) Add(to netip.AddrPort, b []byte) {
	w.ring.setName(w.count, to)
	w.ring.prepare(w.count, len(b))
	w.count++
}

// Flush sends the batch and empties it. A datagram that the kernel refuses is
// counted and does not stop the ones behind it. The error is that of a closed
// socket.
func (w *Writer) Flush() (sent Sent, err error) {
	if w.count == 0 {
		return sent, nil
	}
	w.next = 0
	w.sent = Sent{}
	err = w.socket.raw.Write(w.write)
	w.sent.Failed += w.count - w.next
	w.count = 0
	return w.sent, err
}

// send goes on until every datagram was sent or refused; false waits until the
// socket is writable again.
func (w *Writer) send(fd uintptr) bool {
	for w.next < w.count {
		n, errno := w.ring.call(unix.SYS_SENDMMSG, fd, w.next, w.count)
		switch errno {
		case 0:
			w.next += n
			w.sent.Sent += n
		case unix.EAGAIN:
			return false
		case unix.EINTR:
		default:
			w.refused(errno)
		}
	}
	return true
}

// refused passes over the datagram that the kernel stopped at. ECONNREFUSED is
// the answer to an earlier datagram, so the one it stopped at is tried again.
func (w *Writer) refused(errno syscall.Errno) {
	if errno == unix.ECONNREFUSED {
		return
	}
	w.next++
	w.sent.Failed++
}
