package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Flag bits of a packet, the size of its header, and the key of its sum, which callers and
// endpoints share.
const (
	flagSyn     = 128
	flagBounced = 32
	flagAck     = 16
	flagRst     = 8
	flagFin     = 2

	headerBytes = 32
	sumKey      = "the ends of a flow"

	reportInterval = 1200 * time.Millisecond
	reportTimeout  = time.Second
	bufferBytes    = 4096
	// farAhead is more than a flow carries: an acknowledgment beyond it is that of another flow.
	farAhead = 1 << 20
)

var byteOrder = binary.LittleEndian

// serverFlow is a flow at an endpoint.
type serverFlow struct {
	initial uint32
	open    bool
	// sequence is that of the latest request, answer the answer to it once there is one.
	sequence uint32
	started  bool
	answer   []byte
}

// server is an endpoint. It answers each SYN once its handshake is done, and leaves further
// copies of a SYN alone once the flow is open.
type server struct {
	id        string
	at        netip.AddrPort
	outbound  netip.AddrPort
	control   netip.AddrPort
	handshake time.Duration
	work      time.Duration

	socket   *net.UDPConn
	listener net.Listener
	stop     chan struct{}
	group    sync.WaitGroup
	mutex    sync.Mutex
	slowness time.Duration
	flows    map[uint64]*serverFlow
	born     int64
	sequence int
	// requests are the flows of the requests that the endpoint has begun to work on.
	requests map[string]*serverFlow
	// note writes a line of the record.
	note func(format string, args ...any)
}

// flowID returns the caller's address and port.
func flowID(b []byte) uint64 {
	return uint64(byteOrder.Uint32(b[12:]))<<16 | uint64(byteOrder.Uint16(b[10:]))
}

func (s *server) run() (err error) {
	s.stop = make(chan struct{})
	s.flows = map[uint64]*serverFlow{}
	s.requests = map[string]*serverFlow{}
	s.born = time.Now().UnixMilli()
	if s.slowness == 0 {
		s.slowness = 1
	}
	if s.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.at)); err != nil {
		return err
	}
	if s.listener, err = net.Listen("tcp4", s.at.String()); err != nil {
		return errors.Join(err, s.socket.Close())
	}
	s.group.Go(s.serveHealth)
	s.group.Go(s.readPackets)
	s.group.Go(s.sendReports)
	return nil
}

// setSlowness makes work and handshakes take x times as long.
func (s *server) setSlowness(x int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.slowness = time.Duration(x)
}

func (s *server) close() {
	close(s.stop)
	_ = s.socket.Close()
	_ = s.listener.Close()
	s.group.Wait()
}

func (s *server) serveHealth() {
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	h := http.Server{
		Handler:           handler,
		ReadHeaderTimeout: time.Second,
	}
	_ = h.Serve(s.listener)
}

func (s *server) sendReports() {
	for {
		s.sendReport()
		select {
		case <-s.stop:
			return
		case <-time.After(reportInterval):
		}
	}
}

func (s *server) sendReport() {
	s.sequence++
	body, err := json.Marshal(map[string]any{
		"service":    service,
		"address":    s.at.String(),
		"zone":       "nord",
		"version":    "v1",
		"slots":      slots,
		"state":      "ready",
		"coldLeftMs": 0,
		"sequence":   s.sequence,
		"born":       s.born,
	})
	if err != nil {
		return
	}
	url := "http://" + s.control.String() + "/v1/instances/" + s.id
	q, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	client := http.Client{
		Timeout: reportTimeout,
	}
	if r, err := client.Do(q); err == nil {
		_, _ = io.Copy(io.Discard, r.Body)
		_ = r.Body.Close()
	}
}

func (s *server) readPackets() {
	buffer := make([]byte, bufferBytes)
	for {
		n, _, err := s.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n < headerBytes {
			continue
		}
		b := bytes.Clone(buffer[:n])
		s.mutex.Lock()
		if b[28]&flagSyn != 0 {
			s.handleOpening(b)
		} else {
			s.handlePacket(b)
		}
		s.mutex.Unlock()
	}
}

func (s *server) handleOpening(b []byte) {
	f, ok := s.flows[flowID(b)]
	if ok && f.open {
		return
	}
	if !ok {
		f = &serverFlow{
			initial: uint32(time.Now().UnixNano()),
		}
		s.flows[flowID(b)] = f
	}
	time.AfterFunc(s.handshake*s.slowness, func() {
		s.send(answerTo(b, f.initial, byteOrder.Uint32(b[20:])+1, flagSyn|flagAck, nil))
	})
}

func (s *server) handlePacket(b []byte) {
	f, ok := s.flows[flowID(b)]
	ack, sequence, data := byteOrder.Uint32(b[24:]), byteOrder.Uint32(b[20:]), b[headerBytes:]
	if !ok || ack-f.initial > farAhead {
		b[28] |= flagBounced
		b[29] = 0
		s.send(b)
		return
	}
	f.open = true
	switch {
	case b[28]&(flagRst|flagFin) != 0 || len(data) == 0:
	case f.started && sequence == f.sequence && f.answer != nil:
		s.send(f.answer)
	case f.started && int32(sequence-f.sequence) <= 0:
	default:
		f.started, f.sequence, f.answer = true, sequence, nil
		s.requests[string(data)] = f
		s.note("endpoint %s runs %s", s.id, data)
		time.AfterFunc(s.work*s.slowness, func() {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			f.answer = answerTo(b, ack, sequence+uint32(len(data)), flagAck, []byte(string(data)+" "+service+" "+s.id))
			s.send(f.answer)
		})
	}
}

// holds reports whether the endpoint holds the open flow on which it ran a request.
func (s *server) holds(request string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f, ok := s.requests[request]
	return ok && f.open
}

// send sends a packet to the agent; one that cannot be sent counts as lost.
func (s *server) send(b []byte) {
	_, _ = s.socket.WriteToUDPAddrPort(b, s.outbound)
}

// answerTo encodes a packet to the caller of a packet.
func answerTo(to []byte, sequence, ack uint32, flags byte, data []byte) []byte {
	b := make([]byte, headerBytes+len(data))
	copy(b[8:10], to[10:12])
	copy(b[10:12], to[8:10])
	copy(b[12:16], to[16:20])
	copy(b[16:20], to[12:16])
	byteOrder.PutUint32(b[20:], sequence)
	byteOrder.PutUint32(b[24:], ack)
	b[28] = flags
	byteOrder.PutUint16(b[30:], uint16(len(data)))
	copy(b[headerBytes:], data)
	byteOrder.PutUint32(b, sum(b))
	return b
}

func sum(b []byte) uint32 {
	x := append([]byte(sumKey), b[8:28]...)
	x = append(x, b[28]&^flagBounced, b[30], b[31])
	x = append(x, b[headerBytes:]...)
	return uint32(xxhash.Sum64(x)) | 1
}
