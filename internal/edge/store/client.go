package store

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/clementinewing/clementinewing/internal/edge/kvpb"
)

// Client implements Store over a gRPC connection.
type Client struct {
	rpc   kvpb.KeyValueClient
	scope tally.Scope
	now   func() time.Time
}

// Option configures a Client.
type Option func(*Client)

// WithScope counts calls and failures in scope, tagged by verb.
func WithScope(scope tally.Scope) Option {
	return func(c *Client) {
		c.scope = scope
	}
}

// WithNow sets the clock from which lease deadlines are computed.
func WithNow(now func() time.Time) Option {
	return func(c *Client) {
		c.now = now
	}
}

// NewClient returns a Client on connection. The caller closes the connection.
func NewClient(connection grpc.ClientConnInterface, options ...Option) *Client {
	c := &Client{
		rpc:   kvpb.NewKeyValueClient(connection),
		scope: tally.NoopScope,
		now:   time.Now,
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (e Entry, err error) {
	defer func() { err = eris.Wrapf(err, "reading key %s from the store", key) }()
	c.countCall("get")
	reply, err := c.rpc.Get(ctx, &kvpb.GetRequest{
		Key: key,
	})
	if err != nil {
		return e, c.classifyError("get", err)
	}
	return newEntry(key, reply.GetEntry()), nil
}

// Swap implements Store.
func (c *Client) Swap(ctx context.Context, key string, version uint64, value []byte) (e Entry, err error) {
	defer func() { err = eris.Wrapf(err, "writing key %s to the store", key) }()
	if len(value) > MaxValueBytes {
		return e, ErrTooLarge
	}
	c.countCall("swap")
	reply, err := c.rpc.Swap(ctx, &kvpb.SwapRequest{
		Key:     key,
		Version: version,
		Value:   value,
	})
	if err != nil {
		return e, c.classifyError("swap", err)
	}
	e = newEntry(key, reply.GetEntry())
	if !reply.GetSwapped() {
		return e, &ConflictError{
			Current: e,
		}
	}
	return e, nil
}

// Lease implements Store.
func (c *Client) Lease(ctx context.Context, name, holder string, seconds uint32) (l Lease, err error) {
	defer func() { err = eris.Wrapf(err, "claiming lease %s", name) }()
	c.countCall("lease")
	// The deadline is computed before the call, so it is earlier than the store's own.
	deadline := c.now().Add(time.Duration(seconds) * time.Second)
	reply, err := c.rpc.Lease(ctx, &kvpb.LeaseRequest{
		Name:    name,
		Holder:  holder,
		Seconds: seconds,
	})
	if err != nil {
		return l, c.classifyError("lease", err)
	}
	l = Lease{
		Name:   name,
		Holder: reply.GetHolder(),
		Token:  reply.GetToken(),
	}
	if !reply.GetGranted() {
		return l, &HeldError{
			Current: l,
		}
	}
	l.Deadline = deadline
	return l, nil
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (e Entry, err error) {
	defer func() { err = eris.Wrapf(err, "watching key %s in the store", key) }()
	c.countCall("watch")
	reply, err := c.rpc.Watch(ctx, &kvpb.WatchRequest{
		Key:   key,
		After: after,
	})
	if status.Code(err) == codes.DeadlineExceeded {
		return e, ErrNoAnswer
	}
	if err != nil {
		return e, c.classifyError("watch", err)
	}
	return newEntry(key, reply.GetEntry()), nil
}

func (c *Client) countCall(verb string) {
	c.scope.Tagged(map[string]string{"verb": verb}).Counter("store_calls").Inc(1)
}

// classifyError maps a rejected argument to ErrTooLarge and every other failure to
// ErrNoAnswer, since no other status tells whether the call took effect.
func (c *Client) classifyError(verb string, err error) error {
	if status.Code(err) == codes.InvalidArgument {
		return ErrTooLarge
	}
	c.scope.Tagged(map[string]string{"verb": verb}).Counter("store_away").Inc(1)
	return eris.Wrap(ErrNoAnswer, status.Convert(err).Message())
}

func newEntry(key string, e *kvpb.Entry) Entry {
	return Entry{
		Key:     key,
		Value:   e.GetValue(),
		Version: e.GetVersion(),
	}
}
