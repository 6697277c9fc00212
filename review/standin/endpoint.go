package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	requestIDHeader = "X-Clementinewing-Request-Id"
	signatureHeader = "X-Clementinewing-Response-Signature"

	heartbeat     = 1200 * time.Millisecond
	reportTimeout = time.Second
	// reportRetryDelay is the pause after a report that was not acknowledged.
	reportRetryDelay = 200 * time.Millisecond
	workTime         = 5 * time.Millisecond
	// coldTime is how long an endpoint stays slow after its start, as in the site file.
	coldTime   = 2 * time.Second
	coldFactor = 1.6
	slots      = 7

	firstResendDelay = 200 * time.Millisecond
	maxResendDelay   = 1600 * time.Millisecond
	maxResends       = 8
)

// boot is one start of an endpoint. It speaks what PROTOCOL.md says of endpoints.
type boot struct {
	id, service            string
	app, outbound, control netip.AddrPort
	born                   int64
	startedAt              time.Time
	rec                    *record

	socket   *net.UDPConn
	health   *http.Server
	cancel   context.CancelFunc
	group    sync.WaitGroup
	slots    chan struct{}
	reportMu sync.Mutex

	mutex        sync.Mutex
	flows        map[flowKey]*endpointFlow
	sequence     uint64
	draining     bool
	drainAckedAt time.Time
	endedAt      time.Time
	lateOpenings int
}

// endpointFlow is a flow as its endpoint holds it.
type endpointFlow struct {
	key          flowKey
	callerSeq    uint32
	initial      uint32
	sendNext     uint32
	receiveNext  uint32
	open, closed bool
	// unacked is the packet to send again until the requester acknowledges unackedEnd.
	unacked    []byte
	unackedEnd uint32
	input      []byte
}

// start opens the sockets of the endpoint and begins to report after a delay.
func (b *boot) start(firstReport time.Duration) (err error) {
	b.flows = map[flowKey]*endpointFlow{}
	b.slots = make(chan struct{}, slots)
	b.startedAt = time.Now()
	if b.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(b.app)); err != nil {
		return err
	}
	listener, err := net.Listen("tcp4", b.app.String())
	if err != nil {
		return errors.Join(err, b.socket.Close())
	}
	b.health = &http.Server{Handler: http.HandlerFunc(b.serveHealth), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = b.health.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	b.group.Go(b.readPackets)
	b.group.Go(func() { b.sendReports(ctx, firstReport) })
	b.rec.add("endpoint %s of %s starts at %s, born %d", b.id, b.service, b.app, b.born)
	return nil
}

func (b *boot) serveHealth(w http.ResponseWriter, _ *http.Request) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// end closes the endpoint at once; its flows are lost.
func (b *boot) end(why string) {
	b.rec.add("endpoint %s %s", b.id, why)
	b.mutex.Lock()
	b.endedAt = time.Now()
	b.mutex.Unlock()
	b.cancel()
	_ = b.socket.Close()
	_ = b.health.Close()
	b.group.Wait()
}

// drain reports that the endpoint leaves, until that is acknowledged.
func (b *boot) drain() {
	b.mutex.Lock()
	b.draining = true
	b.mutex.Unlock()
	for range 20 {
		if b.report(context.Background()) {
			return
		}
		time.Sleep(reportRetryDelay)
	}
}

// leave reports the end of the endpoint and ends it.
func (b *boot) leave() {
	q, err := http.NewRequest(http.MethodDelete, b.url(), nil)
	if err == nil {
		c := http.Client{Timeout: reportTimeout}
		if r, err := c.Do(q); err == nil {
			_ = r.Body.Close()
			b.rec.add("endpoint %s says that it leaves: %d", b.id, r.StatusCode)
		}
	}
	b.end("exits")
}

func (b *boot) url() string {
	return "http://" + b.control.String() + "/v1/instances/" + b.id
}

func (b *boot) sendReports(ctx context.Context, wait time.Duration) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = heartbeat
		if !b.report(ctx) {
			wait = reportRetryDelay
		}
	}
}

// report sends one liveness report and tells whether it was acknowledged.
func (b *boot) report(ctx context.Context) bool {
	b.reportMu.Lock()
	defer b.reportMu.Unlock()
	b.mutex.Lock()
	b.sequence++
	state := "ready"
	if b.draining {
		state = "draining"
	}
	cold := max(0, time.Until(b.startedAt.Add(coldTime)).Milliseconds())
	text, err := json.Marshal(map[string]any{
		"service": b.service, "address": b.app.String(), "zone": zoneName, "version": "v1", "slots": slots,
		"state": state, "coldLeftMs": cold, "sequence": b.sequence, "born": b.born,
	})
	sequence := b.sequence
	b.mutex.Unlock()
	if err != nil {
		return false
	}
	call, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(call, http.MethodPut, b.url(), bytes.NewReader(text))
	if err != nil {
		return false
	}
	q.Header.Set("Content-Type", "application/json")
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Do(q)
	if err != nil {
		b.rec.add("report %d of %s (%s) gets no answer", sequence, b.id, state)
		return false
	}
	_ = r.Body.Close()
	b.rec.add("report %d of %s (%s, born %d, coldLeftMs %d) is answered with %d", sequence, b.id, state, b.born, cold, r.StatusCode)
	if r.StatusCode/100 != 2 {
		return false
	}
	b.mutex.Lock()
	if state == "draining" && b.drainAckedAt.IsZero() {
		b.drainAckedAt = time.Now()
	}
	b.mutex.Unlock()
	return true
}

func (b *boot) readPackets() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := b.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		p, genuine, err := decode(buffer[:n])
		if err != nil || !genuine {
			b.rec.breakRule("UNASKED", "endpoint %s gets a packet that its sender did not write so", b.id)
			continue
		}
		b.mutex.Lock()
		b.handle(p, buffer[:n])
		b.mutex.Unlock()
	}
}

