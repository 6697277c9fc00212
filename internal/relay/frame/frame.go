// Package frame defines the datagram format between balancers and agents on platforms
// where the upstream itself terminates the flows: forwarded packets, owner lookups and
// hints, load reports, heartbeats and member lists.
//
// Every datagram starts with a magic byte, the format version and the message kind.
// Numbers are big-endian.
package frame

import (
	"encoding/binary"
	"errors"
	"net/netip"

	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

const (
	magic   = 0xc7
	version = 1

	kindForward    = 1
	kindReturn     = 2
	kindOwner      = 3
	kindLoadReport = 4
	kindHeartbeat  = 5
	kindMemberList = 6
	kindOwnerQuery = 7
	kindDenial     = 8
	// kindRegistration is unknown to earlier releases, which drop it.
	kindRegistration = 9
	// kindEvacuations is unknown to earlier releases, which drop it.
	kindEvacuations = 10

	headerBytes = 3
	// MaxList limits the candidate list that a balancer sends.
	MaxList = 64
	// MaxCandidates limits the candidate list on the wire. It exceeds MaxList because
	// agents insert owners that they know. Length and position are encoded as bytes,
	// and NoBest is reserved.
	MaxCandidates = NoBest - 1
)

// Errors returned by Decode.
var (
	ErrUnknownFormat = errors.New("datagram has an unknown magic byte, version or message kind")
	ErrTruncated     = errors.New("datagram is truncated or its candidate list is invalid")
)

// Message is the content of one datagram: *Forward, Return, Owner, LoadReport,
// Heartbeat, MemberList, OwnerQuery, Denial, Registration, Evacuations, OwnerBatch or
// OwnerAnswers.
type Message interface{ message() }

// Host is the IPv4 address of a balancer or agent. All processes use the same ports.
type Host uint32

// HostOf converts an IPv4 or IPv4-mapped address to a Host.
func HostOf(a netip.Addr) Host {
	b := a.Unmap().As4()
	return Host(binary.BigEndian.Uint32(b[:]))
}

// Addr returns the host as an IP address.
func (h Host) Addr() netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], uint32(h))
	return netip.AddrFrom4(b)
}

// String returns the host in dotted decimal notation.
func (h Host) String() string {
	return h.Addr().String()
}

// Flags of a Forward.
const (
	// ListComplete marks a candidate list that holds every endpoint that may own the flow:
	// a flow that all of them deny has no owner.
	ListComplete = 1 << iota
	// Cached marks the first candidate as the cached owner of the flow.
	Cached
	// CandidateSilent reports that at least one earlier candidate did not answer.
	CandidateSilent
	// Chosen marks the candidate as the least loaded one. It accepts the SYN even
	// without a free slot.
	Chosen
	// FewServing marks a SYN for a service of which most endpoints are not known to serve, as
	// after a loss of power. Suspects take it after the shortest backoff. Earlier releases
	// ignore it.
	FewServing
)

// NoBest is the value of Forward.Best if no earlier candidate could accept the SYN.
const NoBest = 0xff

// Forward forwards a caller's packet along a candidate list.
type Forward struct {
	Flags uint8
	// Position is the index of the current candidate.
	Position uint8
	// Best is the index of the least loaded candidate so far, BestLoad its load in
	// 64ths of its slots.
	Best     uint8
	BestLoad uint16
	// LookupStage is a number chosen by the balancer for the stage of the owner lookup, and
	// for the query within it, that sent the packet. For a SYN it is the number of earlier
	// candidate lists that refused it. A Return repeats it, so that the balancer recognizes
	// the return of an earlier stage, query or list.
	LookupStage uint8
	// FlowsPerSlot is the average number of open flows per slot of the service, in 16ths, or
	// 0 if unknown. It applies to SYNs only.
	FlowsPerSlot uint16
	// LatencyTargetMS is the latency target of the route in milliseconds, or 0 if unknown.
	// Priority is the priority of the route; 0 is the highest.
	LatencyTargetMS uint16
	Priority        uint8
	// AverageLoad is the average load of the service's endpoints in 64ths of their slots,
	// or 0 if unknown. It applies to packets of open flows only.
	AverageLoad uint16
	Service     spec.ServiceID
	// Balancer receives hints about the flow's owner.
	Balancer Host
	// Home is the flow's home: the agent that stores the owner if the flow is placed on
	// another candidate.
	Home       Host
	Candidates []Host
	// Packet is the caller's packet, unchanged.
	Packet []byte
}

