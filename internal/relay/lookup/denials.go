package lookup

import (
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// sameFlowWindow bounds how far the sequence and acknowledgment numbers of the packets of one
// flow may be apart while its owner is looked up: more than a flow carries in that time. A
// caller that reuses its port for another flow chooses other numbers.
const sameFlowWindow = 1 << 20

// Denials holds the agents that have denied one flow since its first packet arrived. A denial
// stays true: an endpoint that does not hold a flow can come to hold it only with a SYN. The
// SYN of another flow with the same addresses and ports may pass through another balancer, so
// Denials also identifies the flow by its sequence numbers.
type Denials struct {
	first link.Packet
	hosts map[frame.Host]struct{}
}

// NewDenials returns an empty set for the flow of a packet.
func NewDenials(first link.Packet) *Denials {
	return &Denials{
		first: first,
		hosts: map[frame.Host]struct{}{},
	}
}

// Covers reports whether a packet belongs to the flow.
func (d *Denials) Covers(p link.Packet) bool {
	if !near(p.Sequence, d.first.Sequence) {
		return false
	}
	return p.HasAck() && d.first.HasAck() && near(p.Acknowledgment, d.first.Acknowledgment) ||
		!p.HasAck() && !d.first.HasAck()
}

func near(a, b uint32) bool {
	return a-b+sameFlowWindow <= 2*sameFlowWindow
}

// Add records that an agent has denied the flow.
func (d *Denials) Add(h frame.Host) {
	d.hosts[h] = struct{}{}
}

// Missing returns the agents of a list that have not denied the flow, in their order.
func (d *Denials) Missing(list []frame.Host) (missing []frame.Host) {
	for _, h := range list {
		if _, ok := d.hosts[h]; !ok {
			missing = append(missing, h)
		}
	}
	return missing
}

// maxPacketsPerAgent limits the packets of lookups that an agent has at the same time to find
// out whether its endpoint holds their flows. An endpoint that does not answer them costs its
// agent the wait for each, and the packets of its own flows come through the same agent.
const maxPacketsPerAgent = 8

// Packets counts the packets that agents have.
type Packets struct {
	inFlight map[frame.Host]int
}

// NewPackets returns an empty count.
func NewPackets() *Packets {
	return &Packets{
		inFlight: map[frame.Host]int{},
	}
}

// Available returns the agents of a list that may get a further packet, in their order.
func (c *Packets) Available(list []frame.Host) (available []frame.Host) {
	for _, h := range list {
		if c.inFlight[h] < maxPacketsPerAgent {
			available = append(available, h)
		}
	}
	return available
}

// Add counts a packet that travels along a list of agents.
func (c *Packets) Add(list []frame.Host) {
	for _, h := range list {
		c.inFlight[h]++
	}
}

// Remove counts a packet that has come back or is given up.
func (c *Packets) Remove(list []frame.Host) {
	for _, h := range list {
		if c.inFlight[h]--; c.inFlight[h] <= 0 {
			delete(c.inFlight, h)
		}
	}
}
