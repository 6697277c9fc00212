// Package proxy stands between processes and a server on loopback and harms their
// connections: it delays them, resets them, cuts them one way or silences them.
package proxy

import (
	"errors"
	"net"
	"sync"
	"time"
)

// Mode is what happens to the bytes of connections.
type Mode int

// Modes of a Proxy.
const (
	// Pass lets everything through.
	Pass Mode = iota
	// Slow delays each piece of an answer by slowBy.
	Slow
	// OneWay lets requests through and swallows answers.
	OneWay
)

const (
	// slowBy is three times what the platform's store takes under its usual load.
	slowBy     = 150 * time.Millisecond
	pieceBytes = 32 << 10
)

// Proxy forwards the connections of a listener to a server.
type Proxy struct {
	listener net.Listener
	to       string
	group    sync.WaitGroup

	mutex  sync.Mutex
	mode   Mode
	pairs  map[*pair]struct{}
	closed bool
}

// pair is one connection and its other half.
type pair struct {
	client, server net.Conn
	// silent tells that nothing passes any more, though both halves stay open.
	silent bool
}

// Listen forwards what comes to an address.
func Listen(address, to string) (p *Proxy, err error) {
	p = &Proxy{
		to:    to,
		pairs: map[*pair]struct{}{},
	}
	if p.listener, err = net.Listen("tcp4", address); err != nil {
		return nil, err
	}
	p.group.Go(p.accept)
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string {
	return p.listener.Addr().String()
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			// Accept fails for good when the proxy is closed.
			return
		}
		server, err := net.Dial("tcp4", p.to)
		if err != nil {
			_ = client.Close()
			continue
		}
		x := &pair{
			client: client,
			server: server,
		}
		p.mutex.Lock()
		p.pairs[x] = struct{}{}
		closed := p.closed
		p.mutex.Unlock()
		if closed {
			p.drop(x)
			return
		}
		p.group.Go(func() { p.copy(x, server, client, false) })
		p.group.Go(func() { p.copy(x, client, server, true) })
	}
}

// copy moves bytes one way until a half of the pair ends.
func (p *Proxy) copy(x *pair, to, from net.Conn, answers bool) {
	piece := make([]byte, pieceBytes)
	for {
		n, err := from.Read(piece)
		if n > 0 && p.passes(x, answers) {
			_, failed := to.Write(piece[:n])
			err = errors.Join(err, failed)
		}
		if err != nil {
			p.end(x)
			return
		}
	}
}

// passes waits as the mode asks and tells whether a piece goes through.
func (p *Proxy) passes(x *pair, answers bool) bool {
	p.mutex.Lock()
	mode, silent := p.mode, x.silent
	p.mutex.Unlock()
	if mode == Slow && answers {
		time.Sleep(slowBy)
	}
	return !silent && (mode != OneWay || !answers)
}

// end closes a pair; one that is silent stays open until the proxy closes.
func (p *Proxy) end(x *pair) {
	p.mutex.Lock()
	silent := x.silent && !p.closed
	p.mutex.Unlock()
	if !silent {
		p.drop(x)
	}
}

func (p *Proxy) drop(x *pair) {
	p.mutex.Lock()
	delete(p.pairs, x)
	p.mutex.Unlock()
	_ = x.client.Close()
	_ = x.server.Close()
}

// Set changes what happens to all connections.
func (p *Proxy) Set(m Mode) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.mode = m
}

// Silence lets the connections that are open go silent for good; new ones work.
func (p *Proxy) Silence() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for x := range p.pairs {
		x.silent = true
	}
}

// Reset resets the connections that are open.
func (p *Proxy) Reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for x := range p.pairs {
		if c, ok := x.client.(*net.TCPConn); ok {
			// Closing sends a reset instead of waiting for what is unsent.
			_ = c.SetLinger(0)
		}
		_ = x.client.Close()
	}
}

// Close ends the proxy and every connection.
func (p *Proxy) Close() error {
	err := p.listener.Close()
	p.mutex.Lock()
	p.closed = true
	for x := range p.pairs {
		_ = x.client.Close()
		_ = x.server.Close()
	}
	p.mutex.Unlock()
	p.group.Wait()
	return err
}
