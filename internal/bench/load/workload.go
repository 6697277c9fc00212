// Package load measures how evenly the admission controller and the ranked order
// of the product spread openings over the slots of a service's upstreams, and at
// what cost. Upstreams, callers and links are simulated on a fake clock.
package load

import "time"

// ServiceSize is the size of one service. Domains is the number of failure domains.
type ServiceSize struct {
	Name        string
	Endpoints   int
	Domains     int
	Slots       int
	Connections int
}

// ServiceSizes returns the services of both deployments, at today's sizes.
func ServiceSizes() []ServiceSize {
	return []ServiceSize{
		{
			Name:        "dienstplan",
			Endpoints:   7,
			Domains:     3,
			Slots:       7,
			Connections: 2000,
		},
		{
			Name:        "blattdruck",
			Endpoints:   3,
			Domains:     3,
			Slots:       7,
			Connections: 2000,
		},
		{
			Name:        "order_desk",
			Endpoints:   7,
			Domains:     4,
			Slots:       5,
			Connections: 2000,
		},
		{
			Name:        "catalogue",
			Endpoints:   4,
			Domains:     4,
			Slots:       5,
			Connections: 2000,
		},
	}
}

// Fault is the fault of the first upstream during a trial.
type Fault uint8

// Faults of a trial.
const (
	Healthy Fault = iota
	// Cold upstreams join during the measurement, with a cold start.
	Cold
	// SaysIdle upstreams always report no load.
	SaysIdle
	// SaysFull upstreams always report that all slots are used.
	SaysFull
	// Slow upstreams take slowFactor times as long for the same work.
	Slow
	// Slows upstreams become slow when the measurement begins.
	Slows
	// Sheds upstreams refuse connections when half of their slots are used.
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

// String returns the fault as rows print it.
func (f Fault) String() string {
	return faultNames[f]
}

// The workload: short requests, and long-lived feeds with occasional requests.
const (
	// meanWorkDuration is the mean of the exponentially distributed work.
	meanWorkDuration = 50 * time.Millisecond
	// feedShare is the share of all connections that feeds use.
	feedShare = 0.8
	// meanFeedLifetime is the mean lifetime of a feed.
	meanFeedLifetime = 10 * time.Minute
	// meanFeedInterval is the mean time between two requests on one feed.
	meanFeedInterval = 4 * time.Minute
	// queueTimeout is how long after it was sent an opening may still be run: the
	// initial retransmission timeout of RFC 6298.
	queueTimeout = time.Second
	// reportInterval is the maximum age of load reports.
	reportInterval = 500 * time.Millisecond
	// slowFactor is the factor on the work of a slow upstream.
	slowFactor = 3.0
	// A cold start lasts coldStartDuration; its factor on work begins at
	// coldStartFactor and falls to 1.
	coldStartDuration = 10 * time.Second
	coldStartFactor   = 3.0
	// The initial feeds are opened during fillDuration. Then, for settleDuration,
	// the full load runs without being measured.
	fillDuration   = 50 * time.Second
	settleDuration = 10 * time.Second
	// measureDuration is the time that is measured after both.
	measureDuration = 40 * time.Second
	// linkDelay is the one-way delay between failure domains, linkJitter its
	// maximum addition.
	linkDelay  = time.Millisecond
	linkJitter = 100 * time.Microsecond
)
