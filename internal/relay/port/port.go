// Package port declares the interfaces between the relay roles and a platform: a packet
// format, a store and the reports of endpoints. Platform adapters only translate; they
// contain no decisions.
package port

import (
	"context"
	"errors"
	"net/http"
	"net/netip"

	"github.com/clementinewing/clementinewing/internal/relay/admit"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/plan"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// Errors of a Store. Adapters wrap them; callers use errors.Is.
var (
	// ErrNotFound: the item does not exist.
	ErrNotFound = errors.New("item does not exist in the store")
	// ErrRefused: the store rejected the call and changed nothing.
	ErrRefused = errors.New("store rejected the call")
	// ErrNoAnswer: the store did not answer. The call may have taken effect or may still
	// do so.
	ErrNoAnswer = errors.New("store did not answer")
	// ErrConflict: the store holds another revision than the write replaces, and has changed
	// nothing.
	ErrConflict = errors.New("item in the store has another revision")
	// ErrInvalid: the item cannot be decoded.
	ErrInvalid = errors.New("item in the store cannot be decoded")
)

// InvalidPlanError is an ErrInvalid: the store works, but holds a plan that is not allowed.
type InvalidPlanError struct {
	// Revision is that of the plan in the store.
	Revision uint64
	// Faults lists every fault of the plan.
	Faults string
}

func (e InvalidPlanError) Error() string {
	return e.Faults
}

// Unwrap returns ErrInvalid.
func (e InvalidPlanError) Unwrap() error {
	return ErrInvalid
}

// Codec decodes and encodes the packets of callers and endpoints. In both directions, a
// flow key starts with the caller.
type Codec interface {
	// FromCaller decodes a caller's packet.
	FromCaller(b []byte) (link.Packet, error)
	// FromEndpoint decodes a packet received from the endpoint. It is either the endpoint's
	// own packet or a bounced caller's packet with the mark that SetMark wrote into it.
	FromEndpoint(b []byte) (p link.Packet, mark uint32, bounced bool, err error)
	// SetMark writes a number into a packet; the endpoint returns it if the packet bounces.
	SetMark(b []byte, mark uint32)
	// ClearMark clears the mark and the bounce flag of a packet.
	ClearMark(b []byte)
	// Reset encodes a RST to the caller of p.
	Reset(p link.Packet) []byte
	// RequestID returns the ID of a request from the packet with the start of its header,
	// or an empty string if the packet has none in plain text.
	RequestID(b []byte) string
	// Caller returns the address to send packets for the caller of a flow to.
	Caller(k link.Key) netip.AddrPort
}

// Contents is the part of the store that a balancer reads at start.
type Contents struct {
	// Plan is nil if the store has no plan yet, or one that is skipped.
	Plan      *plan.Plan
	Balancers []frame.Host
	// Members is the member record.
	Members Members
	// Evacuated are the names of the evacuated failure domains.
	Evacuated []string
	// Unreadable holds an error for each item that was skipped.
	Unreadable []error
	// Position is that of the store before the items were read.
	Position plan.Position
}

// Members is the member record: the agents of the fleet.
type Members struct {
	// Era is the era of the store in which the record was written. In a later one it may
	// lack agents that joined after the copy that the store came back from.
	Era uint64
	// Complete is set if the record lists every agent whose endpoint may hold flows. Earlier
	// releases do not set it.
	Complete bool
	// Agents are the registered agents.
	Agents []frame.Host
	// Revision is that of the record in the store. A record to be written has the revision
	// that it replaces. 0 stands for no record.
	Revision uint64
}

// Store is the platform's store. Each method makes one store call per page of results or
// batch of writes and does not retry.
type Store interface {
	// Contents reads the plan, the balancer directory and the members.
	Contents(ctx context.Context) (Contents, error)
	// Position reads the store's current position.
	Position(ctx context.Context) (plan.Position, error)
	// Evacuations reads the names of the evacuated failure domains, and the store's current
	// position in the same call.
	Evacuations(ctx context.Context) (zones []string, p plan.Position, err error)
	// Plan reads the plan. The error is an InvalidPlanError if it cannot be put in force.
	Plan(ctx context.Context) (*plan.Plan, error)
	// Balancers reads the balancer directory.
	Balancers(ctx context.Context) ([]frame.Host, error)
	// AddBalancers adds balancers to the balancer directory. The name is that of the process
	// that adds them.
	AddBalancers(ctx context.Context, hosts []frame.Host, name string) error
	// Members reads the member record, and the position of the store if it tells it. Without a
	// record the revision is 0; of one that cannot be decoded only the revision is returned, with
	// ErrInvalid.
	Members(ctx context.Context) (Members, plan.Position, error)
	// WriteMembers replaces the member record of revision m.Revision. It returns the revision
	// that the store holds, also with ErrConflict.
	WriteMembers(ctx context.Context, m Members) (revision uint64, err error)
	// RemoveBalancers removes balancers from the balancer directory.
	RemoveBalancers(ctx context.Context, hosts []frame.Host) error
}

// ReportReceiver receives the reports of an endpoint.
type ReportReceiver interface {
	// Report handles a report. A report that was not applied must not be acknowledged.
	Report(r admit.Report) (applied bool)
	// Left handles the endpoint's notice that it stops. A notice that was not applied must
	// not be acknowledged.
	Left(id string) (applied bool)
	// Malformed logs a report that cannot be decoded and changes no state.
	Malformed(err error)
}

// ReportHandlerFactory creates the HTTP handler for the reports of an endpoint.
type ReportHandlerFactory func(e ReportReceiver) http.Handler

// PlanReader decodes a plan from its stored form. The error is an InvalidPlanError.
type PlanReader func(raw []byte, revision uint64) (*plan.Plan, error)
