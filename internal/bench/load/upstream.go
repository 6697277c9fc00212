package load

import "time"

// job is work at an upstream. onStart is called when it gets a slot, onDone when
// it is answered.
type job struct {
	opening  bool
	duration time.Duration
	onStart  func()
	onDone   func()
}

// upstream models an upstream: its slots work in parallel, further work queues.
type upstream struct {
	sim     *simulation
	index   int
	slots   int
	active  int
	flows   int
	running int
	queue   []job
	// queuedOpenings counts the openings in the queue.
	queuedOpenings int
	fault          Fault
	joinedAt       time.Time
	// reportedBusy and reportedFlows are the counts of the last report.
	reportedBusy  int
	reportedFlows int
}

// hasFreeSlot reports whether the upstream would serve the work of another flow
// at once.
func (u *upstream) hasFreeSlot() bool {
	return u.serving() && u.active < u.capacity() && u.flows < u.sim.size.Connections
}

func (u *upstream) serving() bool {
	return u.fault != Cold || !u.joinedAt.IsZero()
}

// capacity returns the number of slots that the upstream allows to be used.
func (u *upstream) capacity() int {
	if u.fault == Sheds {
		return (u.slots + 1) / 2
	}
	return u.slots
}

// refuses reports whether the upstream refuses a new connection.
func (u *upstream) refuses() bool {
	return u.fault == Sheds && u.active >= u.capacity()
}

func (u *upstream) start(j job) {
	u.sim.advanceMeter()
	u.active++
	if u.running < u.slots {
		u.run(j)
		return
	}
	u.queue = append(u.queue, j)
	u.queuedOpenings += openingCount(j)
}

func (u *upstream) run(j job) {
	u.running++
	j.onStart()
	u.sim.clock.After(u.workDuration(j.duration), func() { u.finish(j) })
}

func (u *upstream) finish(j job) {
	u.sim.advanceMeter()
	u.running--
	u.active--
	if len(u.queue) > 0 {
		next := u.queue[0]
		u.queue = u.queue[1:]
		u.queuedOpenings -= openingCount(next)
		u.run(next)
	}
	j.onDone()
}

func openingCount(j job) int {
	if j.opening {
		return 1
	}
	return 0
}

// workDuration returns how long work takes at this upstream, given its fault.
func (u *upstream) workDuration(d time.Duration) time.Duration {
	switch u.fault {
	case Slow:
		return time.Duration(slowFactor * float64(d))
	case Slows:
		if u.sim.clock.Now().Before(u.sim.meter.startAt) {
			return d
		}
		return time.Duration(slowFactor * float64(d))
	case Cold:
		left := 1 - float64(u.sim.clock.Now().Sub(u.joinedAt))/float64(coldStartDuration)
		return time.Duration((1 + (coldStartFactor-1)*max(0, left)) * float64(d))
	default:
		return d
	}
}

// updateReport updates the load that the rest of the fleet sees.
func (u *upstream) updateReport() {
	u.reportedBusy = u.active
	u.reportedFlows = u.flows
	switch u.fault {
	case SaysIdle:
		u.reportedBusy = 0
		u.reportedFlows = 0
	case SaysFull:
		u.reportedBusy = u.slots
		u.reportedFlows = int(2 * feedShare * float64(u.sim.size.Connections))
	}
}
