package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	openTimeout     = 1400 * time.Millisecond
	requestDeadline = 2500 * time.Millisecond
	// resetWindow is how far the sequence number of a reset may be from the requester's
	// last acknowledgment on an open flow.
	resetWindow = 76_800

	probeInterval = 500 * time.Millisecond
	probeMisses   = 2
)

var (
	errRefused  = errors.New("refused")
	errReset    = errors.New("reset by the system")
	errEnded    = errors.New("reset by its endpoint")
	errNoAnswer = errors.New("no answer")
)

// fabric hands the packets of requesters to the balancers in rotation.
type fabric struct {
	mutex    sync.Mutex
	nodes    []netip.Addr
	misses   map[netip.Addr]int
	rotation []netip.Addr
}

func newFabric(nodes []netip.Addr) *fabric {
	f := &fabric{nodes: nodes, misses: map[netip.Addr]int{}}
	for _, n := range nodes {
		f.misses[n] = probeMisses
	}
	return f
}

func (f *fabric) run(stop <-chan struct{}) {
	c := http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for _, n := range f.nodes {
			r, err := c.Get("http://" + netip.AddrPortFrom(n, readyPort).String() + "/v1/readiness")
			ok := err == nil && r.StatusCode == http.StatusOK
			if err == nil {
				_ = r.Body.Close()
			}
			f.mutex.Lock()
			f.misses[n]++
			if ok {
				f.misses[n] = 0
			}
			f.rotation = nil
			for _, x := range f.nodes {
				if f.misses[x] < probeMisses {
					f.rotation = append(f.rotation, x)
				}
			}
			f.mutex.Unlock()
		}
		select {
		case <-stop:
			return
		case <-time.After(probeInterval):
		}
	}
}

// route returns the balancer for a flow. If fewer than half of the balancers are in
// rotation, all of them are used.
func (f *fabric) route(hash uint64) netip.AddrPort {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	list := f.rotation
	if 2*len(list) < len(f.nodes) {
		list = f.nodes
	}
	return netip.AddrPortFrom(list[hash%uint64(len(list))], callersPort)
}

func (f *fabric) inRotation() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.rotation)
}

// caller is one requester machine.
type caller struct {
	fabric *fabric
	rec    *record
	socket *net.UDPConn
	mutex  sync.Mutex
	port   uint16
	flows  map[uint16]*callerFlow
}

// callerFlow is one flow of a requester; one goroutine at a time uses it.
type callerFlow struct {
	caller   *caller
	key      flowKey
	hash     uint64
	seq, ack uint32
	open     bool
	packets  chan packet
	requests int
	// usedAt is when the flow last carried a request or an answer.
	usedAt time.Time
}

func newCaller(at netip.AddrPort, f *fabric, rec *record) (c *caller, err error) {
	c = &caller{fabric: f, rec: rec, port: 1024, flows: map[uint16]*callerFlow{}}
	if c.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at)); err != nil {
		return nil, err
	}
	go c.readPackets()
	return c, nil
}

func (c *caller) readPackets() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := c.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		p, genuine, err := decode(buffer[:n])
		own := err == nil && p.sum == 0 && p.flags == flagRst && len(p.data) == 0
		if err != nil || !genuine && !own {
			c.rec.breakRule("MIXED", "a requester gets a packet that its sender did not write so")
			continue
		}
		c.mutex.Lock()
		f := c.flows[p.dst.Port()]
		c.mutex.Unlock()
		if f == nil || f.key.target != p.src {
			continue
		}
		select {
		case f.packets <- p:
		default:
		}
	}
}

