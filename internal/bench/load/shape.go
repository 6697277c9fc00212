// Package load measures how evenly openings are spread over the slots of a
// service's upstreams, and what the spreading costs, over the shipped admission
// and ranking. Upstreams, callers and links are models on a fake clock.
package load

import "time"

// Shape is the size of one service.
type Shape struct {
	Name        string
	Endpoints   int
	Places      int
	Slots       int
	Connections int
}

// Shapes are the services of both deployments, at today's sizes.
func Shapes() []Shape {
	return []Shape{
		{
			Name:        "dienstplan",
			Endpoints:   7,
			Places:      3,
			Slots:       7,
			Connections: 2000,
		},
		{
			Name:        "blattdruck",
			Endpoints:   3,
			Places:      3,
			Slots:       7,
			Connections: 2000,
		},
		{
			Name:        "order_desk",
			Endpoints:   7,
			Places:      4,
			Slots:       5,
			Connections: 2000,
		},
		{
			Name:        "catalogue",
			Endpoints:   4,
			Places:      4,
			Slots:       5,
			Connections: 2000,
		},
	}
}

// Fault is what is wrong with the first upstream during a run.
type Fault uint8

// The faults of a run.
const (
	Healthy Fault = iota
	// Cold upstreams join while the run is measured, with a cold start.
	Cold
	// SaysIdle upstreams report no load whatever they do.
	SaysIdle
	// SaysFull upstreams report that all slots are used whatever they do.
	SaysFull
	// Slow upstreams take slowBy times as long for the same work.
	Slow
	// Slows upstreams become slow as the measurement begins.
	Slows
	// Sheds upstreams turn connections away above half of their slots.
	Sheds
)

var faultNames = map[Fault]string{
	Healthy:  "healthy",
	Cold:     "cold",
	SaysIdle: "says_idle",
	SaysFull: "says_full",
	Slow:     "slow",
	Slows:    "slows",
	Sheds:    "sheds",
}

// String gives the fault as rows name it.
func (f Fault) String() string {
	return faultNames[f]
}

// The workload: short requests and standing feeds that ask now and then.
const (
	// serviceMean is the mean of the exponentially distributed work.
	serviceMean = 50 * time.Millisecond
	// feedShare is the part of all connections that standing feeds use.
	feedShare = 0.8
	// feedLife is a feed's mean life.
	feedLife = 10 * time.Minute
	// feedAsks is the mean time between two questions on one feed.
	feedAsks = 4 * time.Minute
	// patience is how long after it was sent an opening may still be run: the
	// first retransmission timeout of RFC 6298.
	patience = time.Second
	// reportEvery is how old reports of load may be.
	reportEvery = 500 * time.Millisecond
	// slowBy is the factor of a slow upstream.
	slowBy = 3.0
	// coldFor is how long a cold start takes, coldBy its factor at the start.
	coldFor = 10 * time.Second
	coldBy  = 3.0
	// fillFor is the time in which the feeds of the start are opened, settleFor
	// the time after it, with all load, that is not measured yet.
	fillFor   = 50 * time.Second
	settleFor = 10 * time.Second
	// measureFor is the time that is measured after both.
	measureFor = 40 * time.Second
	// hop is the way between failure domains, jitter what it may add.
	hop    = time.Millisecond
	jitter = 100 * time.Microsecond
)
