package fault

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/router"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

const (
	flagFin = 0x01
	flagSyn = 0x02
	flagRst = 0x04
	flagAck = 0x10

	initialSequence = 1000
	requestBytes    = 10
	requestCount    = 3
	// firstRetransmitDelay doubles with each retransmission up to maxRetransmitDelay.
	// stepTimeout is how long the caller tries one step of the flow.
	firstRetransmitDelay = 200 * time.Millisecond
	maxRetransmitDelay   = 1600 * time.Millisecond
	stepTimeout          = 6 * time.Second
	openingTimeout       = 1400 * time.Millisecond
	requestDelay         = 100 * time.Millisecond
)

// Steps of a flow at which a fault is injected.
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

// caller opens a flow, sends requests over it one after the other and closes it. Each
// packet goes through another balancer.
type caller struct {
	deployment   *deployment
	key          link.Key
	nextBalancer int
	// atStep is called at each step.
	atStep func(step int)

	open    bool
	initial uint32
	// answered is the number of answered requests.
	answered int
	closed   bool
	resets   []string
	refused  []string
	// step counts the packets sent and the answers to them, so that retransmissions of
	// earlier packets stop.
	step int
	// requestDelay is the pause before each request but the first.
	requestDelay time.Duration
}

func (d *deployment) startCaller(port uint16, atStep func(step int)) {
	d.caller = &caller{
		deployment:   d,
		atStep:       atStep,
		requestDelay: requestDelay,
		nextBalancer: int(port),
		key: link.Key{
			Caller:     7,
			CallerPort: port,
			Target:     8,
			TargetPort: 443,
			Protocol:   6,
		},
	}
	atStep(beforeOpening)
	d.caller.sendOpening()
	atStep(openingSent)
}

func (c *caller) send(p link.Packet) {
	p.Key = c.key
	c.nextBalancer++
	b := c.deployment.balancers[c.nextBalancer%balancerCount]
	raw := c.deployment.raw(p)
	c.deployment.clock.After(hopDelay, func() {
		b.step(router.Packet{
			Packet: p,
			Raw:    raw,
		})
	})
}

func (c *caller) sendOpening() {
	for i, wait := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		c.deployment.clock.After(wait, func() {
			if c.open || len(c.refused) > 0 {
				return
			}
			c.send(link.Packet{
				Kind:           link.Opening,
				Sequence:       initialSequence,
				Acknowledgment: uint32(i),
				Flags:          flagSyn,
			})
		})
	}
	c.deployment.clock.After(openingTimeout, func() {
		if !c.open && len(c.refused) == 0 {
			c.refused = append(c.refused, "no answer")
		}
	})
}

// retransmit sends a packet, and retransmits it until it is answered, stepTimeout ends or
// the flow ends.
func (c *caller) retransmit(p link.Packet) {
	c.step++
	step := c.step
	end := c.deployment.clock.Now().Add(stepTimeout)
	var again func(wait time.Duration)
	again = func(wait time.Duration) {
		if c.step != step || c.closed || len(c.resets) > 0 || c.deployment.clock.Now().After(end) {
			return
		}
		c.send(p)
		c.deployment.clock.After(wait, func() { again(min(2*wait, maxRetransmitDelay)) })
	}
	again(firstRetransmitDelay)
}

func (c *caller) sendRequest() {
	c.retransmit(link.Packet{
		Kind:           link.Continuing,
		Sequence:       initialSequence + 1 + uint32(c.answered*requestBytes),
		Acknowledgment: c.initial + 1 + uint32(c.answered*requestBytes),
		Flags:          flagAck,
		Payload:        requestBytes,
	})
	if c.answered == 0 {
		c.atStep(requestSent)
		return
	}
	c.atStep(laterRequestSent)
}

// receive handles a packet from an endpoint.
func (c *caller) receive(p link.Packet) {
	switch {
	case p.Key != c.key:
		c.deployment.closeOther(p)
	case p.Flags&flagSyn != 0:
		if c.open {
			return
		}
		c.open = true
		c.initial = p.Sequence
		c.atStep(openingAnswered)
		c.sendRequest()
	case p.Flags&flagFin != 0:
		c.closed = true
	case p.Sequence == c.initial+1+uint32(c.answered*requestBytes):
		c.answered++
		c.step++
		c.finishRequest()
	}
}

func (c *caller) finishRequest() {
	if c.answered == 1 {
		c.atStep(requestAnswered)
	} else {
		c.atStep(laterRequestAnswered)
	}
	c.deployment.clock.After(c.requestDelay, func() {
		if c.answered < requestCount {
			c.sendRequest()
			return
		}
		c.retransmit(link.Packet{
			Kind:           link.Closing,
			Sequence:       initialSequence + 1 + uint32(c.answered*requestBytes),
			Acknowledgment: c.initial + 1 + uint32(c.answered*requestBytes),
			Flags:          flagAck | flagFin,
		})
		c.atStep(finSent)
	})
}

func (c *caller) receiveReset(k link.Key, why string, opening bool) {
	c.deployment.clock.After(hopDelay, func() {
		switch {
		case k != c.key || c.closed:
		case opening && !c.open:
			c.refused = append(c.refused, why)
		default:
			c.resets = append(c.resets, why)
		}
	})
}
