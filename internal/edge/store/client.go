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

// Client is the Store behind a gRPC connection.
type Client struct {
	calls kvpb.KeyValueClient
	scope tally.Scope
	now   func() time.Time
}

// Option sets one property of a Client.
type Option func(*Client)

// WithScope counts calls and failures in scope, by verb.
func WithScope(scope tally.Scope) Option {
	return func(c *Client) {
		c.scope = scope
	}
}

// WithNow takes the time from now, which deadlines of leases are counted from.
func WithNow(now func() time.Time) Option {
	return func(c *Client) {
		c.now = now
	}
}

// NewClient makes a client over a connection that the caller closes.
func NewClient(connection grpc.ClientConnInterface, options ...Option) *Client {
	c := &Client{
		calls: kvpb.NewKeyValueClient(connection),
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
	defer func() { err = eris.Wrapf(err, "reading %s", key) }()
	c.count("get")
	reply, err := c.calls.Get(ctx, &kvpb.GetRequest{
		Key: key,
	})
	if err != nil {
		return e, c.failed("get", err)
	}
	return entryOf(key, reply.GetEntry()), nil
}

// Swap implements Store.
func (c *Client) Swap(ctx context.Context, key string, version uint64, value []byte) (e Entry, err error) {
	defer func() { err = eris.Wrapf(err, "writing %s", key) }()
	if len(value) > MaxValueBytes {
		return e, ErrTooLarge
	}
	c.count("swap")
	reply, err := c.calls.Swap(ctx, &kvpb.SwapRequest{
		Key:     key,
		Version: version,
		Value:   value,
	})
	if err != nil {
		return e, c.failed("swap", err)
	}
	e = entryOf(key, reply.GetEntry())
	if !reply.GetSwapped() {
		return e, &ConflictError{
			Current: e,
		}
	}
	return e, nil
}

// Lease implements Store.
func (c *Client) Lease(ctx context.Context, name, holder string, seconds uint32) (l Lease, err error) {
	defer func() { err = eris.Wrapf(err, "claiming %s", name) }()
	c.count("lease")
	// Counted from before the call: the store's own deadline is later.
	deadline := c.now().Add(time.Duration(seconds) * time.Second)
	reply, err := c.calls.Lease(ctx, &kvpb.LeaseRequest{
		Name:    name,
		Holder:  holder,
		Seconds: seconds,
	})
	if err != nil {
		return l, c.failed("lease", err)
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
	defer func() { err = eris.Wrapf(err, "watching %s", key) }()
	c.count("watch")
	reply, err := c.calls.Watch(ctx, &kvpb.WatchRequest{
		Key:   key,
		After: after,
	})
	if status.Code(err) == codes.DeadlineExceeded {
		return e, ErrAway
	}
	if err != nil {
		return e, c.failed("watch", err)
	}
	return entryOf(key, reply.GetEntry()), nil
}

func (c *Client) count(verb string) {
	c.scope.Tagged(map[string]string{"verb": verb}).Counter("store_calls").Inc(1)
}

// failed turns every failure but a rejected argument into ErrAway: whatever the
// status says, the answer is unknown.
func (c *Client) failed(verb string, err error) error {
	if status.Code(err) == codes.InvalidArgument {
		return ErrTooLarge
	}
	c.scope.Tagged(map[string]string{"verb": verb}).Counter("store_away").Inc(1)
	return eris.Wrap(ErrAway, status.Convert(err).Message())
}

func entryOf(key string, e *kvpb.Entry) Entry {
	return Entry{
		Key:     key,
		Value:   e.GetValue(),
		Version: e.GetVersion(),
	}
}
