package agent

import (
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"

	"github.com/clementinewing/clementinewing/internal/edge/stack"
	"github.com/clementinewing/clementinewing/internal/edge/wire"
	"github.com/clementinewing/clementinewing/internal/flow/owner"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// flows holds the flows of one upstream under its own lock.
type flows struct {
	mutex  sync.Mutex
	table  *owner.Table
	byKey  map[link.Key]*flow
	sender sync.Mutex
	sealer *wire.Sealer
	buffer []byte
}

// flow is what the side process holds of a flow besides the decisions' state.
type flow struct {
	key    link.Key
	serial uint64
	// opening is the message that asked for the flow, kept until it is answered.
	opening  *wire.Message
	upstream *net.TCPConn
	conn     *stack.Conn
	// datagrams is the socket to the upstream of a datagram flow.
	datagrams *net.UDPConn
	aborted   bool
}

func newFlows(t *owner.Table, s *wire.Sealer) *flows {
	return &flows{
		table:  t,
		byKey:  map[link.Key]*flow{},
		sealer: s,
	}
}

// step runs one event through the decisions and carries out what they say. The
// message is the packet at hand, if any.
// note keeps what later actions on a flow need. A flow that waited for a slot
// has been kept before it is connected.
func (s *flows) note(c owner.Action, m *wire.Message) {
	switch c := c.(type) {
	case owner.Queue:
		s.keep(c.Key, c.Serial, m)
	case owner.Connect:
		f := s.byKey[c.Key]
		if m != nil && (f == nil || f.serial != c.Serial) {
			s.keep(c.Key, c.Serial, m)
		}
	}
}

func (s *flows) keep(k link.Key, serial uint64, m *wire.Message) {
	s.byKey[k] = &flow{
		key:     k,
		serial:  serial,
		opening: cloneMessage(m),
	}
}

// cloneMessage copies a message out of the datagram that it came in.
func cloneMessage(m *wire.Message) *wire.Message {
	c := *m
	c.Candidates = slices.Clone(m.Candidates)
	c.Inner = slices.Clone(m.Inner)
	return &c
}

func (s *flows) flow(k link.Key) *flow {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.byKey[k]
}

// kept gives the opening of a flow whose handshake is not complete, or nil.
func (s *flows) kept(k link.Key) *wire.Message {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f := s.byKey[k]
	if f == nil {
		return nil
	}
	return f.opening
}

func (s *flows) forget(f *flow) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.byKey[f.key] == f {
		delete(s.byKey, f.key)
	}
}

// opening gives the message that an action on an opening is about: the one at
// hand for serial 0, else the kept one, whose flow is given up.
func (s *flows) opening(k link.Key, serial uint64, m *wire.Message) *wire.Message {
	if serial == 0 {
		return m
	}
	f := s.flow(k)
	if f == nil || f.serial != serial {
		return nil
	}
	s.forget(f)
	if f.upstream != nil {
		cancel(f.upstream)
	}
	return f.opening
}

// hint names this endpoint as the owner. After a handshake was begun the packet
// that the hint is about is the kept opening.
func (s *flows) send(socket *net.UDPConn, m *wire.Message, to netip.AddrPort) {
	s.sender.Lock()
	defer s.sender.Unlock()
	s.buffer = s.sealer.Seal(s.buffer[:0], m)
	_, _ = socket.WriteToUDPAddrPort(s.buffer, to)
}

// cutAll cuts every flow.
func (a *Agent) cutAll() {
	for _, f := range a.flows.all() {
		a.cut(a.flows, f)
	}
}

func (s *flows) all() []*flow {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Collect(maps.Values(s.byKey))
}
