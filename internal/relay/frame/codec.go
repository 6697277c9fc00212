package frame

import (
	"encoding/binary"

	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/pact"
)

const (
	bitOne   = 1
	bitTwo   = 2
	bitThree = 4
)

var order = binary.BigEndian

// Append writes m behind out.
func Append(out []byte, m Message) []byte {
	switch m := m.(type) {
	case *Carry:
		return appendCarry(out, m)
	case Stray:
		out = append(out, magic, version, kindStray, flag(m.Sure, bitOne)|flag(m.Walked, bitTwo), m.Reason, m.Leg)
		out = order.AppendUint32(out, uint32(m.Host))
		return append(out, m.Packet...)
	case Owner:
		return appendOwner(out, m)
	case Load:
		return appendLoad(out, &m)
	case Pulse:
		return appendPulse(out, m)
	case Roll:
		return appendRoll(out, m)
	case Ask:
		out = append(out, magic, version, kindAsk, flag(m.Acknowledges, bitOne))
		out = order.AppendUint32(out, m.Number)
		out = order.AppendUint32(out, uint32(m.Balancer))
		out = appendKey(out, m.Key)
		return order.AppendUint32(out, m.Acknowledgment)
	case Denial:
		out = append(out, magic, version, kindDeny, flag(m.Sure, bitOne))
		out = order.AppendUint32(out, m.Number)
		out = order.AppendUint32(out, uint32(m.Host))
		return appendKey(out, m.Key)
	default:
		return out
	}
}

func flag(set bool, bit byte) byte {
	if set {
		return bit
	}
	return 0
}

func appendCarry(out []byte, m *Carry) []byte {
	out = append(out, magic, version, kindCarry, m.Flags, m.Position, m.Best, byte(len(m.List)))
	out = order.AppendUint16(out, m.BestLoad)
	out = order.AppendUint16(out, m.Share)
	out = order.AppendUint16(out, m.Aim)
	out = append(out, m.Urgency, m.Leg)
	out = order.AppendUint16(out, m.Busy)
	out = order.AppendUint64(out, uint64(m.Service))
	out = order.AppendUint32(out, uint32(m.Balancer))
	out = order.AppendUint32(out, uint32(m.Home))
	out = appendHosts(out, m.List)
	return append(out, m.Packet...)
}

func appendHosts(out []byte, list []Host) []byte {
	for _, h := range list {
		out = order.AppendUint32(out, uint32(h))
	}
	return out
}

func appendOwner(out []byte, m Owner) []byte {
	out = append(out, magic, version, kindOwner, flag(m.Known, bitOne))
	out = appendKey(out, m.Key)
	out = order.AppendUint32(out, uint32(m.Host))
	return order.AppendUint32(out, m.Initial)
}

func appendKey(out []byte, k link.Key) []byte {
	out = order.AppendUint32(out, k.Caller)
	out = order.AppendUint32(out, k.Target)
	out = order.AppendUint16(out, k.CallerPort)
	out = order.AppendUint16(out, k.TargetPort)
	return append(out, k.Protocol)
}

func appendLoad(out []byte, m *Load) []byte {
	out = append(out, magic, version, kindLoad, flag(m.Proven, bitOne)|flag(m.First, bitTwo)|flag(m.Refuses, bitThree), byte(m.State))
	out = order.AppendUint32(out, uint32(m.Host))
	out = order.AppendUint64(out, m.Process)
	out = order.AppendUint64(out, uint64(m.Service))
	out = order.AppendUint64(out, m.Zone)
	out = order.AppendUint64(out, m.Born)
	out = order.AppendUint64(out, m.Balancers)
	out = order.AppendUint32(out, m.Sequence)
	for _, n := range [...]uint16{m.Slots, m.InUse, m.Average, m.Flows, m.Cold, m.Every} {
		out = order.AppendUint16(out, n)
	}
	return out
}

func appendPulse(out []byte, m Pulse) []byte {
	out = append(out, magic, version, kindPulse, flag(m.Leaving, bitOne)|flag(m.First, bitTwo))
	out = order.AppendUint32(out, uint32(m.Host))
	out = order.AppendUint64(out, m.Process)
	out = order.AppendUint64(out, m.Revision)
	return order.AppendUint32(out, m.Age)
}

