// Package port is what the relay roles ask of a platform: a packet format, a
// store and the reports of endpoints. An adapter translates; it decides nothing.
package port

import (
	"context"
	"errors"
	"net/http"
	"net/netip"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/hold"
	"github.com/clementinewing/clementinewing/internal/relay/plan"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// Errors of a Store, told apart with errors.Is.
var (
	// ErrAbsent: there is no such item.
	ErrAbsent = errors.New("item is absent")
	// ErrRefused: the store did nothing and said so.
	ErrRefused = errors.New("store refused the call")
	// ErrUnknown: no answer came; the call may have been done or may be yet.
	ErrUnknown = errors.New("store did not answer")
	// ErrInvalid: the item cannot be read.
	ErrInvalid = errors.New("item is invalid")
)

// Codec reads and writes the packets of callers and endpoints. Keys name the
// caller first, whichever way the packet goes.
type Codec interface {
	// FromCaller reads a packet of a caller.
	FromCaller(b []byte) (link.Packet, error)
	// FromEndpoint reads a packet that came from an endpoint: its own, or one
	// of a caller that it did not take, with the mark that Mark left in it.
	FromEndpoint(b []byte) (p link.Packet, mark uint32, bounced bool, err error)
	// Mark leaves a number in a packet that comes back if it bounces.
	Mark(b []byte, mark uint32)
	// Clean takes mark and bounce out of a packet.
	Clean(b []byte)
	// Reset makes a reset to the caller of p.
	Reset(p link.Packet) []byte
	// RequestID finds the id of a request in the packet that its head begins in;
	// it is empty if none stands there in clear.
	RequestID(b []byte) string
	// Caller is where packets to the caller of a flow are sent.
	Caller(k link.Key) netip.AddrPort
}

// Contents is what a balancer reads of the store when it starts.
type Contents struct {
	// Plan is nil if the store holds none yet.
	Plan      *plan.Plan
	Balancers []frame.Host
	// Members are the side processes that were last written down.
	Members Members
	// Unreadable tells which items were passed over, and why.
	Unreadable []error
	// Revision is the store's own, which rises with each change of any item.
	Revision uint64
}

// Members are the side processes of the fleet.
type Members struct {
	// Present have endpoints that may hold flows.
	Present []frame.Host
	// Left had endpoints that ended lately.
	Left []frame.Host
}

// Store is the platform's store. Each method makes one call of the store for each
// page it reads and tries nothing twice.
type Store interface {
	// Contents reads everything.
	Contents(ctx context.Context) (Contents, error)
	// Revision asks whether anything has changed.
	Revision(ctx context.Context) (uint64, error)
	// Plan reads the plan.
	Plan(ctx context.Context) (*plan.Plan, error)
	// Balancers reads the directory of balancers.
	Balancers(ctx context.Context) ([]frame.Host, error)
	// Enter puts a balancer into the directory.
	Enter(ctx context.Context, h frame.Host, name string) error
	// WriteMembers writes down the side processes.
	WriteMembers(ctx context.Context, m Members) error
	// Remove takes balancers out of the directory.
	Remove(ctx context.Context, hosts []frame.Host) error
}

// Endpoint takes the reports of an endpoint.
type Endpoint interface {
	Report(r hold.Report)
	Left(id string)
	// Malformed notes a report that cannot be read; it changes nothing.
	Malformed(err error)
}

// Reports makes the handler that endpoints send their reports to.
type Reports func(e Endpoint) http.Handler

// PlanReader decodes a plan as the store holds it.
type PlanReader func(raw []byte, revision uint64) (*plan.Plan, error)
