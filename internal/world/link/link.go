// Package link describes packets of flows as they cross the fabric.
package link

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a flow by its five-tuple, addresses as big-endian numbers.
type Key struct {
	Caller     uint32
	Target     uint32
	CallerPort uint16
	TargetPort uint16
	Protocol   uint8
}

// Kind is a packet's part in the life of its flow.
type Kind uint8

const (
	// Opening packets ask for a new flow: a SYN without an ACK.
	Opening Kind = iota + 1
	// Continuing packets belong to a flow that some endpoint owns.
	Continuing
	// Closing packets carry a FIN or a reset.
	Closing
)

// keyBytes is the size of a key in its hashed form.
const keyBytes = 13

// Hash spreads keys evenly over 64 bits, alike on every node.
func (k Key) Hash() uint64 {
	var b [keyBytes]byte
	binary.BigEndian.PutUint32(b[0:], k.Caller)
	binary.BigEndian.PutUint32(b[4:], k.Target)
	binary.BigEndian.PutUint16(b[8:], k.CallerPort)
	binary.BigEndian.PutUint16(b[10:], k.TargetPort)
	b[12] = k.Protocol
	return xxhash.Sum64(b[:])
}

// String gives the flow as logs print it: caller, then target.
func (k Key) String() string {
	return address(k.Caller, k.CallerPort).String() + ">" + address(k.Target, k.TargetPort).String()
}

func address(a uint32, port uint16) netip.AddrPort {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], a)
	return netip.AddrPortFrom(netip.AddrFrom4(b), port)
}
