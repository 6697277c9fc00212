// Package craft writes the few IPv4 packets that no TCP/IP stack stands behind.
package craft

import (
	"encoding/binary"

	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/checksum"
	"gvisor.dev/gvisor/pkg/tcpip/header"

	"github.com/clementinewing/clementinewing/internal/world/link"
)

const (
	hopsMost = 64
	// ResetBytes is the size of a packet made by Reset.
	ResetBytes = header.IPv4MinimumSize + header.TCPMinimumSize
)

// Reset appends to out the reset that RFC 9293, section 3.10.7.1, answers a
// segment of an unknown connection with.
func Reset(out []byte, p link.Packet) []byte {
	fields := header.TCPFields{
		SrcPort:    p.Key.TargetPort,
		DstPort:    p.Key.CallerPort,
		DataOffset: header.TCPMinimumSize,
		Flags:      header.TCPFlagRst,
	}
	if p.HasAck() {
		fields.SeqNum = p.Acknowledgment
	} else {
		fields.Flags |= header.TCPFlagAck
		fields.AckNum = p.Sequence + p.Length()
	}
	return segment(out, p.Key.Target, p.Key.Caller, fields)
}

// CallerReset appends to out a reset in the caller's name, for a stack that has
// to give up a connection whose next expected sequence number is known.
func CallerReset(out []byte, k link.Key, sequence uint32) []byte {
	return segment(out, k.Caller, k.Target, header.TCPFields{
		SrcPort:    k.CallerPort,
		DstPort:    k.TargetPort,
		SeqNum:     sequence,
		DataOffset: header.TCPMinimumSize,
		Flags:      header.TCPFlagRst,
	})
}

// Datagram appends to out the answer of a datagram service to the caller of k.
func Datagram(out []byte, k link.Key, payload []byte) []byte {
	start := len(out)
	length := header.UDPMinimumSize + len(payload)
	out = append(out, make([]byte, header.IPv4MinimumSize+header.UDPMinimumSize)...)
	out = append(out, payload...)
	encodeIPv4(out[start:], header.UDPProtocolNumber, k.Target, k.Caller)
	u := header.UDP(out[start+header.IPv4MinimumSize:])
	u.Encode(&header.UDPFields{
		SrcPort: k.TargetPort,
		DstPort: k.CallerPort,
		Length:  uint16(length),
	})
	pseudo := header.PseudoHeaderChecksum(header.UDPProtocolNumber, address(k.Target), address(k.Caller), uint16(length))
	u.SetChecksum(^checksum.Checksum(u, pseudo))
	return out
}

func encodeIPv4(b []byte, protocol tcpip.TransportProtocolNumber, from, to uint32) {
	ip := header.IPv4(b)
	ip.Encode(&header.IPv4Fields{
		TotalLength: uint16(len(b)),
		TTL:         hopsMost,
		Protocol:    uint8(protocol),
		SrcAddr:     address(from),
		DstAddr:     address(to),
	})
	ip.SetChecksum(^ip.CalculateChecksum())
}

func segment(out []byte, from, to uint32, fields header.TCPFields) []byte {
	start := len(out)
	out = append(out, make([]byte, ResetBytes)...)
	encodeIPv4(out[start:], header.TCPProtocolNumber, from, to)
	t := header.TCP(out[start+header.IPv4MinimumSize:])
	t.Encode(&fields)
	pseudo := header.PseudoHeaderChecksum(header.TCPProtocolNumber, address(from), address(to), header.TCPMinimumSize)
	t.SetChecksum(^checksum.Checksum(t, pseudo))
	return out
}

func address(a uint32) tcpip.Address {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], a)
	return tcpip.AddrFrom4(b)
}
