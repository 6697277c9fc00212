package link

import (
	"encoding/binary"
	"errors"
)

// Sizes and offsets of RFC 791 (IPv4), RFC 9293 (TCP) and RFC 768 (UDP).
const (
	ipv4Bytes    = 20
	tcpBytes     = 20
	udpBytes     = 8
	portsBytes   = 4
	protocolTCP  = 6
	protocolUDP  = 17
	flagFin      = 0x01
	flagSyn      = 0x02
	flagReset    = 0x04
	flagAck      = 0x10
	fragmentMask = 0x3fff
)

// Errors of Parse and ParseKey. Packets that fail to parse are counted by error.
var (
	ErrShort    = errors.New("packet is shorter than its headers")
	ErrVersion  = errors.New("packet is not IPv4")
	ErrFragment = errors.New("packet is a fragment")
	ErrProtocol = errors.New("packet is neither TCP nor UDP")
)

// Packet holds the parsed headers of an IPv4 packet. Sequence, Acknowledgment and
// Flags are zero for UDP.
type Packet struct {
	Key            Key
	Kind           Kind
	Sequence       uint32
	Acknowledgment uint32
	Flags          uint8
	// Payload is the number of bytes after the transport header.
	Payload int
	// Total is the length of the packet in bytes, without bytes that follow it in
	// the buffer.
	Total int
}

// HasAck reports whether the ACK flag is set.
func (p Packet) HasAck() bool {
	return p.Flags&flagAck != 0
}

// IsReset reports whether the RST flag is set.
func (p Packet) IsReset() bool {
	return p.Flags&flagReset != 0
}

// Parse parses the headers of the IPv4 packet in b. It does not retain b.
func Parse(b []byte) (p Packet, err error) {
	if len(b) < ipv4Bytes {
		return p, ErrShort
	}
	if b[0]>>4 != 4 {
		return p, ErrVersion
	}
	header := int(b[0]&0x0f) * 4
	total := int(binary.BigEndian.Uint16(b[2:]))
	if header < ipv4Bytes || total < header || total > len(b) {
		return p, ErrShort
	}
	if binary.BigEndian.Uint16(b[6:])&fragmentMask != 0 {
		return p, ErrFragment
	}
	p.Total = total
	p.Key.Protocol = b[9]
	p.Key.Caller = binary.BigEndian.Uint32(b[12:])
	p.Key.Target = binary.BigEndian.Uint32(b[16:])
	return parseTransport(p, b[header:total])
}

// ParseKey returns the key of the IPv4 packet whose first bytes are in b. The packet may
// be truncated anywhere after its ports.
func ParseKey(b []byte) (k Key, err error) {
	if len(b) < ipv4Bytes {
		return k, ErrShort
	}
	if b[0]>>4 != 4 {
		return k, ErrVersion
	}
	header := int(b[0]&0x0f) * 4
	if header < ipv4Bytes || len(b) < header+portsBytes {
		return k, ErrShort
	}
	if binary.BigEndian.Uint16(b[6:])&fragmentMask != 0 {
		return k, ErrFragment
	}
	if b[9] != protocolTCP && b[9] != protocolUDP {
		return k, ErrProtocol
	}
	k.Protocol = b[9]
	k.Caller = binary.BigEndian.Uint32(b[12:])
	k.Target = binary.BigEndian.Uint32(b[16:])
	k.CallerPort = binary.BigEndian.Uint16(b[header:])
	k.TargetPort = binary.BigEndian.Uint16(b[header+2:])
	return k, nil
}

func parseTransport(p Packet, b []byte) (Packet, error) {
	switch p.Key.Protocol {
	case protocolTCP:
		return parseTCP(p, b)
	case protocolUDP:
		return parseUDP(p, b)
	default:
		return p, ErrProtocol
	}
}

func parseTCP(p Packet, b []byte) (Packet, error) {
	if len(b) < tcpBytes {
		return p, ErrShort
	}
	header := int(b[12]>>4) * 4
	if header < tcpBytes || header > len(b) {
		return p, ErrShort
	}
	p.Key.CallerPort = binary.BigEndian.Uint16(b[0:])
	p.Key.TargetPort = binary.BigEndian.Uint16(b[2:])
	p.Sequence = binary.BigEndian.Uint32(b[4:])
	p.Acknowledgment = binary.BigEndian.Uint32(b[8:])
	p.Flags = b[13]
	p.Payload = len(b) - header
	p.Kind = kindOf(p.Flags)
	return p, nil
}

func parseUDP(p Packet, b []byte) (Packet, error) {
	if len(b) < udpBytes {
		return p, ErrShort
	}
	p.Key.CallerPort = binary.BigEndian.Uint16(b[0:])
	p.Key.TargetPort = binary.BigEndian.Uint16(b[2:])
	p.Payload = len(b) - udpBytes
	p.Kind = Opening
	return p, nil
}

func kindOf(flags uint8) Kind {
	switch {
	case flags&(flagFin|flagReset) != 0:
		return Closing
	case flags&flagSyn != 0 && flags&flagAck == 0:
		return Opening
	default:
		return Continuing
	}
}

// Length returns the number of sequence numbers that a TCP segment occupies: its payload
// and one each for SYN and FIN.
func (p Packet) Length() uint32 {
	length := uint32(p.Payload)
	if p.Flags&flagSyn != 0 {
		length++
	}
	if p.Flags&flagFin != 0 {
		length++
	}
	return length
}