// Return sends a packet back to the balancer: the owner of its flow was not found, or no
// candidate accepted the SYN.
type Return struct {
	Host Host
	// Reason is the admit.Reason for which the last candidate rejected the packet.
	Reason uint8
	// Conclusive reports that the endpoints asked do not own the flow and, if ListExhausted,
	// that no other may own it. It is false if a candidate did not answer or the exhausted
	// list was incomplete.
	Conclusive bool
	// ListExhausted reports that every candidate of a list was tried, not only the cached
	// owner. LookupStage is that of the returned Forward.
	ListExhausted bool
	// FlowEnded reports that the flow was the endpoint's and that the endpoint no longer
	// holds it, so that no endpoint does.
	FlowEnded bool
	// Evacuated reports that the endpoint refused a SYN because its failure domain is evacuated.
	Evacuated bool
	// QueueTooLong reports that the endpoint refused a SYN because it cannot serve it before its
	// caller gives up.
	QueueTooLong bool
	LookupStage  uint8
	Packet       []byte
}

// Owner announces the owner of a flow.
type Owner struct {
	Key  link.Key
	Host Host
	// InitialSequence is the initial sequence number of the endpoint's SYN-ACK. It
	// distinguishes two endpoints that accepted copies of the same SYN. It is valid only if
	// Known.
	InitialSequence uint32
	Known           bool
	// Load is the load of the endpoint when it took the flow, in 64ths of its slots. It is
	// valid only if LoadKnown.
	Load      uint16
	LoadKnown bool
}

// LoadReport is sent periodically by an agent and describes itself and its endpoint.
type LoadReport struct {
	Host Host
	// Process is a random identifier, drawn when the agent starts.
	Process uint64
	Service spec.ServiceID
	// Zone is the hash of the name of the agent's failure domain.
	Zone  uint64
	State node.State
	// Proven reports that the agent has had a sign of life from the endpoint since the
	// agent started.
	Proven bool
	// Refuses reports that the endpoint bounced a SYN and has not sent a report since the
	// agent started.
	Refuses bool
	// Registered reports that the agent knows that the member record lists it.
	Registered bool
	// WantsRegistration requests a Registration. EndpointEnded reports that the endpoint has
	// ended since the agent was registered, so that it has to be registered anew.
	WantsRegistration bool
	EndpointEnded     bool
	// EndpointAbsent reports that nothing listened at the endpoint's address when the agent
	// started and that nothing has arrived from the endpoint since.
	EndpointAbsent bool
	// WantsMembers requests a MemberList regardless of BalancersDigest.
	WantsMembers bool
	// StartedAt is the start time of the endpoint in Unix milliseconds, or 0 if unknown.
	StartedAt uint64
	// Sequence increases with each load report of a process.
	Sequence uint32
	Slots    uint16
	// InUse is the number of requests in progress and accepted SYNs. Average is the
	// same over the last seconds, in 64ths of a request.
	InUse   uint16
	Average uint16
	// Flows is the number of open flows.
	Flows uint16
	// ColdMS is the rest of the endpoint's warm-up, in milliseconds.
	ColdMS uint16
	// IntervalMS is the sender's report interval in milliseconds.
	IntervalMS uint16
	// BalancersDigest is the digest of the sender's list of balancers if the receiver should
	// check it, otherwise NoDigest.
	BalancersDigest uint64
	// Evacuations is the version of the evacuated failure domains that the agent knows, a
	// request for an Evacuations message if it knows none, or 0 if it does not follow them.
	Evacuations uint64
	// ServiceTimeMS is the endpoint's average time from a request to the start of its answer in
	// milliseconds for each request that it answers, or 0 if unknown. It is higher by the share
	// of requests that fail visibly.
	ServiceTimeMS uint16
	// Refusals counts the SYNs that the endpoint has refused or left unanswered since it last
	// accepted one, except those that it refused because it was full.
	Refusals uint16
	// AnswersBatches reports that the agent answers an OwnerBatch. Decode sets it for agents that
	// send the fields from Evacuations on; those of earlier releases do not.
	AnswersBatches bool
}

