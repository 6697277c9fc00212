package member

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/fleet/lease"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// headRecord encodes a head as a record: Sequence holds the revision and Upstream the
// hash. The later revision therefore wins every merge, and a new head is gossiped like
// any other change.
func headRecord(h Head) lease.Record {
	return lease.Record{
		Endpoint: node.Endpoint{
			Service:     lease.HeadService,
			Incarnation: 1,
			Upstream:    h.Hash,
			State:       node.Serving,
			Sequence:    h.Revision,
		},
		Health: lease.Live,
	}
}

// applyHead stores the adopted head and publishes it.
func (n *Node) applyHead(now time.Time, h Head) []Action {
	if h.Revision > n.head.Revision {
		n.head = h
	}
	return n.publish(now, headRecord(h))
}

// reminderInterval is the time between two reports of a head that is not adopted
// yet.
const reminderInterval = time.Second

// checkHead reports a later head in the table, and schedules the next report in
// case that head is not adopted by then.
func (n *Node) checkHead(now time.Time) []Action {
	r, ok := n.table.Lookup(headRecord(Head{}).Key())
	if !ok || r.Endpoint.Sequence <= n.head.Revision {
		return nil
	}
	n.remindAt = now.Add(reminderInterval)
	return []Action{
		NewerHead{
			Head: Head{
				Revision: r.Endpoint.Sequence,
				Hash:     r.Endpoint.Upstream,
			},
		},
	}
}

// Head returns the head that the balancer has adopted, zero before the first.
func (n *Node) Head() Head {
	return n.head
}
