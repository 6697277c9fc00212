//go:build linux

package batch

import (
	"encoding/binary"
	"net/netip"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// mmsghdr mirrors the kernel's struct mmsghdr (see recvmmsg(2)).
type mmsghdr struct {
	header unix.Msghdr
	length uint32
}

// messages holds the memory of one batch. It is allocated once: each header points at its
// address and, through its iovec, at its buffer.
type messages struct {
	headers   []mmsghdr
	addresses []unix.RawSockaddrInet4
	iovecs    []unix.Iovec
	buffers   [][]byte
}

func newMessages(size, maxBytes int) messages {
	r := messages{
		headers:   make([]mmsghdr, size),
		addresses: make([]unix.RawSockaddrInet4, size),
		iovecs:    make([]unix.Iovec, size),
		buffers:   make([][]byte, size),
	}
	memory := make([]byte, size*maxBytes)
	for i := range r.headers {
		r.buffers[i] = memory[i*maxBytes : (i+1)*maxBytes : (i+1)*maxBytes]
		r.iovecs[i].Base = &r.buffers[i][0]
		r.headers[i].header.Name = (*byte)(unsafe.Pointer(&r.addresses[i]))
		r.headers[i].header.Iov = &r.iovecs[i]
		r.headers[i].header.SetIovlen(1)
	}
	return r
}

// setLength sets the address and buffer lengths of message i before a system call.
func (r *messages) setLength(i, length int) {
	r.headers[i].header.Namelen = unix.SizeofSockaddrInet4
	r.iovecs[i].SetLen(length)
}

// transfer calls recvmmsg or sendmmsg on the messages from first up to, but not
// including, end.
func (r *messages) transfer(number, fd uintptr, first, end int) (int, syscall.Errno) {
	n, _, errno := unix.Syscall6(number, fd, uintptr(unsafe.Pointer(&r.headers[first])),
		uintptr(end-first), unix.MSG_DONTWAIT, 0, 0)
	return int(n), errno
}

func (r *messages) setAddress(i int, to netip.AddrPort) {
	r.addresses[i].Family = unix.AF_INET
	r.addresses[i].Addr = to.Addr().Unmap().As4()
	binary.BigEndian.PutUint16((*[2]byte)(unsafe.Pointer(&r.addresses[i].Port))[:], to.Port())
}

func (r *messages) address(i int) netip.AddrPort {
	port := binary.BigEndian.Uint16((*[2]byte)(unsafe.Pointer(&r.addresses[i].Port))[:])
	return netip.AddrPortFrom(netip.AddrFrom4(r.addresses[i].Addr), port)
}
