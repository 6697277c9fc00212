package entry

import (
	"sync/atomic"

	"github.com/clementinewing/clementinewing/internal/edge/wire"
	"github.com/clementinewing/clementinewing/internal/flow/probe"
)

// Counter names one counter of a balancer's packet path.
type Counter uint8

// Counters of packets from the fabric, then of datagrams from side processes.
// Dropped packets are counted by reason.
const (
	// Received counts packets from the fabric, Forwarded those sent on.
	Received Counter = iota
	Forwarded
	// Hinted counts packets sent to the owner that a hint has named, Repeated
	// openings that their caller has sent again.
	Hinted
	Repeated
	// Packets dropped: not IPv4 TCP or UDP as a whole, longer than fits, to no
	// service, to a service without endpoints, refused by the sending socket.
	DropMalformed
	DropOversized
	DropNoService
	DropNoEndpoint
	DropSend
	// HintsKept counts hints that were kept, Answers those to own probes.
	HintsKept
	Answers
	// LinkFailed counts probes and new links that the kernel refused.
	LinkFailed
	// Relayed counts packets sent on for a side process, RelayForeign those that
	// name no flow or another balancer.
	Relayed
	RelayForeign
	// Datagrams dropped: a hint that names no flow, one for another balancer, one
	// that names an endpoint that the service does not have, an answer to no own
	// probe, a kind that side processes do not send.
	HintMalformed
	HintForeign
	HintNoOwner
	AnswerForeign
	KindForeign
	// datagramFaults is the first of wire.Faults counters.
	datagramFaults
)

const counters = int(datagramFaults) + wire.FaultCount

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

// Tunnel is the counter of datagrams from side processes dropped for a fault.
func Tunnel(f wire.Fault) Counter {
	return datagramFaults + Counter(f)
}

// String gives the counter as metrics name it.
func (c Counter) String() string {
	if c < datagramFaults {
		return counterNames[c]
	}
	return "datagram_" + wire.Fault(c-datagramFaults).String()
}

// Counts is a snapshot of what a balancer's packet path has done.
type Counts struct {
	Values [counters]uint64
	Links  probe.Counts
}

// Of gives the value of one counter.
func (c *Counts) Of(k Counter) uint64 {
	return c.Values[k]
}

// Each calls use with every counter.
func (c *Counts) Each(use func(name string, value uint64)) {
	for k := range Counter(counters) {
		if k != datagramFaults {
			use(k.String(), c.Values[k])
		}
	}
}

// tally counts within a batch; add moves it to the shared counters at once, so
// that threads seldom meet there.
type tally [counters]uint64

type totals [counters]atomic.Uint64

func (t *totals) add(counted *tally) {
	for k, n := range counted {
		if n > 0 {
			t[k].Add(n)
			counted[k] = 0
		}
	}
}

func (t *totals) one(k Counter) {
	t[k].Add(1)
}
