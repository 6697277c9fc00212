package agent

import (
	"sync/atomic"

	"github.com/clementinewing/clementinewing/internal/edge/wire"
	"github.com/clementinewing/clementinewing/internal/flow/owner"
)

// Counts is a snapshot of the counters of an agent.
type Counts struct {
	Owner  owner.Counts
	Faults []Fault
}

// Fault is the number of packets and datagrams dropped outside the owner table for
// one reason.
type Fault struct {
	Name  string
	Count uint64
}

// counts holds the counters of packets and datagrams dropped outside the owner
// table.
type counts struct {
	malformedInner atomic.Uint64
	// foreignKind counts messages of a kind that agents do not receive.
	foreignKind atomic.Uint64
	// forgottenOpenings counts openings whose flow ended before the stack handled
	// them.
	forgottenOpenings atomic.Uint64
	faults            [wire.FaultCount]atomic.Uint64
}

// Counts returns a snapshot.
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
			Count: a.counts.malformedInner.Load(),
		},
		Fault{
			Name:  "foreign_kind",
			Count: a.counts.foreignKind.Load(),
		},
		Fault{
			Name:  "opening_forgotten",
			Count: a.counts.forgottenOpenings.Load(),
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

func (c *counts) countFault(err error) {
	c.faults[wire.FaultOf(err)].Add(1)
}
