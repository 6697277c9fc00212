package main

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"net/netip"
)

// Flag bits of a packet and the size of its header, as PROTOCOL.md gives them.
const (
	flagSyn     = 128
	flagBounced = 32
	flagAck     = 16
	flagRst     = 8
	flagFin     = 2

	headerBytes = 32
)

// sumKey keys the checksum. Only requesters and endpoints know it.
const sumKey = "known to both ends of a flow"

var errLength = errors.New("length of the packet does not match its header")

// packet is one decoded packet.
type packet struct {
	sum      uint32
	src, dst netip.AddrPort
	seq, ack uint32
	flags    uint8
	data     []byte
}

// flowKey identifies a flow by its requester and the address of its route.
type flowKey struct {
	caller, target netip.AddrPort
}

func checksum(b []byte) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(sumKey))
	_, _ = h.Write(b[8:28])
	_, _ = h.Write([]byte{b[28] &^ flagBounced, b[30], b[31]})
	_, _ = h.Write(b[headerBytes:])
	return h.Sum32() | 1
}

func encode(p packet) []byte {
	b := make([]byte, headerBytes+len(p.data))
	o := binary.LittleEndian
	o.PutUint16(b[8:], p.dst.Port())
	o.PutUint16(b[10:], p.src.Port())
	o.PutUint32(b[12:], addrNumber(p.src))
	o.PutUint32(b[16:], addrNumber(p.dst))
	o.PutUint32(b[20:], p.seq)
	o.PutUint32(b[24:], p.ack)
	b[28] = p.flags
	o.PutUint16(b[30:], uint16(len(p.data)))
	copy(b[headerBytes:], p.data)
	o.PutUint32(b, checksum(b))
	return b
}

// decode decodes a packet and reports whether its checksum is that of its sender.
func decode(b []byte) (p packet, genuine bool, err error) {
	o := binary.LittleEndian
	if len(b) < headerBytes || len(b) != headerBytes+int(o.Uint16(b[30:])) {
		return p, false, errLength
	}
	p = packet{
		sum:   o.Uint32(b),
		src:   netip.AddrPortFrom(addrOf(o.Uint32(b[12:])), o.Uint16(b[10:])),
		dst:   netip.AddrPortFrom(addrOf(o.Uint32(b[16:])), o.Uint16(b[8:])),
		seq:   o.Uint32(b[20:]),
		ack:   o.Uint32(b[24:]),
		flags: b[28],
		data:  append([]byte(nil), b[headerBytes:]...),
	}
	return p, p.sum == checksum(b), nil
}

// addrNumber returns an address as the header holds it: 100.64.0.7 is the bytes
// 07 00 40 64, that is the big-endian number of the address, written little-endian.
func addrNumber(a netip.AddrPort) uint32 {
	b := a.Addr().As4()
	return binary.BigEndian.Uint32(b[:])
}

func addrOf(n uint32) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], n)
	return netip.AddrFrom4(b)
}
