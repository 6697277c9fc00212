//go:build linux

package batch

import (
	"encoding/binary"
	"net/netip"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// mmsghdr is the kernel's struct of that name (recvmmsg(2)).
type mmsghdr struct {
	header unix.Msghdr
	length uint32
}

// ring is the fixed memory of one thread's batch: headers, addresses and
// buffers, which point at each other from the start.
type ring struct {
	headers []mmsghdr
	names   []unix.RawSockaddrInet4
	vectors []unix.Iovec
	buffers [][]byte
}

func newRing(size, bytes int) ring {
	r := ring{
		headers: make([]mmsghdr, size),
		names:   make([]unix.RawSockaddrInet4, size),
		vectors: make([]unix.Iovec, size),
		buffers: make([][]byte, size),
	}
	memory := make([]byte, size*bytes)
	for i := range r.headers {
		r.buffers[i] = memory[i*bytes : (i+1)*bytes : (i+1)*bytes]
		r.vectors[i].Base = &r.buffers[i][0]
		r.headers[i].header.Name = (*byte)(unsafe.Pointer(&r.names[i]))
		r.headers[i].header.Iov = &r.vectors[i]
		r.headers[i].header.SetIovlen(1)
	}
	return r
}

// prepare sets the lengths of slot i before a call.
func (r *ring) prepare(i, bytes int) {
	r.headers[i].header.Namelen = unix.SizeofSockaddrInet4
	r.vectors[i].SetLen(bytes)
}

// call makes recvmmsg or sendmmsg on the slots from first up to end.
func (r *ring) call(trap, fd uintptr, first, end int) (int, syscall.Errno) {
	n, _, errno := unix.Syscall6(trap, fd, uintptr(unsafe.Pointer(&r.headers[first])),
		uintptr(end-first), unix.MSG_DONTWAIT, 0, 0)
	return int(n), errno
}

func (r *ring) setName(i int, to netip.AddrPort) {
	r.names[i].Family = unix.AF_INET
	r.names[i].Addr = to.Addr().Unmap().As4()
	binary.BigEndian.PutUint16((*[2]byte)(unsafe.Pointer(&r.names[i].Port))[:], to.Port())
}

func (r *ring) name(i int) netip.AddrPort {
	port := binary.BigEndian.Uint16((*[2]byte)(unsafe.Pointer(&r.names[i].Port))[:])
	return netip.AddrPortFrom(netip.AddrFrom4(r.names[i].Addr), port)
}
