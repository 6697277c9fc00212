// Package rawip builds IPv4 packets that are sent without a TCP/IP stack: resets and
// answer datagrams.
package rawip

import (
	"encoding/binary"

	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/checksum"
	"gvisor.dev/gvisor/pkg/tcpip/header"

	"github.com/clementinewing/clementinewing/internal/world/link"
)

const (
	initialTTL = 64
	// ResetBytes is the size of a packet with a reset.
	ResetBytes = header.IPv4MinimumSize + header.TCPMinimumSize
)

// AppendReset appends to out the reset that answers p, a segment of an unknown
// connection, as RFC 9293, section 3.10.7.1, requires.
func AppendReset(out []byte, p link.Packet) []byte {
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
	return appendSegment(out, p.Key.Target, p.Key.Caller, fields)
}

// AppendCallerReset appends to out a reset with the address of the caller as its
// source. It makes the stack abort a connection; sequence is the next sequence
// number that the stack expects.
func AppendCallerReset(out []byte, k link.Key, sequence uint32) []byte {
	return appendSegment(out, k.Caller, k.Target, header.TCPFields{
		SrcPort:    k.CallerPort,
		DstPort:    k.TargetPort,
		SeqNum:     sequence,
		DataOffset: header.TCPMinimumSize,
		Flags:      header.TCPFlagRst,
	})
}

// AppendDatagram appends to out a UDP datagram from the target of k to its caller.
func AppendDatagram(out []byte, k link.Key, payload []byte) []byte {
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
	pseudo := header.PseudoHeaderChecksum(header.UDPProtocolNumber, tcpipAddress(k.Target), tcpipAddress(k.Caller), uint16(length))
	u.SetChecksum(^checksum.Checksum(u, pseudo))
	return out
}

func encodeIPv4(b []byte, protocol tcpip.TransportProtocolNumber, from, to uint32) {
	ip := header.IPv4(b)
	ip.Encode(&header.IPv4Fields{
		TotalLength: uint16(len(b)),
		TTL:         initialTTL,
		Protocol:    uint8(protocol),
		SrcAddr:     tcpipAddress(from),
		DstAddr:     tcpipAddress(to),
	})
	ip.SetChecksum(^ip.CalculateChecksum())
}

func appendSegment(out []byte, from, to uint32, fields header.TCPFields) []byte {
	start := len(out)
	out = append(out, make([]byte, ResetBytes)...)
	encodeIPv4(out[start:], header.TCPProtocolNumber, from, to)
	t := header.TCP(out[start+header.IPv4MinimumSize:])
	t.Encode(&fields)
	pseudo := header.PseudoHeaderChecksum(header.TCPProtocolNumber, tcpipAddress(from), tcpipAddress(to), header.TCPMinimumSize)
	t.SetChecksum(^checksum.Checksum(t, pseudo))
	return out
}

func tcpipAddress(a uint32) tcpip.Address {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], a)
	return tcpip.AddrFrom4(b)
}
