package agent

import (
	"sync/atomic"

	"github.com/clementinewing/clementinewing/internal/edge/wire"
	"github.com/clementinewing/clementinewing/internal/flow/owner"
)

// Counts is a snapshot of what a side process holds and has done.
type Counts struct {
	Owner  owner.Counts
	Faults []Fault
}

// Fault counts datagrams that no decision has seen, by reason.
type Fault struct {
	Name  string
	Count uint64
}

// counts are the counters of packets that no decision has seen.
type counts struct {
	malformed atomic.Uint64
	foreign   atomic.Uint64
	orphans   atomic.Uint64
	faults    [wire.FaultCount]atomic.Uint64
}

// Counts gives a snapshot.
func (a *Agent) Counts() Counts {
	a.flows.mutex.Lock()
	c := Counts{
		Owner: a.flows.table.Counts(),
	}
	a.flows.mutex.Unlock()
	c.Faults = append(
		c.Faults,
		Fault{
			Name:  "inner_malformed",
			Count: a.counts.malformed.Load(),
		},
		Fault{
			Name:  "foreign_kind",
			Count: a.counts.foreign.Load(),
		},
		Fault{
			Name:  "opening_forgotten",
			Count: a.counts.orphans.Load(),
		},
	)
	for f := wire.ErrShort; int(f) < wire.FaultCount; f++ {
		c.Faults = append(c.Faults, Fault{
			Name:  "datagram_" + f.String(),
			Count: a.counts.faults[f].Load(),
		})
	}
	return c
}

func (c *counts) fault(err error) {
	c.faults[wire.FaultOf(err)].Add(1)
}
