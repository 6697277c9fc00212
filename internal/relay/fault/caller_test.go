package fault

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/guide"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

const (
	flagFin = 0x01
	flagSyn = 0x02
	flagAck = 0x10

	firstSequence = 1000
	requestBytes  = 10
	requests      = 3
	// resendFirst doubles with each copy up to resendMost; giveUp is the caller's
	// deadline for one step of the flow.
	resendFirst = 200 * time.Millisecond
	resendMost  = 1600 * time.Millisecond
	giveUp      = 6 * time.Second
	openingEnd  = 1400 * time.Millisecond
	think       = 100 * time.Millisecond
)

// Steps of a flow at which a fault strikes.
const (
	beforeOpening = iota
	openingSent
	openingAnswered
	requestSent
	requestAnswered
	laterRequestSent
	laterRequestAnswered
	finSent
	steps
)

// caller opens a flow, sends requests over it one after the other and closes it.
// Each packet goes through another balancer.
type caller struct {
	world *world
	key   link.Key
	via   int
	// strike is called at each step.
	strike func(step int)

	open    bool
	initial uint32
	// done counts the requests that were answered.
	done    int
	closed  bool
	resets  []string
	refused []string
	// step counts what was sent, so that copies of earlier steps stop.
	step int
}

func (w *world) call(port uint16, strike func(step int)) {
	w.caller = &caller{
		world:  w,
		strike: strike,
		via:    int(port),
		key: link.Key{
			Caller:     7,
			CallerPort: port,
			Target:     8,
			TargetPort: 443,
			Protocol:   6,
		},
	}
	strike(beforeOpening)
	w.caller.opens()
	strike(openingSent)
}

func (c *caller) send(p link.Packet) {
	p.Key = c.key
	c.via++
	b := c.world.balancers[c.via%balancers]
	raw := c.world.raw(p)
	c.world.clock.After(hop, func() {
		b.step(guide.Packet{
			Packet: p,
			Raw:    raw,
		})
	})
}

func (c *caller) opens() {
	for i, wait := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		c.world.clock.After(wait, func() {
			if c.open || len(c.refused) > 0 {
				return
			}
			c.send(link.Packet{
				Kind:           link.Opening,
				Sequence:       firstSequence,
				Acknowledgment: uint32(i),
				Flags:          flagSyn,
			})
		})
	}
	c.world.clock.After(openingEnd, func() {
		if !c.open && len(c.refused) == 0 {
			c.refused = append(c.refused, "no answer")
		}
	})
}

// repeat sends a packet until the step is over.
func (c *caller) repeat(p link.Packet) {
	c.step++
	step := c.step
	end := c.world.clock.Now().Add(giveUp)
	var again func(wait time.Duration)
	again = func(wait time.Duration) {
		if c.step != step || c.closed || len(c.resets) > 0 || c.world.clock.Now().After(end) {
			return
		}
		c.send(p)
		c.world.clock.After(wait, func() { again(min(2*wait, resendMost)) })
	}
	again(resendFirst)
}

func (c *caller) request() {
	c.repeat(link.Packet{
		Kind:           link.Continuing,
		Sequence:       firstSequence + 1 + uint32(c.done*requestBytes),
		Acknowledgment: c.initial + 1 + uint32(c.done*requestBytes),
		Flags:          flagAck,
		Payload:        requestBytes,
	})
	if c.done == 0 {
		c.strike(requestSent)
		return
	}
	c.strike(laterRequestSent)
}

// takes is a packet of an endpoint.
func (c *caller) takes(p link.Packet) {
	switch {
	case p.Flags&flagSyn != 0:
		if c.open {
			return
		}
		c.open = true
		c.initial = p.Sequence
		c.strike(openingAnswered)
		c.request()
	case p.Flags&flagFin != 0:
		c.closed = true
	case p.Sequence == c.initial+1+uint32(c.done*requestBytes):
		c.done++
		c.step++
		c.next()
	}
}

func (c *caller) next() {
	if c.done == 1 {
		c.strike(requestAnswered)
	} else {
		c.strike(laterRequestAnswered)
	}
	c.world.clock.After(think, func() {
		if c.done < requests {
			c.request()
			return
		}
		c.repeat(link.Packet{
			Kind:           link.Closing,
			Sequence:       firstSequence + 1 + uint32(c.done*requestBytes),
			Acknowledgment: c.initial + 1 + uint32(c.done*requestBytes),
			Flags:          flagAck | flagFin,
		})
		c.strike(finSent)
	})
}

func (c *caller) reset(k link.Key, why string, opening bool) {
	c.world.clock.After(hop, func() {
		switch {
		case k != c.key || c.closed:
		case opening && !c.open:
			c.refused = append(c.refused, why)
		default:
			c.resets = append(c.resets, why)
		}
	})
}
