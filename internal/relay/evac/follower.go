package evac

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
)

const (
	// validity is how long a set may be relied on since the store was asked for it. Operators
	// expect an evacuation to hold 5 s after the store has answered their write. The rest is for
	// the way of the answer, whose age is that at the time when it was sent.
	validity = 4 * time.Second
	// lostValidity is how long a set may be relied on since the agent asked for it, if the
	// balancers that answer hear each other and none reaches the store.
	lostValidity = 3 * time.Second
	// renewMargin is how long before the end of the validity an agent asks all balancers: two
	// rounds of load reports.
	renewMargin = 1500 * time.Millisecond
	// challengeInterval is how long a request stays the same, so that it tells when it was made,
	// and maxChallenges how many requests may be answered.
	challengeInterval = 250 * time.Millisecond
	maxChallenges     = 8
)

// Follower is the knowledge of one agent. An agent relies on the set that it knows for a few
// seconds only, and has it confirmed by a balancer meanwhile: one that has not run, has just
// started, or is cut off from all balancers that reach the store may have missed an evacuation.
//
// The time counts from when the agent made the request that is answered, less the age of the
// set. So an answer that has waited in a socket confirms nothing.
type Follower struct {
	set  Set
	zone Zone
	// version is that of the latest set and rate received.
	version uint64
	// firstChallenge is the first request; each further one is higher by 1. askedAt holds when the
	// latest ones were made.
	firstChallenge uint64
	challenges     uint64
	askedAt        [maxChallenges]time.Time
	// validUntil is until when the agent may rely on the set; zero before the first confirmation.
	validUntil time.Time
	// coldRate is the rate of the agent's service according to the plan planVersion.
	coldRate    float64
	planVersion uint64
	releasedAt  time.Time
}

// NewFollower returns the knowledge of an agent in a failure domain that has just started. The
// nonce differs between the processes that run at one address one after the other.
func NewFollower(zone Zone, nonce uint64) *Follower {
	return &Follower{
		zone:           zone,
		firstChallenge: nonce>>2 | unconfirmed,
	}
}

// Run is called before each event of the agent.
func (f *Follower) Run(now time.Time) {
	if latest := f.askedAt[f.challenges%maxChallenges]; latest.IsZero() || now.Sub(latest) >= challengeInterval {
		f.challenges++
		f.askedAt[f.challenges%maxChallenges] = now
	}
}

// Apply applies the message of a balancer.
func (f *Follower) Apply(now time.Time, m *frame.Evacuations) {
	wasEvacuated := f.Evacuated()
	if !f.set.Known() || !f.set.older(&m.Set) {
		f.version = m.Version
	}
	f.set.Merge(&m.Set)
	if m.PlanVersion >= f.planVersion {
		f.planVersion = m.PlanVersion
		f.coldRate = m.ColdRate
	}
	f.confirm(m)
	if wasEvacuated && !f.Evacuated() {
		f.releasedAt = now
	}
}

// confirm extends the validity of the set for an answer to a request.
func (f *Follower) confirm(m *frame.Evacuations) {
	number := m.Answers - f.firstChallenge
	if number > f.challenges || number+maxChallenges <= f.challenges {
		return
	}
	asked := f.askedAt[number%maxChallenges]
	until := asked.Add(validity - time.Duration(m.AgeMS)*time.Millisecond)
	if m.StoreLost {
		until = asked.Add(lostValidity)
	}
	if until.After(f.validUntil) {
		f.validUntil = until
	}
}

// older reports whether a copy was read before the set.
func (s *Set) older(f *frame.EvacuationSet) bool {
	return f.Era < s.position.Era || f.Era == s.position.Era && f.Revision < s.position.Revision
}

// Version returns the version for the agent's load reports. It is a request for an answer if the
// set is not valid for much longer.
func (f *Follower) Version(now time.Time) uint64 {
	if !now.Before(f.validUntil.Add(-renewMargin)) {
		return f.Challenge()
	}
	return f.version
}

// Challenge returns a request for an answer, for a load report.
func (f *Follower) Challenge() uint64 {
	return f.firstChallenge + f.challenges
}

// Confirmed reports whether the agent may rely on the set.
func (f *Follower) Confirmed(now time.Time) bool {
	return now.Before(f.validUntil)
}

// Evacuated reports whether the agent's failure domain is evacuated as far as is known.
func (f *Follower) Evacuated() bool {
	return f.set.Evacuated(f.zone)
}

// Carried reports whether it is so only because it was in an earlier era of the store.
func (f *Follower) Carried() bool {
	return f.set.Carried(f.zone)
}

// ReleasedAt returns when the evacuation of the agent's failure domain was last found to be
// withdrawn, or zero.
func (f *Follower) ReleasedAt() time.Time {
	return f.releasedAt
}

// ColdRate returns how many requests per second a cold endpoint of the agent's service can
// serve; 0 means no limit.
func (f *Follower) ColdRate() float64 {
	return f.coldRate
}
