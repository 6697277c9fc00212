//go:build linux

// Package batch reads and writes IPv4 UDP datagrams in batches with the Linux system
// calls recvmmsg and sendmmsg, without an allocation for each datagram. The batches of
// golang.org/x/net/ipv4 make the same calls but allocate every source address twice, so
// this package makes the calls itself.
package batch

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// socketBytes is the size requested for a socket's kernel buffer in each direction. The
// kernel caps it at its own limit.
const socketBytes = 4 << 20

// Socket is one UDP socket. Several sockets may share an address; the kernel then
// distributes datagrams among them by source address.
type Socket struct {
	conn  *net.UDPConn
	raw   syscall.RawConn
	local netip.AddrPort
}

// Listen opens a socket on an unused IPv4 address. With port 0 the kernel chooses the
// port.
func Listen(local netip.AddrPort) (s *Socket, err error) {
	return listen(local, net.ListenConfig{})
}

// ListenMany opens count sockets on one unused address. With port 0 all of them get the
// port that the kernel chose for the first.
//
// The first socket is bound before SO_REUSEPORT is set on it. If it were bound with
// SO_REUSEPORT, the kernel would let a second process bind the same address and receive
// part of the datagrams, and port 0 could choose a port in use.
func ListenMany(local netip.AddrPort, count int) (list []*Socket, err error) {
	first, err := Listen(local)
	if err != nil {
		return nil, err
	}
	list = append(list, first)
	if err = setReusePort("", "", first.raw); err != nil {
		return nil, errors.Join(err, CloseAll(list))
	}
	for len(list) < count {
		s, err := listen(first.local, net.ListenConfig{
			Control: setReusePort,
		})
		if err != nil {
			return nil, errors.Join(err, CloseAll(list))
		}
		list = append(list, s)
	}
	return list, nil
}

func listen(local netip.AddrPort, config net.ListenConfig) (s *Socket, err error) {
	defer func() {
		err = eris.Wrapf(err, "listening on %s", local)
	}()
	c, err := config.ListenPacket(context.Background(), "udp4", local.String())
	if err != nil {
		return nil, err
	}
	s = &Socket{
		conn: c.(*net.UDPConn),
	}
	s.local = s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	s.raw, err = s.conn.SyscallConn()
	if err == nil {
		err = errors.Join(s.conn.SetReadBuffer(socketBytes), s.conn.SetWriteBuffer(socketBytes))
	}
	if err != nil {
		return nil, errors.Join(err, s.conn.Close())
	}
	return s, nil
}

// CloseAll closes every socket in list and joins their errors.
func CloseAll(list []*Socket) (err error) {
	for _, s := range list {
		err = errors.Join(err, s.Close())
	}
	return err
}

func setReusePort(_, _ string, c syscall.RawConn) (err error) {
	control := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(control, err)
}

// Local returns the socket's own address.
func (s *Socket) Local() netip.AddrPort {
	return s.local
}

// WriteTo sends one datagram immediately, outside any batch.
func (s *Socket) WriteTo(b []byte, to netip.AddrPort) error {
	_, err := s.conn.WriteToUDPAddrPort(b, to)
	return err
}

// SetReadDeadline makes reads fail with os.ErrDeadlineExceeded once the deadline has
// passed. The zero time removes the deadline.
func (s *Socket) SetReadDeadline(deadline time.Time) error {
	return s.conn.SetReadDeadline(deadline)
}

// Close closes the socket. Pending and later reads and writes fail with net.ErrClosed.
func (s *Socket) Close() error {
	return s.conn.Close()
}
