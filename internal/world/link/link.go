// Package link defines flow keys and parses the packets of flows.
package link

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a flow by its five-tuple. IPv4 addresses are stored as the integers of
// their big-endian bytes.
type Key struct {
	Caller     uint32
	Target     uint32
	CallerPort uint16
	TargetPort uint16
	Protocol   uint8
}

// Kind tells whether a packet opens, continues or closes a flow.
type Kind uint8

const (
	// Opening packets request a new flow: a SYN without an ACK, and every datagram.
	Opening Kind = iota + 1
	// Continuing packets belong to an existing flow.
	Continuing
	// Closing packets carry a FIN or RST.
	Closing
)

// hashedKeyBytes is the size of the encoding of a key that is hashed.
const hashedKeyBytes = 13

// Hash returns a 64-bit hash of the key that is the same on every node.
func (k Key) Hash() uint64 {
	var b [hashedKeyBytes]byte
	binary.BigEndian.PutUint32(b[0:], k.Caller)
	binary.BigEndian.PutUint32(b[4:], k.Target)
	binary.BigEndian.PutUint16(b[8:], k.CallerPort)
	binary.BigEndian.PutUint16(b[10:], k.TargetPort)
	b[12] = k.Protocol
	return xxhash.Sum64(b[:])
}

// String returns the flow as CALLER>TARGET, as in logs.
func (k Key) String() string {
	return addrPort(k.Caller, k.CallerPort).String() + ">" + addrPort(k.Target, k.TargetPort).String()
}

func addrPort(a uint32, port uint16) netip.AddrPort {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], a)
	return netip.AddrPortFrom(netip.AddrFrom4(b), port)
}