// connect opens a flow, with copies of the opening packet after 200 and 600 ms.
func (c *caller) connect(target netip.AddrPort) (f *callerFlow, err error) {
	c.mutex.Lock()
	c.port++
	at := netip.AddrPortFrom(c.socket.LocalAddr().(*net.UDPAddr).AddrPort().Addr().Unmap(), c.port)
	f = &callerFlow{
		caller: c, key: flowKey{caller: at, target: target}, hash: rand.Uint64(), seq: rand.Uint32(), packets: make(chan packet, 64),
	}
	c.flows[c.port] = f
	c.mutex.Unlock()
	start := time.Now()
	for n, until := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, openTimeout} {
		f.send(packet{seq: f.seq, ack: uint32(n), flags: flagSyn})
		for {
			p, ok := f.next(start.Add(until))
			if !ok {
				break
			}
			if p.flags&flagRst != 0 {
				f.forget()
				return nil, errRefused
			}
			if p.flags&flagSyn == 0 {
				continue
			}
			f.seq++
			f.ack = p.seq + 1
			f.open = true
			f.usedAt = time.Now()
			f.send(packet{seq: f.seq, ack: f.ack, flags: flagAck})
			return f, nil
		}
	}
	f.forget()
	return nil, errNoAnswer
}

func (f *callerFlow) next(until time.Time) (p packet, ok bool) {
	select {
	case p = <-f.packets:
		return p, true
	case <-time.After(time.Until(until)):
		return p, false
	}
}

func (f *callerFlow) send(p packet) {
	p.src, p.dst = f.key.caller, f.key.target
	// A packet that cannot be sent counts as lost.
	_, _ = f.caller.socket.WriteToUDPAddrPort(encode(p), f.caller.fabric.route(f.hash))
}

func (f *callerFlow) forget() {
	f.caller.mutex.Lock()
	delete(f.caller.flows, f.key.caller.Port())
	f.caller.mutex.Unlock()
}

// request sends one request on the flow and waits for its answer.
func (f *callerFlow) request() error {
	f.requests++
	id := fmt.Sprintf("%s-%d", f.key.caller, f.requests)
	text := fmt.Appendf(nil, "GET / HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n\r\n", f.key.target, requestIDHeader, id)
	f.caller.rec.add("request %s is sent", id)
	err := f.exchange(id, text)
	if err != nil {
		f.caller.rec.add("request %s ends: %v", id, err)
		f.forget()
		return err
	}
	f.usedAt = time.Now()
	f.caller.rec.add("request %s is answered", id)
	return nil
}

func (f *callerFlow) exchange(id string, text []byte) error {
	deadline := time.Now().Add(requestDeadline)
	for wait := firstResendDelay; time.Now().Before(deadline); wait = min(2*wait, maxResendDelay) {
		f.send(packet{seq: f.seq, ack: f.ack, flags: flagAck, data: text})
		until := time.Now().Add(wait)
		if deadline.Before(until) {
			until = deadline
		}
		for {
			p, ok := f.next(until)
			if !ok {
				break
			}
			switch {
			case p.flags&flagRst != 0 && p.sum == 0:
				if p.seq-f.ack+resetWindow <= 2*resetWindow {
					return errReset
				}
				continue
			case p.flags&flagRst != 0 || p.flags&flagFin != 0:
				return errEnded
			case len(p.data) == 0 || p.seq != f.ack:
				continue
			}
			f.seq += uint32(len(text))
			f.ack += uint32(len(p.data))
			f.send(packet{seq: f.seq, ack: f.ack, flags: flagAck})
			return f.check(id, string(p.data))
		}
	}
	return errNoAnswer
}

// check checks that an answer is the whole signed answer to the request.
func (f *callerFlow) check(id, text string) error {
	body := "answer to " + id
	if headerValue(text, signatureHeader) != signature(body) || headerValue(text, requestIDHeader) != id {
		f.caller.rec.breakRule("MIXED", "request %s gets another answer: %q", id, text)
	}
	return nil
}

// end closes the flow.
func (f *callerFlow) end() {
	f.send(packet{seq: f.seq, ack: f.ack, flags: flagFin | flagAck})
	time.AfterFunc(time.Second, f.forget)
}
