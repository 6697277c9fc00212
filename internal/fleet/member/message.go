package member

import (
	"net/netip"

	"github.com/clementinewing/clementinewing/internal/fleet/gossip"
	"github.com/clementinewing/clementinewing/internal/fleet/lease"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// Exchange is a gossip request from one balancer to another.
type Exchange struct {
	// From is the control address of the sender and Incarnation its incarnation.
	From        netip.AddrPort
	Incarnation node.Incarnation
	Message     gossip.Message
	// SuspectKeys are the keys of the records whose lease has expired at the sender.
	// Their health has not changed yet. The receiver answers which of their announcers
	// it has heard recently.
	QueriedKeys []lease.Key
}

// ExchangeReply answers an Exchange.
type ExchangeReply struct {
	Message gossip.Message
	// HeardKeys are the keys of those queried records whose announcer the replying
	// balancer has heard recently.
	HeardKeys []lease.Key
}

// Head identifies the configuration file in force.
type Head struct {
	Revision uint64
	// Hash identifies the content of the file.
	Hash string
}

// Event is an input of Node.Step: Tick, EndpointUpdated, SeedsChanged, HeadAdopted,
// EndpointUsed, PacketFromEndpoint, RenewReceived, ExchangeReceived, ReplyReceived
// or CallFailed.
type Event interface{ event() }

// Tick reports that time has passed. The adapter sends it every TickInterval.
type Tick struct{}

// EndpointUpdated announces the balancer itself, for the first time or after a
// change.
type EndpointUpdated struct {
	Endpoint node.Endpoint
}

// SeedsChanged replaces the control addresses that are contacted while no peer is
// known.
type SeedsChanged struct {
	Addresses []netip.AddrPort
}

// HeadAdopted reports that the balancer has put a configuration file in force.
type HeadAdopted struct {
	Head Head
}

// EndpointUsed reports that a packet was sent to an endpoint.
type EndpointUsed struct {
	Key lease.Key
}

// PacketFromEndpoint reports a datagram received from an endpoint.
type PacketFromEndpoint struct {
	Key lease.Key
}

// RenewReceived reports a received Renew.
type RenewReceived struct {
	Request uint64
	Renew   lease.Renew
}

// ExchangeReceived reports a received Exchange.
type ExchangeReceived struct {
	Request  uint64
	Exchange Exchange
}

// ReplyReceived is the reply to the Call with the same ID. Either Renew or
// Exchange is set, as in the Call.
type ReplyReceived struct {
	ID       uint64
	Renew    *lease.RenewReply
	Exchange *ExchangeReply
}

// CallFailed reports that the Call with the same ID failed: it timed out or was
// rejected.
type CallFailed struct {
	ID uint64
}

func (Tick) event()               {}
func (EndpointUpdated) event()    {}
func (SeedsChanged) event()       {}
func (HeadAdopted) event()        {}
func (EndpointUsed) event()       {}
func (PacketFromEndpoint) event() {}
func (RenewReceived) event()      {}
func (ExchangeReceived) event()   {}
func (ReplyReceived) event()      {}
func (CallFailed) event()         {}

// Action is an output of Node.Step: Call, AnswerRenew, AnswerExchange, ProbeEndpoint,
// NewerHead, Superseded or EndpointsChanged.
type Action interface{ action() }

// Call sends a request to another balancer. Its reply comes back as a ReplyReceived
// event. Either Renew or Exchange is set. NewLink asks for a new link instead of the
// one in use.
type Call struct {
	ID       uint64
	To       netip.AddrPort
	NewLink  bool
	Renew    *lease.Renew
	Exchange *Exchange
}

// SendRenewReply replies to the RenewReceived event with the same request number.
type SendRenewReply struct {
	Request uint64
	Reply   lease.RenewReply
}

// SendExchangeReply replies to the ExchangeReceived event with the same request number.
type SendExchangeReply struct {
	Request uint64
	Reply   ExchangeReply
}

// ProbeEndpoint sends a probe to the endpoint's agent. NewLink asks for a new link
// with another source port.
type ProbeEndpoint struct {
	Endpoint node.Endpoint
	NewLink  bool
}

// NewerHead reports that another balancer has a later configuration file in force.
type NewerHead struct {
	Head Head
}

// Superseded reports that another process has taken the balancer's address.
type Superseded struct{}

// EndpointsChanged reports that the endpoints have changed since the last
// EndpointsChanged.
type EndpointsChanged struct{}

func (Call) action()              {}
func (SendRenewReply) action()    {}
func (SendExchangeReply) action() {}
func (ProbeEndpoint) action()     {}
func (NewerHead) action()         {}
func (Superseded) action()        {}
func (EndpointsChanged) action()  {}
