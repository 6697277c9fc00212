package frame

import (
	"encoding/binary"

	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/pact"
)

const (
	bit0 = 1
	bit1 = 2
	bit2 = 4
)

var byteOrder = binary.BigEndian

// Append appends the encoded message to out and returns the extended slice.
func Append(out []byte, m Message) []byte {
	switch m := m.(type) {
	case *Carry:
		return appendForward(out, m)
	case Stray:
		out = append(out, magic, version, kindReturn, bitIf(m.Sure, bit0)|bitIf(m.Walked, bit1), m.Reason, m.Leg)
		out = byteOrder.AppendUint32(out, uint32(m.Host))
		return append(out, m.Packet...)
	case Owner:
		return appendOwner(out, m)
	case Load:
		return appendLoadReport(out, &m)
	case Pulse:
		return appendHeartbeat(out, m)
	case Roll:
		return appendMemberList(out, m)
	case Ask:
		out = append(out, magic, version, kindOwnerQuery, bitIf(m.Acknowledges, bit0))
		out = byteOrder.AppendUint32(out, m.Number)
		out = byteOrder.AppendUint32(out, uint32(m.Balancer))
		out = appendKey(out, m.Key)
		return byteOrder.AppendUint32(out, m.Acknowledgment)
	case Denial:
		out = append(out, magic, version, kindDenial, bitIf(m.Sure, bit0))
		out = byteOrder.AppendUint32(out, m.Number)
		out = byteOrder.AppendUint32(out, uint32(m.Host))
		return appendKey(out, m.Key)
	default:
		return out
	}
}

func bitIf(set bool, bit byte) byte {
	if set {
		return bit
	}
	return 0
}

func appendForward(out []byte, m *Carry) []byte {
	out = append(out, magic, version, kindForward, m.Flags, m.Position, m.Best, byte(len(m.List)))
	out = byteOrder.AppendUint16(out, m.BestLoad)
	out = byteOrder.AppendUint16(out, m.Share)
	out = byteOrder.AppendUint16(out, m.Aim)
	out = append(out, m.Urgency, m.Leg)
	out = byteOrder.AppendUint16(out, m.Busy)
	out = byteOrder.AppendUint64(out, uint64(m.Service))
	out = byteOrder.AppendUint32(out, uint32(m.Balancer))
	out = byteOrder.AppendUint32(out, uint32(m.Home))
	out = appendHosts(out, m.List)
	return append(out, m.Packet...)
}

func appendHosts(out []byte, list []Host) []byte {
	for _, h := range list {
		out = byteOrder.AppendUint32(out, uint32(h))
	}
	return out
}

func appendOwner(out []byte, m Owner) []byte {
	out = append(out, magic, version, kindOwner, bitIf(m.Known, bit0))
	out = appendKey(out, m.Key)
	out = byteOrder.AppendUint32(out, uint32(m.Host))
	return byteOrder.AppendUint32(out, m.Initial)
}

func appendKey(out []byte, k link.Key) []byte {
	out = byteOrder.AppendUint32(out, k.Caller)
	out = byteOrder.AppendUint32(out, k.Target)
	out = byteOrder.AppendUint16(out, k.CallerPort)
	out = byteOrder.AppendUint16(out, k.TargetPort)
	return append(out, k.Protocol)
}

func appendLoadReport(out []byte, m *Load) []byte {
	out = append(out, magic, version, kindLoadReport, bitIf(m.Proven, bit0)|bitIf(m.First, bit1)|bitIf(m.Refuses, bit2), byte(m.State))
	out = byteOrder.AppendUint32(out, uint32(m.Host))
	out = byteOrder.AppendUint64(out, m.Process)
	out = byteOrder.AppendUint64(out, uint64(m.Service))
	out = byteOrder.AppendUint64(out, m.Zone)
	out = byteOrder.AppendUint64(out, m.Born)
	out = byteOrder.AppendUint64(out, m.Balancers)
	out = byteOrder.AppendUint32(out, m.Sequence)
	for _, n := range [...]uint16{m.Slots, m.InUse, m.Average, m.Flows, m.Cold, m.Every} {
		out = byteOrder.AppendUint16(out, n)
	}
	return out
}

func appendHeartbeat(out []byte, m Pulse) []byte {
	out = append(out, magic, version, kindHeartbeat, bitIf(m.Leaving, bit0)|bitIf(m.First, bit1))
	out = byteOrder.AppendUint32(out, uint32(m.Host))
	out = byteOrder.AppendUint64(out, m.Process)
	out = byteOrder.AppendUint64(out, m.Revision)
	return byteOrder.AppendUint32(out, m.Age)
}

func appendMemberList(out []byte, m Roll) []byte {
	balancers := m.Balancers[:min(len(m.Balancers), 0xff)]
	agents := m.Sides[:min(len(m.Sides), 0xff)]
	out = append(out, magic, version, kindMemberList, byte(m.State), byte(len(balancers)), byte(len(agents)))
	out = byteOrder.AppendUint64(out, m.Born)
	out = appendHosts(out, balancers)
	return appendHosts(out, agents)
}

