package member

import (
	"net/netip"

	"github.com/clementinewing/clementinewing/internal/fleet/lease"
	"github.com/clementinewing/clementinewing/internal/fleet/spread"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// Exchange is what one balancer says to another.
type Exchange struct {
	// From and Incarnation are those of the sender.
	From        netip.AddrPort
	Incarnation node.Incarnation
	Message     spread.Message
	// Doubts are records whose lease has lapsed at the sender.
	Doubts []lease.Key
}

// ExchangeReply answers an Exchange.
type ExchangeReply struct {
	Message spread.Message
	// Vouches are the doubted records whose announcer was heard lately.
	Vouches []lease.Key
}

// Head names the file in force.
type Head struct {
	Revision uint64
	// Hash names the content of the file.
	Hash string
}

// Event is one of Tick, Update, Seeds, Adopted, Used, Answered, Renewed,
// Exchanged, Returned and Expired.
type Event interface{ event() }

// Tick tells that time has passed. It comes every TickInterval.
type Tick struct{}

// Update announces the balancer for the first time or with a change.
type Update struct {
	Endpoint node.Endpoint
}

// Seeds replaces the control addresses that are tried while no peer is known.
type Seeds struct {
	Addresses []netip.AddrPort
}

// Adopted tells that the balancer has put a file in force.
type Adopted struct {
	Head Head
}

// Used tells that a packet was handed to an endpoint.
type Used struct {
	Key lease.Key
}

// Answered tells that a datagram came from an endpoint.
type Answered struct {
	Key lease.Key
}

// Renewed is a Renew that has arrived.
type Renewed struct {
	Request uint64
	Renew   lease.Renew
}

// Exchanged is an Exchange that has arrived.
type Exchanged struct {
	Request  uint64
	Exchange Exchange
}

// Returned is the answer to a Call; one of Renew and Exchange is set, as in the
// Call.
type Returned struct {
	ID       uint64
	Renew    *lease.RenewReply
	Exchange *ExchangeReply
}

// Expired is a Call that was not answered in time or was refused.
type Expired struct {
	ID uint64
}

func (Tick) event()      {}
func (Update) event()    {}
func (Seeds) event()     {}
func (Adopted) event()   {}
func (Used) event()      {}
func (Answered) event()  {}
func (Renewed) event()   {}
func (Exchanged) event() {}
func (Returned) event()  {}
func (Expired) event()   {}

// Action is one of Call, AnswerRenew, AnswerExchange, Probe, Behind, Superseded
// and Changed.
type Action interface{ action() }

// Call asks for a message to be sent and its answer to be returned; one of Renew
// and Exchange is set. Fresh asks for a new link.
type Call struct {
	ID       uint64
	To       netip.AddrPort
	Fresh    bool
	Renew    *lease.Renew
	Exchange *Exchange
}

// AnswerRenew replies to the Renewed event with the same request number.
type AnswerRenew struct {
	Request uint64
	Reply   lease.RenewReply
}

// AnswerExchange replies to the Exchanged event with the same request number.
type AnswerExchange struct {
	Request uint64
	Reply   ExchangeReply
}

// Probe asks for a probe of the endpoint's side process; Fresh asks for a new
// link, from another source port.
type Probe struct {
	Endpoint node.Endpoint
	Fresh    bool
}

// Behind tells that another balancer has a later file in force.
type Behind struct {
	Head Head
}

// Superseded tells that another process has taken the balancer's address.
type Superseded struct{}

// Changed tells that the endpoints have changed since the last Changed.
type Changed struct{}

func (Call) action()           {}
func (AnswerRenew) action()    {}
func (AnswerExchange) action() {}
func (Probe) action()          {}
func (Behind) action()         {}
func (Superseded) action()     {}
func (Changed) action()        {}
