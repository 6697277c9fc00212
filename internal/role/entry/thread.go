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
	// reportGap is the least time between two reports of one thread that packets
	// go to a side process.
	reportGap = 200 * time.Millisecond
	// reportSlots bounds what a thread remembers of its reports; two side
	// processes that share a slot are reported more often.
	reportSlots = 256
	ipv4Total   = 2
)

// thread handles the packets of one fabric socket. What it holds is its own.
type thread struct {
	entry    *Entry
	reader   *batch.Reader
	sealer   *wire.Sealer
	writer   *batch.Writer
	renewed  map[*batch.Socket]*batch.Writer
	arrivals []steer.Arrival
	packets  [][]byte
	decision steer.Decision
	message  wire.Message
	room     [rank.MaxCandidates]wire.Candidate
	tally    tally
	reports  [reportSlots]report
	sent     []netip.AddrPort
}

// report is the last time a thread said that packets go to a side process.
type report struct {
	agent netip.AddrPort
	after time.Time
}

func newThread(e *Entry, fabric, tunnel *batch.Socket) *thread {
	return &thread{
		entry:    e,
		reader:   batch.NewReader(fabric, batchPackets, packetBytes),
		sealer:   wire.NewSealer(e.ring),
		writer:   batch.NewWriter(tunnel, batchPackets, wire.MaxBytes),
		renewed:  map[*batch.Socket]*batch.Writer{},
		arrivals: make([]steer.Arrival, 0, batchPackets),
		packets:  make([][]byte, 0, batchPackets),
		message: wire.Message{
			Kind:     wire.Packet,
			Balancer: e.Tunnel(),
		},
	}
}

func (t *thread) run() error {
	for {
		n, err := t.reader.Read()
		if err != nil {
			return err
		}
		t.handle(t.entry.now(), n)
	}
}

// handle takes one batch from the fabric to the side processes.
func (t *thread) handle(now time.Time, count int) {
	t.parse(count)
	t.entry.steerer.Prepare(t.arrivals)
	for i := range t.arrivals {
		t.forward(now, i)
	}
	t.flush()
	t.entry.totals.add(&t.tally)
	if len(t.sent) > 0 {
		t.entry.links.report(now, t.sent)
		t.sent = t.sent[:0]
	}
}

func (t *thread) parse(count int) {
	t.tally[Received] += uint64(count)
	t.arrivals = t.arrivals[:0]
	t.packets = t.packets[:0]
	for i := range count {
		b := t.reader.Datagram(i)
		if t.reader.Truncated(i) {
			t.tally[DropOversized]++
			continue
		}
		p, err := link.Parse(b)
		if err != nil {
			t.tally[DropMalformed]++
			continue
		}
		t.arrivals = append(t.arrivals, steer.Arrival{
			Packet: p,
		})
		t.packets = append(t.packets, b[:binary.BigEndian.Uint16(b[ipv4Total:])])
	}
}

func (t *thread) forward(now time.Time, i int) {
	d := &t.decision
	err := t.entry.steerer.Decide(now, &t.arrivals[i], d)
	if err != nil {
		t.tally[reasonOf(err)]++
		return
	}
	if d.Hinted {
		t.tally[Hinted]++
	}
	if d.Retransmits > 0 {
		t.tally[Repeated]++
	}
	to := d.Endpoints[d.Order[0]].Agent
	t.fill(t.packets[i])
	t.send(to)
	t.note(now, to, d)
}

func reasonOf(err error) Counter {
	if errors.Is(err, steer.ErrNoService) {
		return DropNoService
	}
	return DropNoEndpoint
}

// fill makes the message of the decision at hand.
func (t *thread) fill(packet []byte) {
	m := &t.message
	m.Service = t.decision.Service
	m.Inner = packet
	m.Candidates = t.room[:len(t.decision.Order)]
	for i, index := range t.decision.Order {
		e := &t.decision.Endpoints[index]
		m.Candidates[i].Agent = e.Agent
		m.Candidates[i].Incarnation = e.Incarnation
	}
}

func (t *thread) send(to netip.AddrPort) {
	w := t.writerFor(to)
	b := t.sealer.Seal(w.Slot(), &t.message)
	if len(b) == 0 {
		t.tally[DropSend]++
		return
	}
	w.Add(to, b)
	if w.Full() {
		_ = t.flushOne(w)
	}
}

// writerFor gives the writer of the link to a side process: the tunnel's, unless
// the link was renewed.
func (t *thread) writerFor(to netip.AddrPort) *batch.Writer {
	s := t.entry.links.socket(to)
	if s == nil {
		return t.writer
	}
	w := t.renewed[s]
	if w == nil {
		w = batch.NewWriter(s, tunnelPackets, wire.MaxBytes)
		t.renewed[s] = w
	}
	return w
}

func (t *thread) flush() {
	_ = t.flushOne(t.writer)
	for s, w := range t.renewed {
		if t.flushOne(w) != nil {
			delete(t.renewed, s)
		}
	}
}

// flushOne counts what became of a batch. Its error is that of a closed socket,
// whose packets are counted as dropped.
func (t *thread) flushOne(w *batch.Writer) error {
	sent, err := w.Flush()
	t.tally[Forwarded] += uint64(sent.Sent)
	t.tally[DropSend] += uint64(sent.Failed)
	return err
}

// note gathers the side processes that packets go to, each now and then.
func (t *thread) note(now time.Time, to netip.AddrPort, d *steer.Decision) {
	r := &t.reports[uint64(d.Endpoints[d.Order[0]].Incarnation)%reportSlots]
	if r.agent == to && now.Before(r.after) {
		return
	}
	r.agent = to
	r.after = now.Add(reportGap)
	t.sent = append(t.sent, to)
}
