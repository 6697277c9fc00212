// Package peer carries the fleet's calls over gRPC: a Member runs a balancer's
// machine, an Announcer a side process's, both on real sockets and the real
// clock. Every call has a deadline; a link that went silent is replaced.
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
	// idleLife is how long an unused link is kept.
	idleLife = time.Minute
	// connectTimeout bounds one try to connect.
	connectTimeout = time.Second
	// maxBackoff bounds the wait between two tries to connect.
	maxBackoff = 2 * time.Second
	// windowBytes is a fixed flow-control window. It turns off the estimate of the
	// bandwidth, whose pings would cost as much as the messages.
	windowBytes = 1 << 20
	// maxMessageBytes bounds one message: a file of a megabyte and its frame.
	maxMessageBytes = 2 << 20
)

// ErrCredentials is returned where neither credentials nor WithInsecure are given.
var ErrCredentials = errors.New("credentials for peers are missing")

// Option sets one property of a Member, an Announcer or a Server.
type Option func(*options)

type options struct {
	client credentials.TransportCredentials
	server credentials.TransportCredentials
	files  Files
	seeds  []netip.AddrPort
	hooks  hooks
}

// WithCredentials sets how calls are secured as a client and as a server.
func WithCredentials(client, server credentials.TransportCredentials) Option {
	return func(o *options) {
		o.client = client
		o.server = server
	}
}

// WithInsecure sends calls in the clear. It is for tests on loopback.
func WithInsecure() Option {
	return WithCredentials(insecure.NewCredentials(), insecure.NewCredentials())
}

// WithSeeds names control addresses of balancers to begin with.
func WithSeeds(seeds ...netip.AddrPort) Option {
	return func(o *options) {
		o.seeds = seeds
	}
}

func gather(opts []Option) (o options, err error) {
	for _, set := range opts {
		set(&o)
	}
	if o.client == nil {
		return o, ErrCredentials
	}
	return o, nil
}

// Client is a link to one balancer.
type Client struct {
	conn *grpc.ClientConn
	stub FleetClient
}

// Dial opens a link to the balancer at a control address. It connects with the
// first call and again whenever the link is lost.
func Dial(to netip.AddrPort, creds credentials.TransportCredentials) (c *Client, err error) {
	defer func() { err = eris.Wrapf(err, "dialling %s", to) }()
	conn, err := grpc.NewClient("passthrough:///"+to.String(),
		grpc.WithTransportCredentials(creds),
		grpc.WithDisableServiceConfig(),
		grpc.WithIdleTimeout(idleLife),
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

// Close ends the link and the calls on it.
func (c *Client) Close() error {
	return c.conn.Close()
}

// Renew announces records.
func (c *Client) Renew(ctx context.Context, m lease.Renew) (r lease.RenewReply, err error) {
	defer func() { err = eris.Wrap(err, "renewing") }()
	ctx, cancel := context.WithTimeout(ctx, member.CallLife)
	defer cancel()
	reply, err := c.stub.Renew(ctx, writeRenew(m))
	if err != nil {
		return r, err
	}
	return readRenewReply(reply)
}

// Exchange pushes and compares records.
func (c *Client) Exchange(ctx context.Context, m member.Exchange) (r member.ExchangeReply, err error) {
	defer func() { err = eris.Wrap(err, "exchanging records") }()
	ctx, cancel := context.WithTimeout(ctx, member.CallLife)
	defer cancel()
	reply, err := c.stub.Exchange(ctx, writeExchange(m))
	if err != nil {
		return r, err
	}
	return readExchangeReply(reply)
}

// FetchFile gets the content of the file with the given hash. The caller checks
// the hash; ok is false if the balancer does not have the file.
func (c *Client) FetchFile(ctx context.Context, hash string) (content []byte, ok bool, err error) {
	defer func() { err = eris.Wrap(err, "fetching a file") }()
	ctx, cancel := context.WithTimeout(ctx, fetchLife)
	defer cancel()
	reply, err := c.stub.FetchFile(ctx, &FetchFileRequest{
		Hash: hash,
	})
	if err != nil {
		return nil, false, err
	}
	return reply.GetContent(), reply.GetFound(), nil
}

// links keeps one Client for each balancer that was lately called.
type links struct {
	creds credentials.TransportCredentials
	mu    sync.Mutex
	open  map[netip.AddrPort]*opened
}

type opened struct {
	client *Client
	until  time.Time
}

func newLinks(creds credentials.TransportCredentials) *links {
	return &links{
		creds: creds,
		open:  map[netip.AddrPort]*opened{},
	}
}

// get finds the link to a balancer; fresh replaces one that has gone silent.
func (l *links) get(to netip.AddrPort, fresh bool) (c *Client, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	until := time.Now().Add(idleLife)
	o := l.open[to]
	if o != nil && !fresh {
		o.until = until
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
	l.open[to] = &opened{
		client: c,
		until:  until,
	}
	return c, nil
}

// sweep closes the links that nobody has used.
func (l *links) sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for to, o := range l.open {
		if now.After(o.until) {
			_ = o.client.Close()
			delete(l.open, to)
		}
	}
}

func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for to, o := range l.open {
		_ = o.client.Close()
		delete(l.open, to)
	}
}

// fetch gets a part of a file from the first of several balancers that has it.
func (l *links) fetch(ctx context.Context, from []netip.AddrPort, hash string) (content []byte, err error) {
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
	return nil, ErrNoFile
}
