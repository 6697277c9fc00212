package agent

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/clementinewing/clementinewing/internal/edge/rawip"
	"github.com/clementinewing/clementinewing/internal/edge/stack"
	"github.com/clementinewing/clementinewing/internal/flow/owner"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

const (
	defaultKeepalive  = 30 * time.Second
	connectTimeout    = 2 * time.Second
	closePollInterval = 100 * time.Millisecond
	// maxHintBytes limits the packet in a hint, of which the balancer reads the key.
	maxHintBytes        = 64
	requestBufferBytes  = 4 << 10
	responseBufferBytes = 16 << 10
)

// connect opens the connection to the upstream. The handshake with the caller
// follows only if that succeeds.
func (a *Agent) connect(s *flows, c owner.Connect) {
	if isDatagram(c.Key) {
		a.connectDatagrams(s, c)
		return
	}
	a.running.Go(func() {
		upstream, err := a.dial()
		if err != nil {
			a.reportConnectFailure(c)
			return
		}
		if !s.attachUpstream(c, upstream) {
			resetConn(upstream)
			return
		}
		a.step(owner.UpstreamConnected(c), nil)
	})
}

// reportConnectFailure tells the owner table that the connection to the upstream
// failed.
func (a *Agent) reportConnectFailure(c owner.Connect) {
	a.step(owner.UpstreamFailed{
		Key:    c.Key,
		Serial: c.Serial,
		Reason: owner.ConnectFailed,
	}, nil)
}

func (a *Agent) dial() (c *net.TCPConn, err error) {
	d := net.Dialer{
		Timeout: connectTimeout,
	}
	return d.DialTCP(context.Background(), "tcp4", netip.AddrPort{}, a.upstream)
}

// attachUpstream stores the upstream connection in its flow, if the flow still
// exists.
func (s *flows) attachUpstream(c owner.Connect, upstream *net.TCPConn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f := s.byKey[c.Key]
	if f == nil || f.serial != c.Serial || f.aborted {
		return false
	}
	f.upstream = upstream
	return true
}

// accept passes the stored opening to the stack, which calls completeHandshake.
func (a *Agent) accept(s *flows, k link.Key) {
	f := s.lookup(k)
	if f == nil || f.opening == nil {
		return
	}
	if isDatagram(k) {
		a.acceptDatagrams(s, f)
		return
	}
	a.stack.Inject(f.opening.Inner)
}

// completeHandshake completes the handshake with the caller and copies the bytes of
// the flow until it ends.
func (a *Agent) completeHandshake(o *stack.Opening) {
	s := a.flows
	f := s.lookup(o.Key)
	if f == nil || f.upstream == nil {
		a.counts.forgottenOpenings.Add(1)
		o.Drop()
		return
	}
	a.running.Add(1)
	defer a.running.Done()
	c, err := o.Accept(a.keepaliveIdle)
	if err != nil {
		resetConn(f.upstream)
		a.endFlow(s, f)
		return
	}
	if !s.attachConn(f, c) {
		c.Abort()
		resetConn(f.upstream)
		a.endFlow(s, f)
		return
	}
	proxy(c, f.upstream)
	a.waitUntilClosed(c)
	a.endFlow(s, f)
}

// attachConn stores the caller's connection once the handshake is complete.
func (s *flows) attachConn(f *flow, c *stack.Conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if f.aborted {
		return false
	}
	f.opening = nil
	f.conn = c
	return true
}

func (a *Agent) endFlow(s *flows, f *flow) {
	s.remove(f)
	a.step(owner.FlowEnded{
		Key:    f.key,
		Serial: f.serial,
	}, nil)
}

// waitUntilClosed waits until the connection is closed in the stack, which until then
// still answers packets of the caller.
func (a *Agent) waitUntilClosed(c *stack.Conn) {
	ticker := time.NewTicker(closePollInterval)
	defer ticker.Stop()
	for c.Lingers() {
		select {
		case <-a.stopped:
			return
		case <-ticker.C:
		}
	}
}

// proxy copies in both directions until both ends are done. An error on one side
// resets the other: the upstream sees a cancelled request as cancelled, and the
// caller never takes a truncated response for a complete one.
func proxy(c *stack.Conn, upstream *net.TCPConn) {
	requestDone := make(chan error, 1)
	go func() {
		err := copyHalf(upstream, c, requestBufferBytes)
		if err != nil {
			resetConn(upstream)
		}
		requestDone <- err
	}()
	err := copyHalf(c, upstream, responseBufferBytes)
	if err != nil {
		c.Abort()
	}
	err = errors.Join(err, <-requestDone)
	if err != nil {
		c.Abort()
		resetConn(upstream)
		return
	}
	_ = c.Close()
	_ = upstream.Close()
}

// halfCloser is a connection whose sending half can be closed.
type halfCloser interface {
	io.ReadWriter
	CloseWrite() error
}

// copyHalf copies one direction, then closes the sending half of to. The anonymous
// structs hide ReadFrom and WriteTo, which would use larger buffers.
func copyHalf(to, from halfCloser, size int) error {
	_, err := io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, make([]byte, size))
	if err != nil {
		return err
	}
	return to.CloseWrite()
}

// resetConn resets a connection to the upstream, which then stops its work.
func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// abort aborts the flow of an action. If the action has a serial, the flow must have
// the same, because the key may belong to a later flow by now.
func (a *Agent) abort(s *flows, c owner.Abort) {
	f := s.lookup(c.Key)
	if f == nil || (c.Serial != 0 && f.serial != c.Serial) {
		return
	}
	a.abortFlow(s, f)
}

// abortFlow marks a flow as aborted and resets its connections. To end a handshake in
// progress, it injects a reset from the caller into the stack; the caller receives no
// packet.
func (a *Agent) abortFlow(s *flows, f *flow) {
	s.mutex.Lock()
	f.aborted = true
	opening := f.opening
	if f.upstream != nil {
		resetConn(f.upstream)
	}
	if f.conn != nil {
		f.conn.Abort()
	}
	if f.datagrams != nil {
		_ = f.datagrams.Close()
	}
	s.mutex.Unlock()
	if opening == nil || isDatagram(f.key) {
		return
	}
	s.remove(f)
	p, err := link.Parse(opening.Inner)
	if err == nil {
		a.stack.Inject(rawip.AppendCallerReset(nil, p.Key, p.Sequence+1))
	}
}
