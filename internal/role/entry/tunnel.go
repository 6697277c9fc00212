package entry

import (
	"github.com/clementinewing/clementinewing/internal/edge/batch"
	"github.com/clementinewing/clementinewing/internal/edge/wire"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// receive reads what side processes send to one socket until it closes.
func (e *Entry) receive(s *batch.Socket) error {
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
			c := e.take(opener, reader, i, &m)
			if c == Relayed {
				c = e.relay(s, sealer, &m)
			}
			e.totals.one(c)
		}
	}
}

// take handles one datagram and gives the counter of what became of it.
func (e *Entry) take(o *wire.Opener, r *batch.Reader, i int, m *wire.Message) Counter {
	if r.Truncated(i) {
		return Tunnel(wire.ErrOversized)
	}
	if err := o.Open(r.Datagram(i), m); err != nil {
		return Tunnel(wire.FaultOf(err))
	}
	switch m.Kind {
	case wire.Hint:
		return e.hint(m)
	case wire.Answer:
		return e.answer(m)
	case wire.Packet:
		return Relayed
	default:
		return KindForeign
	}
}

// relay sends a packet on to the candidate that a side process cannot reach. A
// packet that names another balancer goes nowhere, so that none goes in circles.
func (e *Entry) relay(s *batch.Socket, sealer *wire.Sealer, m *wire.Message) Counter {
	_, err := link.ParseKey(m.Inner)
	if err != nil || m.Balancer != e.Tunnel() || int(m.Position) >= len(m.Candidates) {
		return RelayForeign
	}
	err = s.WriteTo(sealer.Seal(nil, m), m.Candidates[m.Position].Agent)
	if err != nil {
		return DropSend
	}
	return Relayed
}

// hint keeps the owner that a side process names. A hint that was meant for
// another balancer, or for this address in another life, costs a hand-over at
// most.
func (e *Entry) hint(m *wire.Message) Counter {
	if m.Balancer != e.Tunnel() {
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

// answer believes the side process that the probe was sent to, which the answer
// repeats, and not the address that it came from.
func (e *Entry) answer(m *wire.Message) Counter {
	if m.Balancer != e.Tunnel() || len(m.Candidates) != 1 {
		return AnswerForeign
	}
	e.links.answered(e.now(), m.Candidates[0].Agent)
	return Answers
}
