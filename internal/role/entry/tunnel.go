package entry

import (
	"github.com/clementinewing/clementinewing/internal/edge/batch"
	"github.com/clementinewing/clementinewing/internal/edge/wire"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// receive handles the datagrams that agents send to one socket until it closes.
func (e *PacketPath) receive(s *batch.Socket) error {
	reader := batch.NewReader(s, tunnelPackets, wire.MaxBytes)
	opener := wire.NewOpener(e.ring, wire.WithSenders(e.senders))
	sealer := wire.NewSealer(e.ring)
	var m wire.Message
	for {
		n, err := reader.Read()
		if err != nil {
			return err
		}
		for i := range n {
			c := e.handleDatagram(opener, reader, i, &m)
			if c == Relayed {
				c = e.relay(s, sealer, &m)
			}
			e.totals.increment(c)
		}
	}
}

// handleDatagram handles one datagram and returns the counter of its outcome. It
// returns Relayed for a packet, which receive has yet to relay.
func (e *PacketPath) handleDatagram(o *wire.Opener, r *batch.Reader, i int, m *wire.Message) Counter {
	if r.Truncated(i) {
		return FaultCounter(wire.ErrOversized)
	}
	if err := o.Open(r.Datagram(i), m); err != nil {
		return FaultCounter(wire.FaultOf(err))
	}
	switch m.Kind {
	case wire.Hint:
		return e.applyHint(m)
	case wire.Answer:
		return e.applyAnswer(m)
	case wire.Packet:
		return Relayed
	default:
		return KindForeign
	}
}

// relay forwards a packet to a candidate that an agent cannot reach. A packet for
// another balancer is dropped, so that no packet can loop.
func (e *PacketPath) relay(s *batch.Socket, sealer *wire.Sealer, m *wire.Message) Counter {
	_, err := link.ParseKey(m.Inner)
	if err != nil || m.Balancer != e.TunnelAddress() || int(m.Position) >= len(m.Candidates) {
		return RelayForeign
	}
	err = s.WriteTo(sealer.Seal(nil, m), m.Candidates[m.Position].Agent)
	if err != nil {
		return DropSend
	}
	return Relayed
}

// applyHint stores the owner of a flow that an agent reports. A hint with the address
// of another balancer is dropped. One that was meant for an earlier process at this
// address is stored, and costs at most one forward between agents.
func (e *PacketPath) applyHint(m *wire.Message) Counter {
	if m.Balancer != e.TunnelAddress() {
		return HintForeign
	}
	k, err := link.ParseKey(m.Inner)
	if err != nil || len(m.Candidates) != 1 {
		return HintMalformed
	}
	if e.steerer.Hint(e.now(), k, m.Candidates[0].Incarnation) != nil {
		return HintNoOwner
	}
	return HintsKept
}

// applyAnswer records that the agent to which a probe was sent has answered. The
// answer repeats the address of that agent, because its source address may differ.
func (e *PacketPath) applyAnswer(m *wire.Message) Counter {
	if m.Balancer != e.TunnelAddress() || len(m.Candidates) != 1 {
		return AnswerForeign
	}
	e.links.recordAnswer(e.now(), m.Candidates[0].Agent)
	return Answers
}
