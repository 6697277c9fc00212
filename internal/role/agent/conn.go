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
	defaultKeepalive = 30 * time.Second
	connectTimeout   = 2 * time.Second
	lingerInterval   = 100 * time.Millisecond
	hintBytes        = 64
	questionBytes    = 4 << 10
	answerBytes      = 16 << 10
)

// connect asks the upstream for a connection before the caller gets one.
func (a *Agent) connect(s *flows, c owner.Connect) {
	if isDatagram(c.Key) {
		a.connectDatagrams(s, c)
		return
	}
	a.closing.Go(func() {
		upstream, err := a.dial()
		if err != nil {
			a.failed(c)
			return
		}
		if !s.hold(c, upstream) {
			cancel(upstream)
			return
		}
		a.step(owner.UpstreamConnected(c), nil)
	})
}

// failed tells the decisions that the upstream took no connection.
func (a *Agent) failed(c owner.Connect) {
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

// hold keeps the upstream's connection with its flow, if that is still there.
func (s *flows) hold(c owner.Connect, upstream *net.TCPConn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f := s.byKey[c.Key]
	if f == nil || f.serial != c.Serial || f.aborted {
		return false
	}
	f.upstream = upstream
	return true
}

// accept gives the kept opening to the stack, which answers through opened.
func (a *Agent) accept(s *flows, k link.Key) {
	f := s.flow(k)
	if f == nil || f.opening == nil {
		return
	}
	if isDatagram(k) {
		a.acceptDatagrams(s, f)
		return
	}
	a.stack.Inject(f.opening.Inner)
}

// opened completes the handshake of a flow and carries its bytes.
func (a *Agent) opened(o *stack.Opening) {
	s := a.flows
	f := s.flow(o.Key)
	if f == nil || f.upstream == nil {
		a.counts.orphans.Add(1)
		o.Drop()
		return
	}
	a.closing.Add(1)
	defer a.closing.Done()
	c, err := o.Accept(a.idle)
	if err != nil {
		cancel(f.upstream)
		a.end(s, f)
		return
	}
	if !s.open(f, c) {
		c.Abort()
		cancel(f.upstream)
		a.end(s, f)
		return
	}
	carry(c, f.upstream)
	a.linger(c)
	a.end(s, f)
}

// open notes that the handshake of a flow is complete.
func (s *flows) open(f *flow, c *stack.Conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if f.aborted {
		return false
	}
	f.opening = nil
	f.conn = c
	return true
}

func (a *Agent) end(s *flows, f *flow) {
	s.forget(f)
	a.step(owner.FlowEnded{
		Key:    f.key,
		Serial: f.serial,
	}, nil)
}

// linger waits until the stack no longer answers for the connection.
func (a *Agent) linger(c *stack.Conn) {
	ticker := time.NewTicker(lingerInterval)
	defer ticker.Stop()
	for c.Lingers() {
		select {
		case <-a.stopped:
			return
		case <-ticker.C:
		}
	}
}

// carry copies both ways until both ends are done. A fault on one side becomes a
// reset on the other, so that a cancelled request is cancelled for its upstream
// and a lost answer is never taken for a whole one.
func carry(c *stack.Conn, upstream *net.TCPConn) {
	asked := make(chan error, 1)
	go func() {
		err := copyHalf(upstream, c, questionBytes)
		if err != nil {
			cancel(upstream)
		}
		asked <- err
	}()
	err := copyHalf(c, upstream, answerBytes)
	if err != nil {
		c.Abort()
	}
	err = errors.Join(err, <-asked)
	if err != nil {
		c.Abort()
		cancel(upstream)
		return
	}
	_ = c.Close()
	_ = upstream.Close()
}

// half is a connection whose sending half can be closed.
type half interface {
	io.ReadWriter
	CloseWrite() error
}

// copyHalf hides ReadFrom and WriteTo, which would take larger buffers.
func copyHalf(to, from half, size int) error {
	_, err := io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, make([]byte, size))
	if err != nil {
		return err
	}
	return to.CloseWrite()
}

// cancel resets a connection to the upstream, so that it stops its work.
func cancel(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// abort cuts one flow from both of its ends.
func (a *Agent) abort(s *flows, c owner.Abort) {
	f := s.flow(c.Key)
	if f == nil || (c.Serial != 0 && f.serial != c.Serial) {
		return
	}
	a.cut(s, f)
}

// cut marks a flow as given up and resets what it has of connections. A
// handshake under way is ended inside the stack, without a word to the caller.
func (a *Agent) cut(s *flows, f *flow) {
	s.mutex.Lock()
	f.aborted = true
	opening := f.opening
	if f.upstream != nil {
		cancel(f.upstream)
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
	s.forget(f)
	p, err := link.Parse(opening.Inner)
	if err == nil {
		a.stack.Inject(rawip.AppendCallerReset(nil, p.Key, p.Sequence+1))
	}
}
