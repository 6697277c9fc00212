package frame

import (
	"encoding/binary"

	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

const (
	bit0 = 1
	bit1 = 2
	bit2 = 4
	bit3 = 8
	bit4 = 16
	bit5 = 32
	bit6 = 64
	bit7 = 128
)

var byteOrder = binary.BigEndian

// Append appends the encoded message to out and returns the extended slice.
func Append(out []byte, m Message) []byte {
	switch m := m.(type) {
	case *Forward:
		return appendForward(out, m)
	case Return:
		out = append(out, magic, version, kindReturn, bitIf(m.Conclusive, bit0)|bitIf(m.ListExhausted, bit1)|bitIf(m.FlowEnded, bit2)|bitIf(m.Evacuated, bit3)|bitIf(m.QueueTooLong, bit4), m.Reason, m.LookupStage)
		out = byteOrder.AppendUint32(out, uint32(m.Host))
		return append(out, m.Packet...)
	case Owner:
		return appendOwner(out, m)
	case LoadReport:
		return appendLoadReport(out, &m)
	case Heartbeat:
		return appendHeartbeat(out, m)
	case MemberList:
		return appendMemberList(out, m)
	case OwnerQuery:
		out = append(out, magic, version, kindOwnerQuery, bitIf(m.Acknowledges, bit0))
		out = byteOrder.AppendUint32(out, m.QueryID)
		out = byteOrder.AppendUint32(out, uint32(m.Balancer))
		out = appendKey(out, m.Key)
		return byteOrder.AppendUint32(out, m.Acknowledgment)
	case Denial:
		out = append(out, magic, version, kindDenial, bitIf(m.Conclusive, bit0)|bitIf(m.FlowEnded, bit1))
		out = byteOrder.AppendUint32(out, m.QueryID)
		out = byteOrder.AppendUint32(out, uint32(m.Host))
		return appendKey(out, m.Key)
	case Registration:
		return append(out, magic, version, kindRegistration, byte(m.Status))
	case Evacuations:
		return appendEvacuations(out, &m)
	case OwnerBatch:
		return appendOwnerBatch(out, m)
	case OwnerAnswers:
		return appendOwnerAnswers(out, m)
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

func appendForward(out []byte, m *Forward) []byte {
	out = append(out, magic, version, kindForward, m.Flags, m.Position, m.Best, byte(len(m.Candidates)))
	out = byteOrder.AppendUint16(out, m.BestLoad)
	out = byteOrder.AppendUint16(out, m.FlowsPerSlot)
	out = byteOrder.AppendUint16(out, m.LatencyTargetMS)
	out = append(out, m.Priority, m.LookupStage)
	out = byteOrder.AppendUint16(out, m.AverageLoad)
	out = byteOrder.AppendUint64(out, uint64(m.Service))
	out = byteOrder.AppendUint32(out, uint32(m.Balancer))
	out = byteOrder.AppendUint32(out, uint32(m.Home))
	out = appendHosts(out, m.Candidates)
	return append(out, m.Packet...)
}

func appendHosts(out []byte, list []Host) []byte {
	for _, h := range list {
		out = byteOrder.AppendUint32(out, uint32(h))
	}
	return out
}

func appendOwner(out []byte, m Owner) []byte {
	out = append(out, magic, version, kindOwner, bitIf(m.Known, bit0)|bitIf(m.LoadKnown, bit1))
	out = appendKey(out, m.Key)
	out = byteOrder.AppendUint32(out, uint32(m.Host))
	out = byteOrder.AppendUint32(out, m.InitialSequence)
	if m.LoadKnown {
		out = byteOrder.AppendUint16(out, m.Load)
	}
	return out
}

func appendKey(out []byte, k link.Key) []byte {
	out = byteOrder.AppendUint32(out, k.Caller)
	out = byteOrder.AppendUint32(out, k.Target)
	out = byteOrder.AppendUint16(out, k.CallerPort)
	out = byteOrder.AppendUint16(out, k.TargetPort)
	return append(out, k.Protocol)
}

func appendLoadReport(out []byte, m *LoadReport) []byte {
	bits := bitIf(m.Proven, bit0) | bitIf(m.WantsMembers, bit1) | bitIf(m.Refuses, bit2) | bitIf(m.Registered, bit3)
	// bit7 tells that the fields after IntervalMS follow, which earlier releases do not send.
	bits |= bitIf(m.WantsRegistration, bit4) | bitIf(m.EndpointEnded, bit5) | bitIf(m.EndpointAbsent, bit6) | bit7
	out = append(out, magic, version, kindLoadReport, bits, byte(m.State))
	out = byteOrder.AppendUint32(out, uint32(m.Host))
	out = byteOrder.AppendUint64(out, m.Process)
	out = byteOrder.AppendUint64(out, uint64(m.Service))
	out = byteOrder.AppendUint64(out, m.Zone)
	out = byteOrder.AppendUint64(out, m.StartedAt)
	out = byteOrder.AppendUint64(out, m.BalancersDigest)
	out = byteOrder.AppendUint32(out, m.Sequence)
	for _, n := range [...]uint16{m.Slots, m.InUse, m.Average, m.Flows, m.ColdMS, m.IntervalMS} {
		out = byteOrder.AppendUint16(out, n)
	}
	out = byteOrder.AppendUint64(out, m.Evacuations)
	out = byteOrder.AppendUint16(out, m.ServiceTimeMS)
	return byteOrder.AppendUint16(out, m.Refusals)
}

func appendHeartbeat(out []byte, m Heartbeat) []byte {
	// bit2 tells that the version of the plan follows and bit4 that the evacuated failure domains
	// do, which earlier releases do not send.
	bits := bitIf(m.Leaving, bit0) | bitIf(m.WantsMembers, bit1) | bit2 | bitIf(m.StoreLost, bit3) | bitIf(m.Evacuations != nil, bit4)
	out = append(out, magic, version, kindHeartbeat, bits)
	out = byteOrder.AppendUint32(out, uint32(m.Host))
	out = byteOrder.AppendUint64(out, m.Process)
	out = byteOrder.AppendUint64(out, m.Revision)
	out = byteOrder.AppendUint32(out, m.StoreAgeMS)
	out = byteOrder.AppendUint64(out, m.PlanVersion)
	if m.Evacuations != nil {
		out = appendEvacuationSet(out, m.Evacuations)
	}
	return out
}

func appendMemberList(out []byte, m MemberList) []byte {
	balancers := m.Balancers[:min(len(m.Balancers), 0xff)]
	agents := m.Agents[:min(len(m.Agents), 0xff)]
	out = append(out, magic, version, kindMemberList, byte(m.State), byte(len(balancers)), byte(len(agents)))
	out = byteOrder.AppendUint64(out, m.StartedAt)
	out = appendHosts(out, balancers)
	return appendHosts(out, agents)
}

// Decode parses one datagram. The packet of the returned message shares memory with b.
func Decode(b []byte) (m Message, err error) {
	if len(b) < headerBytes || b[0] != magic || b[1] != version {
		return nil, ErrUnknownFormat
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
	case kindRegistration:
		m = Registration{
			Status: RegistrationStatus(r.byte()),
		}
	case kindEvacuations:
		m = r.evacuations()
	case kindOwnerBatch:
		m = r.ownerBatch()
	case kindOwnerAnswers:
		m = r.ownerAnswers()
	default:
		return nil, ErrUnknownFormat
	}
	if r.truncated {
		return nil, ErrTruncated
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

func (r *reader) forward() *Forward {
	c := &Forward{
		Flags:    r.byte(),
		Position: r.byte(),
		Best:     r.byte(),
	}
	count := int(r.byte())
	c.BestLoad = r.uint16()
	c.FlowsPerSlot = r.uint16()
	c.LatencyTargetMS = r.uint16()
	c.Priority = r.byte()
	c.LookupStage = r.byte()
	c.AverageLoad = r.uint16()
	c.Service = spec.ServiceID(r.uint64())
	c.Balancer = r.host()
	c.Home = r.host()
	c.Candidates = r.hosts(count)
	c.Packet = r.rest
	if int(c.Position) >= count || count > MaxCandidates {
		r.truncated = true
	}
	return c
}

func (r *reader) returned() Return {
	bits := r.byte()
	m := Return{
		Conclusive:    bits&bit0 != 0,
		ListExhausted: bits&bit1 != 0,
		FlowEnded:     bits&bit2 != 0,
		Evacuated:     bits&bit3 != 0,
		QueueTooLong:  bits&bit4 != 0,
		Reason:        r.byte(),
		LookupStage:   r.byte(),
		Host:          r.host(),
	}
	m.Packet = r.rest
	return m
}

func (r *reader) owner() Owner {
	bits := r.byte()
	m := Owner{
		Known:           bits&bit0 != 0,
		LoadKnown:       bits&bit1 != 0,
		Key:             r.key(),
		Host:            r.host(),
		InitialSequence: r.uint32(),
	}
	if m.LoadKnown {
		m.Load = r.uint16()
	}
	return m
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

func (r *reader) ownerQuery() OwnerQuery {
	acknowledges := r.byte()&bit0 != 0
	return OwnerQuery{
		Acknowledges:   acknowledges,
		QueryID:        r.uint32(),
		Balancer:       r.host(),
		Key:            r.key(),
		Acknowledgment: r.uint32(),
	}
}

func (r *reader) denial() Denial {
	bits := r.byte()
	return Denial{
		Conclusive: bits&bit0 != 0,
		FlowEnded:  bits&bit1 != 0,
		QueryID:    r.uint32(),
		Host:       r.host(),
		Key:        r.key(),
	}
}

func (r *reader) loadReport() LoadReport {
	bits := r.byte()
	m := LoadReport{
		Proven:       bits&bit0 != 0,
		WantsMembers: bits&bit1 != 0,
		Refuses:      bits&bit2 != 0,
		Registered:   bits&bit3 != 0,

		WantsRegistration: bits&bit4 != 0,
		EndpointEnded:     bits&bit5 != 0,
		EndpointAbsent:    bits&bit6 != 0,

		State:           node.State(r.byte()),
		Host:            r.host(),
		Process:         r.uint64(),
		Service:         spec.ServiceID(r.uint64()),
		Zone:            r.uint64(),
		StartedAt:       r.uint64(),
		BalancersDigest: r.uint64(),
		Sequence:        r.uint32(),
		Slots:           r.uint16(),
		InUse:           r.uint16(),
		Average:         r.uint16(),
		Flows:           r.uint16(),
		ColdMS:          r.uint16(),
		IntervalMS:      r.uint16(),
	}
	if bits&bit7 != 0 {
		m.AnswersBatches = true
		m.Evacuations = r.uint64()
		m.ServiceTimeMS = r.uint16()
		m.Refusals = r.uint16()
	}
	return m
}

func (r *reader) heartbeat() Heartbeat {
	bits := r.byte()
	m := Heartbeat{
		Leaving:      bits&bit0 != 0,
		WantsMembers: bits&bit1 != 0,
		StoreLost:    bits&bit3 != 0,
		Host:         r.host(),
		Process:      r.uint64(),
		Revision:     r.uint64(),
		StoreAgeMS:   r.uint32(),
	}
	if bits&bit2 != 0 {
		m.PlanVersion = r.uint64()
	}
	if bits&bit4 != 0 {
		m.Evacuations = r.evacuationSet()
	}
	return m
}

func (r *reader) memberList() MemberList {
	m := MemberList{
		State: node.State(r.byte()),
	}
	balancers := int(r.byte())
	agents := int(r.byte())
	m.StartedAt = r.uint64()
	m.Balancers = r.hosts(balancers)
	m.Agents = r.hosts(agents)
	return m
}
