package load

import "time"

// job is work at an upstream: begun is called when it gets a slot, done when it
// is answered.
type job struct {
	opening bool
	span    time.Duration
	begun   func()
	done    func()
}

// upstream is a model of one: its slots serve in parallel, more work queues.
type upstream struct {
	world   *world
	index   int
	slots   int
	inHand  int
	flows   int
	running int
	queue   []job
	// openings are the jobs in the queue that are openings.
	openings int
	fault    Fault
	joined   time.Time
	// reported are the counts of the last report.
	reportedBusy  int
	reportedFlows int
}

// free tells whether the upstream has room for a flow whose work it would serve
// at once.
func (u *upstream) free() bool {
	return u.serving() && u.inHand < u.capacity() && u.flows < u.world.shape.Connections
}

func (u *upstream) serving() bool {
	return u.fault != Cold || !u.joined.IsZero()
}

// capacity is the number of slots that the upstream lets be used.
func (u *upstream) capacity() int {
	if u.fault == Sheds {
		return (u.slots + 1) / 2
	}
	return u.slots
}

// refuses tells whether the upstream turns a new connection away.
func (u *upstream) refuses() bool {
	return u.fault == Sheds && u.inHand >= u.capacity()
}

func (u *upstream) work(j job) {
	u.world.change()
	u.inHand++
	if u.running < u.slots {
		u.run(j)
		return
	}
	u.queue = append(u.queue, j)
	u.openings += count(j)
}

func (u *upstream) run(j job) {
	u.running++
	j.begun()
	u.world.clock.After(u.stretch(j.span), func() { u.finish(j) })
}

func (u *upstream) finish(j job) {
	u.world.change()
	u.running--
	u.inHand--
	if len(u.queue) > 0 {
		next := u.queue[0]
		u.queue = u.queue[1:]
		u.openings -= count(next)
		u.run(next)
	}
	j.done()
}

func count(j job) int {
	if j.opening {
		return 1
	}
	return 0
}

// stretch is the time that work takes here.
func (u *upstream) stretch(span time.Duration) time.Duration {
	switch u.fault {
	case Slow:
		return time.Duration(slowBy * float64(span))
	case Slows:
		if u.world.clock.Now().Before(u.world.meter.from) {
			return span
		}
		return time.Duration(slowBy * float64(span))
	case Cold:
		left := 1 - float64(u.world.clock.Now().Sub(u.joined))/float64(coldFor)
		return time.Duration((1 + (coldBy-1)*max(0, left)) * float64(span))
	default:
		return span
	}
}

// report renews what the rest of the fleet believes.
func (u *upstream) report() {
	u.reportedBusy = u.inHand
	u.reportedFlows = u.flows
	switch u.fault {
	case SaysIdle:
		u.reportedBusy = 0
		u.reportedFlows = 0
	case SaysFull:
		u.reportedBusy = u.slots
		u.reportedFlows = int(2 * feedShare * float64(u.world.shape.Connections))
	}
}
