// Package peer carries the calls of the fleet over gRPC. A Member runs the state
// machine of a balancer and an Announcer that of an agent, on real sockets and the
// real clock. Every call has a deadline, and a silent link is replaced.
package peer

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/clementinewing/clementinewing/internal/fleet/lease"
	"github.com/clementinewing/clementinewing/internal/fleet/member"
)

const (
	// linkIdleTimeout is the time after which an unused link is closed.
	linkIdleTimeout = time.Minute
	// connectTimeout bounds one connection attempt.
	connectTimeout = time.Second
	// maxBackoff bounds the delay between two connection attempts.
	maxBackoff = 2 * time.Second
	// windowBytes is the fixed flow-control window. Setting it turns off bandwidth
	// estimation, whose pings would cost as much as the messages.
	windowBytes = 1 << 20
	// maxMessageBytes bounds one message: a file of one megabyte and its framing.
	maxMessageBytes = 2 << 20
)

// ErrNoCredentials is returned if neither WithCredentials nor WithInsecure is given.
var ErrNoCredentials = errors.New("no credentials for calls to peers")

// Option sets one property of a Member, an Announcer or a Server.
type Option func(*options)

type options struct {
	client credentials.TransportCredentials
	server credentials.TransportCredentials
	files  Files
	seeds  []netip.AddrPort
	hooks  hooks
}

// WithCredentials sets the transport credentials of outgoing and incoming calls.
func WithCredentials(client, server credentials.TransportCredentials) Option {
	return func(o *options) {
		o.client = client
		o.server = server
	}
}

// WithInsecure sends calls unencrypted. It is for tests on loopback.
func WithInsecure() Option {
	return WithCredentials(insecure.NewCredentials(), insecure.NewCredentials())
}

// WithSeeds sets the control addresses of the balancers to contact first.
func WithSeeds(seeds ...netip.AddrPort) Option {
	return func(o *options) {
		o.seeds = seeds
	}
}

func applyOptions(opts []Option) (o options, err error) {
	for _, set := range opts {
		set(&o)
	}
	if o.client == nil {
		return o, ErrNoCredentials
	}
	return o, nil
}

// Client calls one balancer over one link.
type Client struct {
	conn *grpc.ClientConn
	stub FleetClient
}

// Dial returns a client of the balancer at a control address. It connects on the
// first call and reconnects whenever the connection is lost.
func Dial(to netip.AddrPort, creds credentials.TransportCredentials) (c *Client, err error) {
	defer func() { err = eris.Wrapf(err, "dialling %s", to) }()
	conn, err := grpc.NewClient("passthrough:///"+to.String(),
		grpc.WithTransportCredentials(creds),
		grpc.WithDisableServiceConfig(),
		grpc.WithIdleTimeout(linkIdleTimeout),
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  member.TickInterval,
				Multiplier: backoff.DefaultConfig.Multiplier,
				Jitter:     backoff.DefaultConfig.Jitter,
				MaxDelay:   maxBackoff,
			},
			MinConnectTimeout: connectTimeout,
		}),
	)
	if err != nil {
		return nil, err
	}
	return &Client{
		conn: conn,
		stub: NewFleetClient(conn),
	}, nil
}

// Close closes the link and cancels its calls.
func (c *Client) Close() error {
	return c.conn.Close()
}

// Renew announces records and renews their leases.
func (c *Client) Renew(ctx context.Context, m lease.Renew) (r lease.RenewReply, err error) {
	defer func() { err = eris.Wrap(err, "renewing") }()
	ctx, cancel := context.WithTimeout(ctx, member.CallTimeout)
	defer cancel()
	reply, err := c.stub.Renew(ctx, encodeRenew(m))
	if err != nil {
		return r, err
	}
	return decodeRenewReply(reply)
}

// Exchange pushes records and reconciles record tables.
func (c *Client) Exchange(ctx context.Context, m member.Exchange) (r member.ExchangeReply, err error) {
	defer func() { err = eris.Wrap(err, "exchanging records") }()
	ctx, cancel := context.WithTimeout(ctx, member.CallTimeout)
	defer cancel()
	reply, err := c.stub.Exchange(ctx, encodeExchange(m))
	if err != nil {
		return r, err
	}
	return decodeExchangeReply(reply)
}

// FetchFile fetches the content of the file with the given hash; ok is false if the
// balancer does not have the file. The caller must verify the hash.
func (c *Client) FetchFile(ctx context.Context, hash string) (content []byte, ok bool, err error) {
	defer func() { err = eris.Wrap(err, "fetching a file") }()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := c.stub.FetchFile(ctx, &FetchFileRequest{
		Hash: hash,
	})
	if err != nil {
		return nil, false, err
	}
	return reply.GetContent(), reply.GetFound(), nil
}

// links holds one Client for each balancer called within linkIdleTimeout.
type links struct {
	creds credentials.TransportCredentials
	mu    sync.Mutex
	open  map[netip.AddrPort]*openLink
}

type openLink struct {
	client       *Client
	idleDeadline time.Time
}

func newLinks(creds credentials.TransportCredentials) *links {
	return &links{
		creds: creds,
		open:  map[netip.AddrPort]*openLink{},
	}
}

// get returns the client of a balancer, creating it if necessary. With newLink it
// closes the existing link, which has become silent, and opens a new one.
func (l *links) get(to netip.AddrPort, newLink bool) (c *Client, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	deadline := time.Now().Add(linkIdleTimeout)
	o := l.open[to]
	if o != nil && !newLink {
		o.idleDeadline = deadline
		return o.client, nil
	}
	if o != nil {
		_ = o.client.Close()
		delete(l.open, to)
	}
	c, err = Dial(to, l.creds)
	if err != nil {
		return nil, err
	}
	l.open[to] = &openLink{
		client:       c,
		idleDeadline: deadline,
	}
	return c, nil
}

// closeIdle closes the links whose idle deadline has passed.
func (l *links) closeIdle(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for to, o := range l.open {
		if now.After(o.idleDeadline) {
			_ = o.client.Close()
			delete(l.open, to)
		}
	}
}

func (l *links) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for to, o := range l.open {
		_ = o.client.Close()
		delete(l.open, to)
	}
}

// fetchFile fetches a part of a file from the first of the given balancers that has it.
func (l *links) fetchFile(ctx context.Context, from []netip.AddrPort, hash string) (content []byte, err error) {
	for _, p := range from {
		c, err := l.get(p, false)
		if err != nil {
			continue
		}
		content, ok, err := c.FetchFile(ctx, hash)
		if err == nil && ok {
			return content, nil
		}
	}
	return nil, ErrFileNotFound
}
