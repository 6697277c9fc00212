// Package proxy forwards TCP connections to a server on loopback and injects
// faults into them: delays, resets, one-way loss and silence.
package proxy

import (
	"errors"
	"net"
	"sync"
	"time"
)

// Mode is what the proxy does with the bytes of its connections.
type Mode int

// Modes of a Proxy.
const (
	// Pass forwards everything.
	Pass Mode = iota
	// Slow delays each chunk of an answer by answerDelay.
	Slow
	// OneWay forwards requests and drops answers.
	OneWay
)

const (
	// answerDelay is three times the answer time of the platform's store under its
	// usual load.
	answerDelay = 150 * time.Millisecond
	bufferBytes = 32 << 10
)

// Proxy forwards the connections of a listener to a server.
type Proxy struct {
	listener net.Listener
	target   string
	group    sync.WaitGroup

	mutex  sync.Mutex
	mode   Mode
	pairs  map[*pair]struct{}
	closed bool
}

// pair is a client's connection and the matching one to the server.
type pair struct {
	client, server net.Conn
	// silent means that nothing is forwarded although both connections stay open.
	silent bool
}

// Listen starts a proxy that forwards connections to address on to target.
func Listen(address, target string) (p *Proxy, err error) {
	p = &Proxy{
		target: target,
		pairs:  map[*pair]struct{}{},
	}
	if p.listener, err = net.Listen("tcp4", address); err != nil {
		return nil, err
	}
	p.group.Go(p.accept)
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string {
	return p.listener.Addr().String()
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			// Accept fails permanently once the proxy is closed.
			return
		}
		server, err := net.Dial("tcp4", p.target)
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
			p.remove(x)
			return
		}
		p.group.Go(func() { p.copy(x, server, client, false) })
		p.group.Go(func() { p.copy(x, client, server, true) })
	}
}

// copy forwards bytes in one direction until either connection ends.
func (p *Proxy) copy(x *pair, to, from net.Conn, answers bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.shouldForward(x, answers) {
			_, failed := to.Write(buffer[:n])
			err = errors.Join(err, failed)
		}
		if err != nil {
			p.closeUnlessSilent(x)
			return
		}
	}
}

// shouldForward waits for the delay of the mode and reports whether a chunk is
// forwarded.
func (p *Proxy) shouldForward(x *pair, answers bool) bool {
	p.mutex.Lock()
	mode, silent := p.mode, x.silent
	p.mutex.Unlock()
	if mode == Slow && answers {
		time.Sleep(answerDelay)
	}
	return !silent && (mode != OneWay || !answers)
}

// closeUnlessSilent closes a pair; a silent one stays open until the proxy closes.
func (p *Proxy) closeUnlessSilent(x *pair) {
	p.mutex.Lock()
	silent := x.silent && !p.closed
	p.mutex.Unlock()
	if !silent {
		p.remove(x)
	}
}

func (p *Proxy) remove(x *pair) {
	p.mutex.Lock()
	delete(p.pairs, x)
	p.mutex.Unlock()
	_ = x.client.Close()
	_ = x.server.Close()
}

// SetMode sets the mode of all connections.
func (p *Proxy) SetMode(m Mode) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.mode = m
}

// SilenceOpen silences the connections that are open now permanently; new ones
// work.
func (p *Proxy) SilenceOpen() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for x := range p.pairs {
		x.silent = true
	}
}

// ResetOpen resets the connections that are open now.
func (p *Proxy) ResetOpen() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for x := range p.pairs {
		if c, ok := x.client.(*net.TCPConn); ok {
			// Makes Close send a reset and discard unsent data.
			_ = c.SetLinger(0)
		}
		_ = x.client.Close()
	}
}

// Close stops the proxy and closes every connection.
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
