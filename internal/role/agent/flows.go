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

// flows holds the flows of one upstream; mutex guards them and the owner table,
// sendMutex the sealer and its buffer.
type flows struct {
	mutex     sync.Mutex
	table     *owner.Table
	byKey     map[link.Key]*flow
	sendMutex sync.Mutex
	sealer    *wire.Sealer
	buffer    []byte
}

// flow holds the sockets and the opening of a flow; its state is in the owner
// table.
type flow struct {
	key link.Key
	// serial distinguishes flows that have the same key one after the other.
	serial uint64
	// opening is the message with the first packet of the flow. A TCP flow keeps it
	// until the handshake is complete.
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

// storeOpening stores the opening that later actions on the flow need. A flow that
// waited for a slot is stored already when it connects.
func (s *flows) storeOpening(c owner.Action, m *wire.Message) {
	switch c := c.(type) {
	case owner.Queue:
		s.storeFlow(c.Key, c.Serial, m)
	case owner.Connect:
		f := s.byKey[c.Key]
		if m != nil && (f == nil || f.serial != c.Serial) {
			s.storeFlow(c.Key, c.Serial, m)
		}
	}
}

func (s *flows) storeFlow(k link.Key, serial uint64, m *wire.Message) {
	s.byKey[k] = &flow{
		key:     k,
		serial:  serial,
		opening: cloneMessage(m),
	}
}

// cloneMessage copies a message, whose slices point into the receive buffer.
func cloneMessage(m *wire.Message) *wire.Message {
	c := *m
	c.Candidates = slices.Clone(m.Candidates)
	c.Inner = slices.Clone(m.Inner)
	return &c
}

func (s *flows) lookup(k link.Key) *flow {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.byKey[k]
}

// pendingOpening returns the opening of a flow whose handshake is not complete, or
// nil.
func (s *flows) pendingOpening(k link.Key) *wire.Message {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f := s.byKey[k]
	if f == nil {
		return nil
	}
	return f.opening
}

func (s *flows) remove(f *flow) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.byKey[f.key] == f {
		delete(s.byKey, f.key)
	}
}

// takeOpening returns the packet that an action refers to. For serial 0 that is m.
// Otherwise it is the stored opening of the flow; the flow is removed and its upstream
// connection reset.
func (s *flows) takeOpening(k link.Key, serial uint64, m *wire.Message) *wire.Message {
	if serial == 0 {
		return m
	}
	f := s.lookup(k)
	if f == nil || f.serial != serial {
		return nil
	}
	s.remove(f)
	if f.upstream != nil {
		resetConn(f.upstream)
	}
	return f.opening
}

// send seals a message and sends it to an address.
func (s *flows) send(socket *net.UDPConn, m *wire.Message, to netip.AddrPort) {
	s.sendMutex.Lock()
	defer s.sendMutex.Unlock()
	s.buffer = s.sealer.Seal(s.buffer[:0], m)
	_, _ = socket.WriteToUDPAddrPort(s.buffer, to)
}

// abortAll aborts every flow.
func (a *Agent) abortAll() {
	for _, f := range a.flows.all() {
		a.abortFlow(a.flows, f)
	}
}

func (s *flows) all() []*flow {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Collect(maps.Values(s.byKey))
}
