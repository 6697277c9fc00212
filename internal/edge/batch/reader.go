//go:build linux

package batch

import (
	"net/netip"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// Reader reads batches of datagrams from one socket. It must be used by one goroutine
// at a time.
type Reader struct {
	socket      *Socket
	messages    messages
	count       int
	errno       syscall.Errno
	receiveFunc func(uintptr) bool
}

// NewReader returns a Reader of batches of up to size datagrams. It cuts datagrams at
// maxBytes.
func NewReader(s *Socket, size, maxBytes int) *Reader {
	r := &Reader{
		socket:   s,
		messages: newMessages(size, maxBytes),
	}
	// A method value allocates, so it is created once.
	r.receiveFunc = r.receive
	return r
}

// Read waits for datagrams and returns how many it received. It overwrites the previous
// batch.
func (r *Reader) Read() (count int, err error) {
	for i := range r.messages.headers {
		r.messages.setLength(i, len(r.messages.buffers[i]))
	}
	r.count = 0
	r.errno = 0
	if err = r.socket.raw.Read(r.receiveFunc); err != nil {
		return 0, err
	}
	if r.errno != 0 {
		return 0, os.NewSyscallError("recvmmsg", r.errno)
	}
	return r.count, nil
}

func (r *Reader) receive(fd uintptr) bool {
	n, errno := r.messages.transfer(unix.SYS_RECVMMSG, fd, 0, len(r.messages.headers))
	switch errno {
	case 0:
		r.count = n
		return true
	case unix.EAGAIN:
		return false
	case unix.EINTR, unix.ECONNREFUSED, unix.EHOSTUNREACH, unix.ENETUNREACH:
		// These errors report an earlier write and say nothing about this read.
		return r.receive(fd)
	default:
		r.errno = errno
		return true
	}
}

// Datagram returns the i-th datagram of the batch. It is valid until the next Read.
func (r *Reader) Datagram(i int) []byte {
	return r.messages.buffers[i][:min(int(r.messages.headers[i].length), len(r.messages.buffers[i]))]
}

// Truncated reports whether the i-th datagram was longer than its buffer.
func (r *Reader) Truncated(i int) bool {
	return r.messages.headers[i].header.Flags&unix.MSG_TRUNC != 0
}

// From returns the source address of the i-th datagram.
func (r *Reader) From(i int) netip.AddrPort {
	return r.messages.address(i)
}
