package agent

import (
	"sync/atomic"

	"github.com/clementinewing/clementinewing/internal/flow/owner"
)

// counts are the counters of packets that no decision has seen, and of the
// decisions' reasons.
type counts struct {
	malformed atomic.Uint64
	foreign   atomic.Uint64
	orphans   atomic.Uint64
	faults    atomic.Uint64
	reasons   [256]atomic.Uint64
}

func (c *counts) add(r owner.Reason) {
	c.reasons[r].Add(1)
}

func (c *counts) fault(error) {
	c.faults.Add(1)
}
