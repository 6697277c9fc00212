package agent

import (
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/clementinewing/clementinewing/internal/edge/craft"
	"github.com/clementinewing/clementinewing/internal/edge/stack"
	"github.com/clementinewing/clementinewing/internal/edge/wire"
	"github.com/clementinewing/clementinewing/internal/flow/owner"
	"github.com/clementinewing/clementinewing/internal/flow/probe"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// shard holds the flows of one upstream under its own lock.
type shard struct {
	mutex  sync.Mutex
	table  *owner.Table
	flows  map[link.Key]*flow
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

func newShard(t *owner.Table, s *wire.Sealer) *shard {
	return &shard{
		table:  t,
		flows:  map[link.Key]*flow{},
		sealer: s,
	}
}

// step runs one event through the decisions and carries out what they say. The
// message is the packet at hand, if any.
func (a *Agent) step(e owner.Event, m *wire.Message) {
	s := a.flows
	s.mutex.Lock()
	actions := s.table.Step(time.Now(), e, nil)
	for _, c := range actions {
		s.note(c, m)
	}
	s.mutex.Unlock()
	for _, c := range actions {
		a.perform(s, c, m)
	}
}

// note keeps what later actions on a flow need. A flow that waited for a slot
// has been kept before it is connected.
func (s *shard) note(c owner.Action, m *wire.Message) {
	switch c := c.(type) {
	case owner.Keep:
		s.keep(c.Key, c.Serial, m)
	case owner.Connect:
		f := s.flows[c.Key]
		if m != nil && (f == nil || f.serial != c.Serial) {
			s.keep(c.Key, c.Serial, m)
		}
	}
}

func (s *shard) keep(k link.Key, serial uint64, m *wire.Message) {
	s.flows[k] = &flow{
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

func (s *shard) flow(k link.Key) *flow {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.flows[k]
}

// kept gives the opening of a flow whose handshake is not complete, or nil.
func (s *shard) kept(k link.Key) *wire.Message {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f := s.flows[k]
	if f == nil {
		return nil
	}
	return f.opening
}

func (s *shard) forget(f *flow) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.flows[f.key] == f {
		delete(s.flows, f.key)
	}
}

func (a *Agent) perform(s *shard, c owner.Action, m *wire.Message) {
	switch c := c.(type) {
	case owner.Connect:
		a.connect(s, c)
	case owner.Accept:
		a.accept(s, c.Key)
	case owner.Deliver:
		a.deliver(s, c.Key, m)
	case owner.Pass:
		a.pass(s, c, m)
	case owner.Refuse:
		a.reset(s.opening(c.Key, c.Serial, m))
	case owner.Reset:
		a.reset(m)
	case owner.Drop:
	case owner.Hint:
		a.hint(s, c, m)
	case owner.Abort:
		a.abort(s, c)
	case owner.Emptied:
		close(a.emptied)
	}
}

func (a *Agent) deliver(s *shard, k link.Key, m *wire.Message) {
	if isDatagram(k) {
		a.deliverDatagram(s.flow(k), m.Inner)
		return
	}
	a.stack.Inject(m.Inner)
}

// opening gives the message that an action on an opening is about: the one at
// hand for serial 0, else the kept one, whose flow is given up.
func (s *shard) opening(k link.Key, serial uint64, m *wire.Message) *wire.Message {
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

func (a *Agent) pass(s *shard, c owner.Pass, m *wire.Message) {
	m = s.opening(c.Key, c.Serial, m)
	if m == nil || c.Position >= len(m.Candidates) {
		return
	}
	m.Position = uint8(c.Position)
	m.Denied = c.Denied
	m.Round = c.Round
	next := m.Candidates[c.Position].Agent
	if c.Relay && m.Balancer.IsValid() {
		s.send(a.tunnel, m, m.Balancer)
		return
	}
	s.send(a.link(next), m, next)
	a.stepPeers(probe.Sent{
		Peer: next,
	})
}

func (a *Agent) reset(m *wire.Message) {
	if m == nil {
		return
	}
	p, err := link.Parse(m.Inner)
	if err != nil || p.IsReset() || isDatagram(p.Key) {
		return
	}
	_, _ = a.tunnel.WriteToUDPAddrPort(craft.Reset(nil, p), a.fabric)
}

// hint names this endpoint as the owner. After a handshake was begun the packet
// that the hint is about is the kept opening.
func (a *Agent) hint(s *shard, c owner.Hint, m *wire.Message) {
	if m == nil {
		m = s.kept(c.Key)
	}
	if m == nil {
		return
	}
	s.send(a.tunnel, &wire.Message{
		Kind:     wire.Hint,
		Service:  m.Service,
		Balancer: c.Balancer,
		Candidates: []wire.Candidate{
			{
				Agent:       a.Address(),
				Incarnation: a.incarnation,
			},
		},
		Inner: m.Inner[:min(len(m.Inner), hintBytes)],
	}, c.Balancer)
}

func (s *shard) send(socket *net.UDPConn, m *wire.Message, to netip.AddrPort) {
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

func (s *shard) all() []*flow {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Collect(maps.Values(s.flows))
}
