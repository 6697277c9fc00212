package wire

import (
	"encoding/binary"
	"net/netip"

	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/pact"
)

// header is the part of a datagram that the tag is checked by.
type header struct {
	epoch    uint8
	sender   uint64
	sequence uint64
}

// valid tells whether the message keeps the format's limits.
func (m *Message) valid() bool {
	count := len(m.Candidates)
	if count > MaxCandidates || len(m.Inner) > MaxInner(count) {
		return false
	}
	if m.Round > MaxRounds || !validFields(m.Kind, count, m.Position, m.Denied) || !encodable(m.Balancer) {
		return false
	}
	for i := range m.Candidates {
		if !encodable(m.Candidates[i].Agent) {
			return false
		}
	}
	return true
}

func validFields(k Kind, count int, position uint8, denied uint16) bool {
	if k < Packet || k > Answer {
		return false
	}
	if count == 0 {
		return position == 0 && denied == 0
	}
	return int(position) < count && uint32(denied)>>count == 0
}

func encodable(a netip.AddrPort) bool {
	return a.Addr().Is4() || a == netip.AddrPort{}
}

// appendMessage writes all but the tag.
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

// check reads the header and finds out whether the lengths and fields of the
// datagram fit together.
func check(b []byte) (h header, err error) {
	if len(b) > MaxBytes {
		return h, ErrOversized
	}
	if len(b) < HeaderBytes+TagBytes {
		return h, ErrShort
	}
	if b[atVersion] != formatVersion {
		return h, ErrVersion
	}
	count := int(b[atCount])
	if count > MaxCandidates || b[atRound] > MaxRounds {
		return h, ErrMalformed
	}
	if !validFields(Kind(b[atKind]), count, b[atPosition], binary.BigEndian.Uint16(b[atDenied:])) {
		return h, ErrMalformed
	}
	want := HeaderBytes + count*CandidateBytes + int(binary.BigEndian.Uint16(b[atLength:])) + TagBytes
	if len(b) < want {
		return h, ErrShort
	}
	if len(b) > want {
		return h, ErrMalformed
	}
	h.epoch = b[atEpoch]
	h.sender = binary.BigEndian.Uint64(b[atSender:])
	h.sequence = binary.BigEndian.Uint64(b[atSequence:])
	return h, nil
}

// read fills the message from a datagram that was checked.
func (m *Message) read(b []byte) {
	m.Kind = Kind(b[atKind])
	m.Service = pact.ServiceID(binary.BigEndian.Uint64(b[atService:]))
	m.Position = b[atPosition]
	m.Round = b[atRound]
	m.Denied = binary.BigEndian.Uint16(b[atDenied:])
	m.Balancer = readAddress(b[atAddress:])
	m.Candidates = m.Candidates[:0]
	at := HeaderBytes
	for range int(b[atCount]) {
		m.Candidates = append(m.Candidates, Candidate{
			Agent:       readAddress(b[at:]),
			Incarnation: node.Incarnation(binary.BigEndian.Uint64(b[at+6:])),
		})
		at += CandidateBytes
	}
	m.Inner = b[at : len(b)-TagBytes : len(b)-TagBytes]
}

func readAddress(b []byte) netip.AddrPort {
	ip := [4]byte(b)
	port := binary.BigEndian.Uint16(b[4:])
	if ip == [4]byte{} && port == 0 {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(netip.AddrFrom4(ip), port)
}
