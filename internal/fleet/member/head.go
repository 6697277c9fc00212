package member

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/fleet/lease"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// headRecord is the record of a file in force. Its sequence is the revision and
// its upstream the hash, so that a later revision wins wherever two meet, and
// spreads like any other change.
func headRecord(h Head) lease.Record {
	return lease.Record{
		Endpoint: node.Endpoint{
			Service:     lease.Heads,
			Incarnation: 1,
			Upstream:    h.Hash,
			State:       node.Serving,
			Sequence:    h.Revision,
		},
		Health: lease.Live,
	}
}

func (n *Node) adopted(now time.Time, h Head) []Action {
	if h.Revision > n.head.Revision {
		n.head = h
	}
	return n.publish(now, headRecord(h))
}

// remindLife is after how long a balancer that lags behind is told again.
const remindLife = time.Second

// headKnown tells of a later file in force, and again until it is adopted.
func (n *Node) headKnown(now time.Time) []Action {
	r, ok := n.table.Lookup(headRecord(Head{}).Key())
	if !ok || r.Endpoint.Sequence <= n.head.Revision {
		return nil
	}
	n.remind = now.Add(remindLife)
	return []Action{
		Behind{
			Head: Head{
				Revision: r.Endpoint.Sequence,
				Hash:     r.Endpoint.Upstream,
			},
		},
	}
}

// Head is the file that the balancer has put in force, zero before the first.
func (n *Node) Head() Head {
	return n.head
}