// Decode parses one datagram. The packet of the returned message shares memory with b.
func Decode(b []byte) (m Message, err error) {
	if len(b) < headerBytes || b[0] != magic || b[1] != version {
		return nil, ErrForeign
	}
	r := &reader{
		rest: b[headerBytes:],
	}
	switch b[2] {
	case kindForward:
		m = r.forward()
	case kindReturn:
		m = r.returned()
	case kindOwner:
		m = r.owner()
	case kindLoadReport:
		m = r.loadReport()
	case kindHeartbeat:
		m = r.heartbeat()
	case kindMemberList:
		m = r.memberList()
	case kindOwnerQuery:
		m = r.ownerQuery()
	case kindDenial:
		m = r.denial()
	default:
		return nil, ErrForeign
	}
	if r.truncated {
		return nil, ErrShort
	}
	return m, nil
}

// reader consumes fields from the front of a datagram. A read past the end sets truncated
// and yields zeros.
type reader struct {
	rest      []byte
	truncated bool
}

func (r *reader) next(count int) []byte {
	if len(r.rest) < count {
		r.truncated = true
		r.rest = nil
		return make([]byte, count)
	}
	out := r.rest[:count]
	r.rest = r.rest[count:]
	return out
}

func (r *reader) byte() byte     { return r.next(1)[0] }
func (r *reader) uint16() uint16 { return byteOrder.Uint16(r.next(2)) }
func (r *reader) uint32() uint32 { return byteOrder.Uint32(r.next(4)) }
func (r *reader) uint64() uint64 { return byteOrder.Uint64(r.next(8)) }
func (r *reader) host() Host     { return Host(r.uint32()) }
func (r *reader) hosts(n int) (list []Host) {
	if n > len(r.rest)/4 {
		r.truncated = true
		return nil
	}
	list = make([]Host, n)
	for i := range list {
		list[i] = r.host()
	}
	return list
}

func (r *reader) forward() *Carry {
	c := &Carry{
		Flags:    r.byte(),
		Position: r.byte(),
		Best:     r.byte(),
	}
	count := int(r.byte())
	c.BestLoad = r.uint16()
	c.Share = r.uint16()
	c.Aim = r.uint16()
	c.Urgency = r.byte()
	c.Leg = r.byte()
	c.Busy = r.uint16()
	c.Service = pact.ServiceID(r.uint64())
	c.Balancer = r.host()
	c.Home = r.host()
	c.List = r.hosts(count)
	c.Packet = r.rest
	if int(c.Position) >= count || count > MaxCandidates {
		r.truncated = true
	}
	return c
}

func (r *reader) returned() Stray {
	bits := r.byte()
	m := Stray{
		Sure:   bits&bit0 != 0,
		Walked: bits&bit1 != 0,
		Reason: r.byte(),
		Leg:    r.byte(),
		Host:   r.host(),
	}
	m.Packet = r.rest
	return m
}

func (r *reader) owner() Owner {
	known := r.byte()&bit0 != 0
	return Owner{
		Known:   known,
		Key:     r.key(),
		Host:    r.host(),
		Initial: r.uint32(),
	}
}

func (r *reader) key() link.Key {
	return link.Key{
		Caller:     r.uint32(),
		Target:     r.uint32(),
		CallerPort: r.uint16(),
		TargetPort: r.uint16(),
		Protocol:   r.byte(),
	}
}

func (r *reader) ownerQuery() Ask {
	acknowledges := r.byte()&bit0 != 0
	return Ask{
		Acknowledges:   acknowledges,
		Number:         r.uint32(),
		Balancer:       r.host(),
		Key:            r.key(),
		Acknowledgment: r.uint32(),
	}
}

func (r *reader) denial() Denial {
	sure := r.byte()&bit0 != 0
	return Denial{
		Sure:   sure,
		Number: r.uint32(),
		Host:   r.host(),
		Key:    r.key(),
	}
}

func (r *reader) loadReport() Load {
	bits := r.byte()
	return Load{
		Proven:    bits&bit0 != 0,
		First:     bits&bit1 != 0,
		Refuses:   bits&bit2 != 0,
		State:     node.State(r.byte()),
		Host:      r.host(),
		Process:   r.uint64(),
		Service:   pact.ServiceID(r.uint64()),
		Zone:      r.uint64(),
		Born:      r.uint64(),
		Balancers: r.uint64(),
		Sequence:  r.uint32(),
		Slots:     r.uint16(),
		InUse:     r.uint16(),
		Average:   r.uint16(),
		Flows:     r.uint16(),
		Cold:      r.uint16(),
		Every:     r.uint16(),
	}
}

func (r *reader) heartbeat() Pulse {
	bits := r.byte()
	return Pulse{
		Leaving:  bits&bit0 != 0,
		First:    bits&bit1 != 0,
		Host:     r.host(),
		Process:  r.uint64(),
		Revision: r.uint64(),
		Age:      r.uint32(),
	}
}

func (r *reader) memberList() Roll {
	m := Roll{
		State: node.State(r.byte()),
	}
	balancers := int(r.byte())
	agents := int(r.byte())
	m.Born = r.uint64()
	m.Balancers = r.hosts(balancers)
	m.Sides = r.hosts(agents)
	return m
}
