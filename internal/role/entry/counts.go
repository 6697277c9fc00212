package entry

import (
	"sync/atomic"

	"github.com/clementinewing/clementinewing/internal/edge/wire"
	"github.com/clementinewing/clementinewing/internal/flow/probe"
)

// Counter identifies one counter of a packet path.
type Counter uint8

// Counters of packets from the fabric, then of datagrams from agents. Dropped
// packets are counted by reason.
const (
	// Received counts packets from the fabric, Forwarded those sent to agents.
	Received Counter = iota
	Forwarded
	// Hinted counts packets forwarded to an owner known from a hint, Repeated
	// retransmitted SYNs.
	Hinted
	Repeated
	// Packets dropped: not a whole IPv4 packet with TCP or UDP, too long for a
	// datagram, to no service, to a service without endpoints, refused by the
	// sending socket.
	DropMalformed
	DropOversized
	DropNoService
	DropNoEndpoint
	DropSend
	// HintsKept counts hints that were stored, Answers the answers to own probes.
	HintsKept
	Answers
	// LinkFailed counts probes and new links that the kernel refused.
	LinkFailed
	// Relayed counts packets forwarded on behalf of an agent, RelayForeign those
	// dropped: without a valid flow key or candidate, or for another balancer.
	Relayed
	RelayForeign
	// Datagrams dropped: a hint without a valid flow key or a single owner, a hint for
	// another balancer, a hint whose owner is not an endpoint of the service, an answer
	// that is not to a probe of this balancer, a kind that agents do not send.
	HintMalformed
	HintForeign
	HintNoOwner
	AnswerForeign
	KindForeign
	// datagramFaults is the first of wire.FaultCount counters, one per wire.Fault. The
	// first one is unused, because no fault has the value 0.
	datagramFaults
)

const counterCount = int(datagramFaults) + wire.FaultCount

var counterNames = [datagramFaults]string{
	Received:       "received",
	Forwarded:      "forwarded",
	Hinted:         "hinted",
	Repeated:       "repeated_openings",
	DropMalformed:  "drop_malformed",
	DropOversized:  "drop_oversized",
	DropNoService:  "drop_no_service",
	DropNoEndpoint: "drop_no_endpoint",
	DropSend:       "drop_send",
	HintsKept:      "hints_kept",
	Answers:        "answers",
	LinkFailed:     "link_failed",
	Relayed:        "relayed",
	RelayForeign:   "relay_foreign",
	HintMalformed:  "hint_malformed",
	HintForeign:    "hint_foreign",
	HintNoOwner:    "hint_no_owner",
	AnswerForeign:  "answer_foreign",
	KindForeign:    "kind_foreign",
}

// FaultCounter returns the counter of datagrams from agents dropped for a fault.
func FaultCounter(f wire.Fault) Counter {
	return datagramFaults + Counter(f)
}

// String returns the name of the counter in metrics.
func (c Counter) String() string {
	if c < datagramFaults {
		return counterNames[c]
	}
	return "datagram_" + wire.Fault(c-datagramFaults).String()
}

// Counts is a snapshot of the counters of a packet path.
type Counts struct {
	Values [counterCount]uint64
	Links  probe.Counts
}

// Of returns the value of one counter.
func (c *Counts) Of(k Counter) uint64 {
	return c.Values[k]
}

// Each calls visit with every counter.
func (c *Counts) Each(visit func(name string, value uint64)) {
	for k := range Counter(counterCount) {
		if k != datagramFaults {
			visit(k.String(), c.Values[k])
		}
	}
}

// batchCounts holds the counters of one batch. Adding them to the shared counters
// once per batch keeps threads from contending for these.
type batchCounts [counterCount]uint64

type totals [counterCount]atomic.Uint64

func (t *totals) add(counted *batchCounts) {
	for k, n := range counted {
		if n > 0 {
			t[k].Add(n)
			counted[k] = 0
		}
	}
}

func (t *totals) increment(k Counter) {
	t[k].Add(1)
}
