package wire

import (
	"encoding/binary"
	"net/netip"

	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// header holds the fields needed to verify the tag.
type header struct {
	epoch    uint8
	sender   uint64
	sequence uint64
}

// withinLimits reports whether the message keeps the limits of the format.
func (m *Message) withinLimits() bool {
	count := len(m.Candidates)
	if count > MaxCandidates || len(m.Inner) > MaxInner(count) {
		return false
	}
	if m.Round > MaxRounds || !fieldsValid(m.Kind, count, m.Position, m.Denied) || !addressEncodable(m.Balancer) {
		return false
	}
	for i := range m.Candidates {
		if !addressEncodable(m.Candidates[i].Agent) {
			return false
		}
	}
	return true
}

func fieldsValid(k Kind, count int, position uint8, denied uint16) bool {
	if k < Packet || k > Answer {
		return false
	}
	if count == 0 {
		return position == 0 && denied == 0
	}
	return int(position) < count && uint32(denied)>>count == 0
}

func addressEncodable(a netip.AddrPort) bool {
	return a.Addr().Is4() || a == netip.AddrPort{}
}

// appendMessage appends the datagram without its tag.
func appendMessage(out []byte, h header, m *Message) []byte {
	out = append(out, formatVersion, byte(m.Kind), h.epoch, byte(len(m.Candidates)), m.Position, m.Round)
	out = binary.BigEndian.AppendUint16(out, m.Denied)
	out = binary.BigEndian.AppendUint64(out, h.sender)
	out = binary.BigEndian.AppendUint64(out, h.sequence)
	out = binary.BigEndian.AppendUint64(out, uint64(m.Service))
	out = appendAddress(out, m.Balancer)
	out = binary.BigEndian.AppendUint16(out, uint16(len(m.Inner)))
	for i := range m.Candidates {
		out = appendAddress(out, m.Candidates[i].Agent)
		out = binary.BigEndian.AppendUint64(out, uint64(m.Candidates[i].Incarnation))
	}
	return append(out, m.Inner...)
}

func appendAddress(out []byte, a netip.AddrPort) []byte {
	if !a.IsValid() {
		return append(out, 0, 0, 0, 0, 0, 0)
	}
	ip := a.Addr().As4()
	out = append(out, ip[:]...)
	return binary.BigEndian.AppendUint16(out, a.Port())
}

// parseHeader decodes the header and checks its fields against each other and the
// length of the datagram.
func parseHeader(b []byte) (h header, err error) {
	if len(b) > MaxBytes {
		return h, ErrOversized
	}
	if len(b) < HeaderBytes+TagBytes {
		return h, ErrShort
	}
	if b[versionOffset] != formatVersion {
		return h, ErrVersion
	}
	count := int(b[countOffset])
	if count > MaxCandidates || b[roundOffset] > MaxRounds {
		return h, ErrMalformed
	}
	if !fieldsValid(Kind(b[kindOffset]), count, b[positionOffset], binary.BigEndian.Uint16(b[deniedOffset:])) {
		return h, ErrMalformed
	}
	length := HeaderBytes + count*CandidateBytes + int(binary.BigEndian.Uint16(b[lengthOffset:])) + TagBytes
	if len(b) < length {
		return h, ErrShort
	}
	if len(b) > length {
		return h, ErrMalformed
	}
	h.epoch = b[epochOffset]
	h.sender = binary.BigEndian.Uint64(b[senderOffset:])
	h.sequence = binary.BigEndian.Uint64(b[sequenceOffset:])
	return h, nil
}

// decode fills the message from a datagram that parseHeader has accepted.
func (m *Message) decode(b []byte) {
	m.Kind = Kind(b[kindOffset])
	m.Service = spec.ServiceID(binary.BigEndian.Uint64(b[serviceOffset:]))
	m.Position = b[positionOffset]
	m.Round = b[roundOffset]
	m.Denied = binary.BigEndian.Uint16(b[deniedOffset:])
	m.Balancer = decodeAddress(b[balancerOffset:])
	m.Candidates = m.Candidates[:0]
	at := HeaderBytes
	for range int(b[countOffset]) {
		m.Candidates = append(m.Candidates, Candidate{
			Agent:       decodeAddress(b[at:]),
			Incarnation: node.Incarnation(binary.BigEndian.Uint64(b[at+6:])),
		})
		at += CandidateBytes
	}
	m.Inner = b[at : len(b)-TagBytes : len(b)-TagBytes]
}

func decodeAddress(b []byte) netip.AddrPort {
	ip := [4]byte(b)
	port := binary.BigEndian.Uint16(b[4:])
	if ip == [4]byte{} && port == 0 {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(netip.AddrFrom4(ip), port)
}