// SuspectRefusals is the value of LoadReport.Refusals from which on the endpoint is a suspect: it
// is not known to serve. An agent also reports it when the reports of its endpoint have stopped.
const SuspectRefusals = 2

// NoDigest is the value of LoadReport.BalancersDigest if the receiver should not check it.
const NoDigest = 0

// Heartbeat is sent periodically by a balancer to other balancers, and to agents that it
// does not know yet.
type Heartbeat struct {
	Host    Host
	Process uint64
	// PlanVersion is the version of the plan in force, or 0 if there is none or the sender
	// does not tell it. Revision is the plan's store revision; it orders plans only for
	// senders and receivers without PlanVersion.
	PlanVersion uint64
	Revision    uint64
	// StoreAgeMS is the time in milliseconds since the sender's last successful poll of the store,
	// or StoreAgeUnknown if there was none. Balancers of earlier releases tell that of any balancer.
	StoreAgeMS uint32
	Leaving    bool
	// StoreLost reports that the store did not answer the sender's last call.
	StoreLost bool
	// WantsMembers requests a MemberList.
	WantsMembers bool
	// Evacuations are the evacuated failure domains, or nil if the sender does not know them.
	Evacuations *EvacuationSet
}

// StoreAgeUnknown is the value of Heartbeat.StoreAgeMS if no successful poll of the store
// is known.
const StoreAgeUnknown = 0xffffffff

// MemberList holds the members that a balancer knows.
type MemberList struct {
	Balancers []Host
	Agents    []Host
	// State and StartedAt are the last known state and start time of the receiving agent's
	// endpoint. State is 0 if nothing is known.
	State     node.State
	StartedAt uint64
}

// Registration tells an agent that is not registered whether the member record lists it. It
// answers a load report with WantsRegistration. Balancers of earlier releases do not send it.
type Registration struct {
	Status RegistrationStatus
}

// RegistrationStatus is what a balancer knows of an agent's place in the member record.
type RegistrationStatus uint8

// Values of RegistrationStatus.
const (
	// RegistrationPending: the record does not list the agent yet.
	RegistrationPending RegistrationStatus = iota
	// RegistrationDone: the record lists the agent.
	RegistrationDone
	// RegistrationImpossible: the record does not list the agent, and the store does not
	// answer the balancer.
	RegistrationImpossible
)

// OwnerQuery asks an agent whether its endpoint owns a flow.
type OwnerQuery struct {
	// QueryID identifies the query. A Denial repeats it.
	QueryID uint32
	// Balancer receives the answer, an Owner or a Denial.
	Balancer Host
	Key      link.Key
	// Acknowledgment is the acknowledgment number of the caller's packet. It is valid
	// only if Acknowledges is set, i.e. the packet has the ACK flag.
	Acknowledgment uint32
	Acknowledges   bool
}

// Denial is the negative answer to an OwnerQuery: the endpoint does not own the flow.
type Denial struct {
	QueryID uint32
	Host    Host
	Key     link.Key
	// Conclusive is false if the agent cannot decide without a packet of the flow.
	Conclusive bool
	// FlowEnded is as in Return.
	FlowEnded bool
}

func (*Forward) message()   {}
func (Return) message()     {}
func (Owner) message()      {}
func (LoadReport) message() {}
func (Heartbeat) message()  {}
func (MemberList) message() {}
func (OwnerQuery) message() {}
func (Denial) message()     {}

func (Registration) message() {}