func appendRoll(out []byte, m Roll) []byte {
	balancers := m.Balancers[:min(len(m.Balancers), 0xff)]
	sides := m.Sides[:min(len(m.Sides), 0xff)]
	out = append(out, magic, version, kindRoll, byte(m.State), byte(len(balancers)), byte(len(sides)))
	out = order.AppendUint64(out, m.Born)
	out = appendHosts(out, balancers)
	return appendHosts(out, sides)
}

// Decode reads one datagram. Packets in the message share memory with b.
func Decode(b []byte) (m Message, err error) {
	if len(b) < headBytes || b[0] != magic || b[1] != version {
		return nil, ErrForeign
	}
	r := &reader{
		rest: b[headBytes:],
	}
	switch b[2] {
	case kindCarry:
		m = r.carry()
	case kindStray:
		m = r.stray()
	case kindOwner:
		m = r.owner()
	case kindLoad:
		m = r.load()
	case kindPulse:
		m = r.pulse()
	case kindRoll:
		m = r.roll()
	case kindAsk:
		m = r.ask()
	case kindDeny:
		m = r.denial()
	default:
		return nil, ErrForeign
	}
	if r.short {
		return nil, ErrShort
	}
	return m, nil
}

// reader takes numbers off the front of a datagram.
type reader struct {
	rest  []byte
	short bool
}

func (r *reader) take(count int) []byte {
	if len(r.rest) < count {
		r.short = true
		r.rest = nil
		return make([]byte, count)
	}
	out := r.rest[:count]
	r.rest = r.rest[count:]
	return out
}

func (r *reader) byte() byte     { return r.take(1)[0] }
func (r *reader) uint16() uint16 { return order.Uint16(r.take(2)) }
func (r *reader) uint32() uint32 { return order.Uint32(r.take(4)) }
func (r *reader) uint64() uint64 { return order.Uint64(r.take(8)) }
func (r *reader) host() Host     { return Host(r.uint32()) }
func (r *reader) hosts(n int) (list []Host) {
	if n > len(r.rest)/4 {
		r.short = true
		return nil
	}
	list = make([]Host, n)
	for i := range list {
		list[i] = r.host()
	}
	return list
}

func (r *reader) carry() *Carry {
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
		r.short = true
	}
	return c
}

func (r *reader) stray() Stray {
	bits := r.byte()
	m := Stray{
		Sure:   bits&bitOne != 0,
		Walked: bits&bitTwo != 0,
		Reason: r.byte(),
		Leg:    r.byte(),
		Host:   r.host(),
	}
	m.Packet = r.rest
	return m
}

func (r *reader) owner() Owner {
	known := r.byte()&bitOne != 0
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

func (r *reader) ask() Ask {
	acknowledges := r.byte()&bitOne != 0
	return Ask{
		Acknowledges:   acknowledges,
		Number:         r.uint32(),
		Balancer:       r.host(),
		Key:            r.key(),
		Acknowledgment: r.uint32(),
	}
}

func (r *reader) denial() Denial {
	sure := r.byte()&bitOne != 0
	return Denial{
		Sure:   sure,
		Number: r.uint32(),
		Host:   r.host(),
		Key:    r.key(),
	}
}

func (r *reader) load() Load {
	bits := r.byte()
	return Load{
		Proven:    bits&bitOne != 0,
		First:     bits&bitTwo != 0,
		Refuses:   bits&bitThree != 0,
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

func (r *reader) pulse() Pulse {
	bits := r.byte()
	return Pulse{
		Leaving:  bits&bitOne != 0,
		First:    bits&bitTwo != 0,
		Host:     r.host(),
		Process:  r.uint64(),
		Revision: r.uint64(),
		Age:      r.uint32(),
	}
}

func (r *reader) roll() Roll {
	m := Roll{
		State: node.State(r.byte()),
	}
	balancers := int(r.byte())
	sides := int(r.byte())
	m.Born = r.uint64()
	m.Balancers = r.hosts(balancers)
	m.Sides = r.hosts(sides)
	return m
}
