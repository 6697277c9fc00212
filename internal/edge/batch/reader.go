//go:build linux

package batch

import (
	"net/netip"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// Reader takes batches off one socket. One thread uses it.
type Reader struct {
	socket *Socket
	ring   ring
	count  int
	errno  syscall.Errno
	read   func(uintptr) bool
}

// NewReader reads up to size datagrams of up to bytes bytes at once.
func NewReader(s *Socket, size, bytes int) *Reader {
	r := &Reader{
		socket: s,
		ring:   newRing(size, bytes),
	}
	// Bound once, since binding allocates.
	r.read = r.receive
	return r
}

// Read waits for datagrams and gives how many came. What the last batch held is
// overwritten.
func (r *Reader) Read() (count int, err error) {
	for i := range r.ring.headers {
		r.ring.prepare(i, len(r.ring.buffers[i]))
	}
	r.count = 0
	r.errno = 0
	if err = r.socket.raw.Read(r.read); err != nil {
		return 0, err
	}
	if r.errno != 0 {
		return 0, os.NewSyscallError("recvmmsg", r.errno)
	}
	return r.count, nil
}

func (r *Reader) receive(fd uintptr) bool {
	n, errno := r.ring.call(unix.SYS_RECVMMSG, fd, 0, len(r.ring.headers))
	switch errno {
	case 0:
		r.count = n
		return true
	case unix.EAGAIN:
		return false
	case unix.EINTR, unix.ECONNREFUSED, unix.EHOSTUNREACH, unix.ENETUNREACH:
		// What the network said about an earlier write is not this read's fault.
		return r.receive(fd)
	default:
		r.errno = errno
		return true
	}
}

// Datagram is the i-th datagram of the batch, valid until the next Read.
func (r *Reader) Datagram(i int) []byte {
	return r.ring.buffers[i][:min(int(r.ring.headers[i].length), len(r.ring.buffers[i]))]
}

// Truncated tells whether the i-th datagram was longer than its buffer.
func (r *Reader) Truncated(i int) bool {
	return r.ring.headers[i].header.Flags&unix.MSG_TRUNC != 0
}

// From is the source of the i-th datagram.
func (r *Reader) From(i int) netip.AddrPort {
	return r.ring.name(i)
}
