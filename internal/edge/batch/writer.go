//go:build linux

package batch

import (
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"
)

// Writer collects datagrams and sends them in batches. It must be used by one goroutine
// at a time; any number of Writers may share a socket.
type Writer struct {
	socket   *Socket
	messages messages
	count    int
	next     int
	sent     FlushResult
	sendFunc func(uintptr) bool
}

// FlushResult counts the datagrams of a batch that were sent and those that the kernel
// refused.
type FlushResult struct {
	Sent   int
	Failed int
}

// NewWriter returns a Writer of batches of up to size datagrams of up to maxBytes each.
func NewWriter(s *Socket, size, maxBytes int) *Writer {
	w := &Writer{
		socket:   s,
		messages: newMessages(size, maxBytes),
	}
	w.sendFunc = w.send
	return w
}

// Full reports whether the batch is full, so that Flush must come before the next
// datagram.
func (w *Writer) Full() bool {
	return w.count == len(w.messages.headers)
}

// NextBuffer returns the empty buffer of the next datagram. The Writer must not be full.
func (w *Writer) NextBuffer() []byte {
	return w.messages.buffers[w.count][:0]
}

// Add appends a datagram to the batch. b must extend the buffer from the last call of
// NextBuffer, within its capacity. The destination must be an IPv4 address.
func (w *Writer) Add(to netip.AddrPort, b []byte) {
	w.messages.setAddress(w.count, to)
	w.messages.setLength(w.count, len(b))
	w.count++
}

// Flush sends and empties the batch. A datagram that the kernel refuses is counted and
// does not keep later ones from being sent. Flush fails only if the socket is closed.
func (w *Writer) Flush() (sent FlushResult, err error) {
	if w.count == 0 {
		return sent, nil
	}
	w.next = 0
	w.sent = FlushResult{}
	err = w.socket.raw.Write(w.sendFunc)
	w.sent.Failed += w.count - w.next
	w.count = 0
	return w.sent, err
}

// send sends datagrams until each was sent or refused. It returns false to be called
// again when the socket is writable.
func (w *Writer) send(fd uintptr) bool {
	for w.next < w.count {
		n, errno := w.messages.transfer(unix.SYS_SENDMMSG, fd, w.next, w.count)
		switch errno {
		case 0:
			w.next += n
			w.sent.Sent += n
		case unix.EAGAIN:
			return false
		case unix.EINTR:
		default:
			w.skipRefused(errno)
		}
	}
	return true
}

// skipRefused counts the datagram that the kernel refused as failed and skips it.
// ECONNREFUSED answers an earlier datagram, so the current one is retried.
func (w *Writer) skipRefused(errno syscall.Errno) {
	if errno == unix.ECONNREFUSED {
		return
	}
	w.next++
	w.sent.Failed++
}
