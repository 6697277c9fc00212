package entry

import (
	"encoding/binary"
	"errors"
	"net/netip"
	"time"

	"github.com/clementinewing/clementinewing/internal/edge/batch"
	"github.com/clementinewing/clementinewing/internal/edge/wire"
	"github.com/clementinewing/clementinewing/internal/flow/rank"
	"github.com/clementinewing/clementinewing/internal/flow/steer"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

const (
	// reportInterval is the minimum time between two reports to the prober, by the same
	// thread, that packets are sent to the same agent.
	reportInterval = 200 * time.Millisecond
	// maxReports is the length of the table in which a thread remembers its reports;
	// two agents that share an entry are reported more often.
	maxReports       = 256
	ipv4LengthOffset = 2
)

// thread handles the packets of one fabric socket. Its state is not shared.
type thread struct {
	entry          *PacketPath
	reader         *batch.Reader
	sealer         *wire.Sealer
	writer         *batch.Writer
	newLinkWriters map[*batch.Socket]*batch.Writer
	arrivals       []steer.Arrival
	packets        [][]byte
	decision       steer.Decision
	message        wire.Message
	candidates     [rank.MaxCandidates]wire.Candidate
	counts         batchCounts
	reports        [maxReports]sentReport
	sentTo         []netip.AddrPort
}

// sentReport records from when on a thread may report again that it sends packets
// to an agent.
type sentReport struct {
	agent  netip.AddrPort
	nextAt time.Time
}

func newThread(e *PacketPath, fabric, tunnel *batch.Socket) *thread {
	return &thread{
		entry:          e,
		reader:         batch.NewReader(fabric, batchPackets, packetBytes),
		sealer:         wire.NewSealer(e.ring),
		writer:         batch.NewWriter(tunnel, batchPackets, wire.MaxBytes),
		newLinkWriters: map[*batch.Socket]*batch.Writer{},
		arrivals:       make([]steer.Arrival, 0, batchPackets),
		packets:        make([][]byte, 0, batchPackets),
		message: wire.Message{
			Kind:     wire.Packet,
			Balancer: e.TunnelAddress(),
		},
	}
}

func (t *thread) run() error {
	for {
		n, err := t.reader.Read()
		if err != nil {
			return err
		}
		t.handleBatch(t.entry.now(), n)
	}
}

// handleBatch forwards one batch from the fabric to agents.
func (t *thread) handleBatch(now time.Time, count int) {
	t.parseBatch(count)
	t.entry.steerer.Prepare(t.arrivals)
	for i := range t.arrivals {
		t.forwardPacket(now, i)
	}
	t.flush()
	t.entry.totals.add(&t.counts)
	if len(t.sentTo) > 0 {
		t.entry.links.recordSent(now, t.sentTo)
		t.sentTo = t.sentTo[:0]
	}
}

// parseBatch parses the packets of a batch and cuts each to its length in the IP
// header.
func (t *thread) parseBatch(count int) {
	t.counts[Received] += uint64(count)
	t.arrivals = t.arrivals[:0]
	t.packets = t.packets[:0]
	for i := range count {
		b := t.reader.Datagram(i)
		if t.reader.Truncated(i) {
			t.counts[DropOversized]++
			continue
		}
		p, err := link.Parse(b)
		if err != nil {
			t.counts[DropMalformed]++
			continue
		}
		t.arrivals = append(t.arrivals, steer.Arrival{
			Packet: p,
		})
		t.packets = append(t.packets, b[:binary.BigEndian.Uint16(b[ipv4LengthOffset:])])
	}
}

func (t *thread) forwardPacket(now time.Time, i int) {
	d := &t.decision
	err := t.entry.steerer.Decide(now, &t.arrivals[i], d)
	if err != nil {
		t.counts[dropCounterOf(err)]++
		return
	}
	if d.Hinted {
		t.counts[Hinted]++
	}
	if d.Retransmits > 0 {
		t.counts[Repeated]++
	}
	to := d.Endpoints[d.Order[0]].Agent
	t.buildMessage(t.packets[i])
	t.send(to)
	t.recordSent(now, to, d)
}

func dropCounterOf(err error) Counter {
	if errors.Is(err, steer.ErrNoService) {
		return DropNoService
	}
	return DropNoEndpoint
}

// buildMessage fills the message with the packet and the current decision.
func (t *thread) buildMessage(packet []byte) {
	m := &t.message
	m.Service = t.decision.Service
	m.Inner = packet
	m.Candidates = t.candidates[:len(t.decision.Order)]
	for i, index := range t.decision.Order {
		e := &t.decision.Endpoints[index]
		m.Candidates[i].Agent = e.Agent
		m.Candidates[i].Incarnation = e.Incarnation
	}
}

func (t *thread) send(to netip.AddrPort) {
	w := t.writerFor(to)
	b := t.sealer.Seal(w.NextBuffer(), &t.message)
	if len(b) == 0 {
		t.counts[DropSend]++
		return
	}
	w.Add(to, b)
	if w.Full() {
		_ = t.flushWriter(w)
	}
}

// writerFor returns the writer for the link to an agent: that of its new link, or
// that of the tunnel.
func (t *thread) writerFor(to netip.AddrPort) *batch.Writer {
	s := t.entry.links.socket(to)
	if s == nil {
		return t.writer
	}
	w := t.newLinkWriters[s]
	if w == nil {
		w = batch.NewWriter(s, tunnelPackets, wire.MaxBytes)
		t.newLinkWriters[s] = w
	}
	return w
}

func (t *thread) flush() {
	_ = t.flushWriter(t.writer)
	for s, w := range t.newLinkWriters {
		if t.flushWriter(w) != nil {
			delete(t.newLinkWriters, s)
		}
	}
}

// flushWriter sends the datagrams of one writer and counts the sent and the failed
// ones. It returns an error if the socket is closed; its packets count as dropped.
func (t *thread) flushWriter(w *batch.Writer) error {
	sent, err := w.Flush()
	t.counts[Forwarded] += uint64(sent.Sent)
	t.counts[DropSend] += uint64(sent.Failed)
	return err
}

// recordSent collects the agents to report to the prober, each about once per
// reportInterval while packets are sent to it.
func (t *thread) recordSent(now time.Time, to netip.AddrPort, d *steer.Decision) {
	r := &t.reports[uint64(d.Endpoints[d.Order[0]].Incarnation)%maxReports]
	if r.agent == to && now.Before(r.nextAt) {
		return
	}
	r.agent = to
	r.nextAt = now.Add(reportInterval)
	t.sentTo = append(t.sentTo, to)
}
