// Package frame is the datagram format between balancers and side processes on
// platforms where the upstream itself ends the flows: packets on their way to an
// endpoint, hints about owners, and what processes tell each other about
// themselves.
//
// Every datagram starts with a magic byte, the version of the format and the
// kind of the message; numbers are big-endian.
package frame

import (
	"encoding/binary"
	"errors"
	"net/netip"

	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/pact"
)

const (
	magic   = 0xc7
	version = 1

	kindCarry = 1
	kindStray = 2
	kindOwner = 3
	kindLoad  = 4
	kindPulse = 5
	kindRoll  = 6
	kindAsk   = 7
	kindDeny  = 8

	headBytes = 3
	// MaxList bounds the candidates that a balancer gives to a Carry.
	MaxList = 64
	// MaxCandidates bounds those of a Carry on its way, to which side processes add
	// owners they know: length and position travel as bytes, of which one value
	// means none.
	MaxCandidates = NoBest - 1
)

// Errors of Decode.
var (
	ErrForeign = errors.New("datagram is not of this format")
	ErrShort   = errors.New("datagram is shorter than its message")
)

// Message is one datagram: Carry, Stray, Owner, Load, Pulse, Roll, Ask or Denial.
type Message interface{ message() }

// Host is the IPv4 address of a process of the fleet; all use the same ports.
type Host uint32

// HostOf takes the IPv4 address of an address.
func HostOf(a netip.Addr) Host {
	b := a.Unmap().As4()
	return Host(binary.BigEndian.Uint32(b[:]))
}

// Addr gives the host as an address.
func (h Host) Addr() netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], uint32(h))
	return netip.AddrFrom4(b)
}

// String gives the host in dotted form.
func (h Host) String() string {
	return h.Addr().String()
}

// Bits of a Carry.
const (
	// Settled tells that the list holds every endpoint that could own the flow,
	// so that a flow which all of them deny has no owner.
	Settled = 1 << iota
	// Cached tells that the first candidate was believed to be the owner.
	Cached
	// Unsure tells that a candidate passed did not answer.
	Unsure
	// Chosen tells that the candidate has the least load of those asked and is
	// to take the opening even without a free slot.
	Chosen
)

// NoBest is the Best of a Carry when no candidate passed could take the opening.
const NoBest = 0xff

// Carry is a packet on its way along a list of candidates.
type Carry struct {
	Flags uint8
	// Position is the candidate that is asked now.
	Position uint8
	// Best is the position of the least loaded candidate that was passed, and
	// BestLoad its load in 64ths of its slots.
	Best     uint8
	BestLoad uint16
	// Leg counts the lists before this one, where all candidates do not fit into
	// one.
	Leg uint8
	// Share is how many flows a slot of the service holds on average, in 16ths; 0
	// is unknown. It counts for openings only.
	Share uint16
	// Aim is the latency objective of the route in milliseconds, 0 if it is not known,
	// and Urgency its priority, 0 before others.
	Aim     uint16
	Urgency uint8
	// Busy is what the endpoints of the service have in hand on average, in 64ths of
	// their slots; 0 is unknown. It counts for packets of open flows only.
	Busy    uint16
	Service pact.ServiceID
	// Balancer is where hints about the owner go.
	Balancer Host
	// Home is the candidate that remembers the owners of flows placed elsewhere.
	Home Host
	List []Host
	// Packet is the caller's packet, unchanged.
	Packet []byte
}

// Stray is a packet that comes back to the balancer: its flow was not found, or
// it is an opening that no candidate takes.
type Stray struct {
	Host Host
	// Reason is why the last candidate did not take it, as the sender counts.
	Reason uint8
	// Sure tells that the flow is with none of those asked; otherwise one of
	// them did not answer or the list was not complete.
	Sure bool
	// Walked tells that a whole list was asked, not just the believed owner, and
	// Leg which one.
	Walked bool
	Leg    uint8
	Packet []byte
}

// Owner says who owns a flow.
type Owner struct {
	Key  link.Key
	Host Host
	// Initial is the sequence number of the endpoint's SYN; it tells two owners
	// of the same opening apart. It counts only if Known.
	Initial uint32
	Known   bool
}

// Load is what a side process says of itself and its endpoint.
type Load struct {
	Host Host
	// Process is drawn when the side process starts.
	Process uint64
	Service pact.ServiceID
	Zone    uint64
	State   node.State
	// Proven tells that the endpoint has been heard of in this process's life.
	Proven bool
	// Refuses tells that the endpoint returned an opening and has not reported in
	// this process's life.
	Refuses bool
	// First asks for a Roll in any case.
	First bool
	// Born is when the endpoint started, in Unix milliseconds; 0 is unknown.
	Born uint64
	// Sequence rises with each Load of a process.
	Sequence uint32
	Slots    uint16
	// InUse counts requests in hand and accepted openings, Average the same
	// over the last seconds in 64ths of a request.
	InUse   uint16
	Average uint16
	// Flows are those that are open.
	Flows uint16
	// Cold is how many milliseconds the endpoint stays slow.
	Cold uint16
	// Every is the interval of the sender's reports in milliseconds.
	Every uint16
	// Balancers is the digest of the balancers that the sender knows, if the receiver
	// is to check it, else NoCheck.
	Balancers uint64
}

// NoCheck is the Balancers of a Load whose receiver is not asked to check them.
const NoCheck = 0

// Pulse is what a balancer says of itself to balancers and side processes.
type Pulse struct {
	Host    Host
	Process uint64
	// Revision is the store's revision of the plan in force here; 0 is none.
	Revision uint64
	// Age is how many milliseconds ago the store was last asked with success,
	// by whichever balancer; NoAge means never.
	Age     uint32
	Leaving bool
	// First asks for a Roll.
	First bool
}

// NoAge is the Age of a Pulse that knows of no answer of the store.
const NoAge = 0xffffffff

// Roll lists the members that a balancer knows.
type Roll struct {
	Balancers []Host
	Sides     []Host
	// Record is what the balancer knows of the side process it answers: state
	// and start of its endpoint. State 0 is nothing.
	State node.State
	Born  uint64
}

// Ask asks a side process whether its endpoint owns a flow.
type Ask struct {
	// Number names the inquiry; it comes back in a Denial.
	Number uint32
	// Balancer is where the answer goes: an Owner or a Denial.
	Balancer Host
	Key      link.Key
	// Acknowledgment is that of the caller's packet, if it Acknowledges anything.
	Acknowledgment uint32
	Acknowledges   bool
}

// Denial says that an endpoint does not own a flow.
type Denial struct {
	Number uint32
	Host   Host
	Key    link.Key
	// Sure is not set if the side process cannot tell without the flow's packet.
	Sure bool
}

func (*Carry) message() {}
func (Stray) message()  {}
func (Owner) message()  {}
func (Load) message()   {}
func (Pulse) message()  {}
func (Roll) message()   {}
func (Ask) message()    {}
func (Denial) message() {}