func (b *boot) handle(p packet, raw []byte) {
	key := flowKey{caller: p.src, target: p.dst}
	f := b.flows[key]
	if p.flags&flagSyn != 0 {
		b.handleSyn(key, f, p)
		return
	}
	if f == nil || p.flags&flagAck != 0 && p.ack-f.initial-1 > f.sendNext-f.initial-1 {
		bounced := append([]byte(nil), raw...)
		bounced[28] |= flagBounced
		bounced[29] = 0
		b.write(bounced)
		return
	}
	if !f.open {
		f.open = true
		b.rec.add("flow %v opens at %s", key.caller, b.id)
	}
	if f.unacked != nil && p.flags&flagAck != 0 && int32(p.ack-f.unackedEnd) >= 0 {
		f.unacked = nil
	}
	switch {
	case p.flags&flagRst != 0:
		f.closed = true
	case f.closed && len(p.data) > 0:
		b.reply(f, packet{seq: f.sendNext, ack: f.receiveNext, flags: flagRst | flagAck})
	case len(p.data) > 0:
		b.handleData(f, p)
	}
	if p.flags&flagFin != 0 {
		if !f.closed {
			f.closed = true
			f.receiveNext = p.seq + uint32(len(p.data)) + 1
			b.reply(f, packet{seq: f.sendNext, ack: f.receiveNext, flags: flagFin | flagAck})
			f.sendNext++
			return
		}
		b.reply(f, packet{seq: f.sendNext, ack: f.receiveNext, flags: flagAck})
	}
}

func (b *boot) handleSyn(key flowKey, f *endpointFlow, p packet) {
	if !b.drainAckedAt.IsZero() && time.Since(b.drainAckedAt) > drainBound {
		b.lateOpenings++
		b.rec.add("flow %v: opening reaches %s %.0f ms after it was acknowledged as draining", key.caller, b.id, float64(time.Since(b.drainAckedAt).Milliseconds()))
	}
	switch {
	case f != nil && f.callerSeq == p.seq && f.open:
		b.reply(f, packet{seq: f.sendNext, ack: f.receiveNext, flags: flagAck})
		return
	case f == nil || f.callerSeq != p.seq:
		f = &endpointFlow{key: key, callerSeq: p.seq, initial: rand.Uint32(), receiveNext: p.seq + 1}
		f.sendNext = f.initial + 1
		b.flows[key] = f
		b.send(f, packet{seq: f.initial, ack: f.receiveNext, flags: flagSyn | flagAck}, f.sendNext)
		return
	}
	b.reply(f, packet{seq: f.initial, ack: f.receiveNext, flags: flagSyn | flagAck})
}

func (b *boot) handleData(f *endpointFlow, p packet) {
	if p.seq != f.receiveNext {
		// A retransmission: the answer to it may have been lost.
		b.reply(f, packet{seq: f.sendNext, ack: f.receiveNext, flags: flagAck})
		return
	}
	f.receiveNext += uint32(len(p.data))
	f.input = append(f.input, p.data...)
	if !bytes.HasSuffix(f.input, []byte("\r\n\r\n")) {
		return
	}
	request := string(f.input)
	f.input = nil
	b.group.Go(func() { b.run(f, request) })
}

func (b *boot) run(f *endpointFlow, request string) {
	b.slots <- struct{}{}
	defer func() { <-b.slots }()
	id := headerValue(request, requestIDHeader)
	b.rec.add("request %s is run by %s", id, b.id)
	work := workTime
	if time.Since(b.startedAt) < coldTime {
		work = time.Duration(coldFactor * float64(work))
	}
	time.Sleep(work)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.endedAt.IsZero() {
		return
	}
	body := "answer to " + id
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", requestIDHeader, id, signatureHeader, signature(body), len(body), body)
	from := f.sendNext
	f.sendNext += uint32(len(text))
	b.send(f, packet{seq: from, ack: f.receiveNext, flags: flagAck, data: []byte(text)}, f.sendNext)
}

func headerValue(text, name string) string {
	for line := range strings.SplitSeq(text, "\r\n") {
		if n, v, ok := strings.Cut(line, ": "); ok && strings.EqualFold(n, name) {
			return v
		}
	}
	return ""
}

func signature(body string) string {
	return fmt.Sprintf("%08x", checksum(append(make([]byte, headerBytes), body...)))
}

// send sends a packet and sends it again until the requester acknowledges it.
func (b *boot) send(f *endpointFlow, p packet, end uint32) {
	p.src, p.dst = f.key.target, f.key.caller
	raw := encode(p)
	f.unacked, f.unackedEnd = raw, end
	b.write(raw)
	b.scheduleResend(f, end, firstResendDelay, 1)
}

func (b *boot) scheduleResend(f *endpointFlow, end uint32, wait time.Duration, count int) {
	time.AfterFunc(wait, func() {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		if f.unacked == nil || f.unackedEnd != end || !b.endedAt.IsZero() || count > maxResends {
			return
		}
		b.write(f.unacked)
		b.scheduleResend(f, end, min(2*wait, maxResendDelay), count+1)
	})
}

func (b *boot) reply(f *endpointFlow, p packet) {
	p.src, p.dst = f.key.target, f.key.caller
	b.write(encode(p))
}

func (b *boot) write(raw []byte) {
	// A datagram that cannot be sent counts as lost.
	_, _ = b.socket.WriteToUDPAddrPort(raw, b.outbound)
}

// holds reports whether the endpoint lives and holds the flow, open and not closed.
func (b *boot) holds(key flowKey) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	f := b.flows[key]
	return b.endedAt.IsZero() && f != nil && f.open && !f.closed
}
