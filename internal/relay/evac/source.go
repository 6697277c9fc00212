package evac

import (
	"math"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/plan"
)

const (
	// maxGap is the longest time that a balancer may not have run and still take the age of the
	// store's answers from heartbeats. Those that wait in its socket tell the age at the time
	// when they were sent.
	maxGap = time.Second
	// backlogDelay is how long after a longer gap heartbeats are taken for old ones: longer than
	// it takes to read a full socket buffer.
	backlogDelay = 500 * time.Millisecond
	// storeLostAge is the age of the last answer of the store from which on the store counts as
	// lost: balancers poll it every 0.9 s, and a call fails after 0.8 s.
	storeLostAge = 2500 * time.Millisecond
)

// Source is the knowledge of one balancer, which reads the set from the store or hears it from
// other balancers, and answers the load reports of agents.
type Source struct {
	Set
	// told is the set for other processes, nil if it has to be computed again.
	told *frame.EvacuationSet
	// lastRunAt is when the balancer last handled anything, backlogUntil until when heartbeats
	// are taken for old ones.
	lastRunAt    time.Time
	backlogUntil time.Time
	// releasedAt is when the evacuation of a failure domain was last found to be withdrawn.
	releasedAt map[Zone]time.Time
}

// Evacuated reports whether a failure domain is evacuated. It is false for all without a source.
func (s *Source) Evacuated(z Zone) bool {
	return s != nil && s.Set.Evacuated(z)
}

// ReleasedAt returns when the evacuation of a failure domain was last found to be withdrawn, or
// zero.
func (s *Source) ReleasedAt(z Zone) time.Time {
	return s.releasedAt[z]
}

// recordReleases records which failure domains are no longer evacuated.
func (s *Source) recordReleases(before []Zone) {
	for _, z := range before {
		if s.Evacuated(z) {
			continue
		}
		if s.releasedAt == nil {
			s.releasedAt = map[Zone]time.Time{}
		}
		s.releasedAt[z] = s.lastRunAt
	}
}

// Run is called before each event. It notices when the balancer has not run for a while.
func (s *Source) Run(now time.Time) {
	if !s.lastRunAt.IsZero() && now.Sub(s.lastRunAt) > maxGap {
		s.backlogUntil = now.Add(backlogDelay)
	}
	s.lastRunAt = now
}

// Resume is called after a pause that the clock of Run has not counted.
func (s *Source) Resume(now time.Time) {
	s.backlogUntil = now.Add(backlogDelay)
}

// BacklogUntil returns until when heartbeats are taken for old ones, because the balancer did
// not run before; zero if it always did.
func (s *Source) BacklogUntil() time.Time {
	return s.backlogUntil
}

// Observe merges a set that was read from the store. See Set.
func (s *Source) Observe(p plan.Position, listed []Zone) (changed bool) {
	s.told = nil
	before := s.Zones()
	changed = s.Set.Observe(p, listed)
	s.recordReleases(before)
	return changed
}

// Merge merges the set of another balancer. See Set.
func (s *Source) Merge(f *frame.EvacuationSet) (changed bool) {
	s.told = nil
	before := s.Zones()
	changed = s.Set.Merge(f)
	s.recordReleases(before)
	return changed
}

// Told returns the set for other processes, or nil if it is not known.
func (s *Source) Told() *frame.EvacuationSet {
	if s == nil {
		return nil
	}
	if s.told == nil {
		s.told = s.Frame()
	}
	return s.told
}

// TellsStoreAge reports whether the age of the store's answers in a heartbeat counts. It counts
// only with the set that the answer held: the polls of a balancer that does not tell the set do
// not replace those of this one.
func (s *Source) TellsStoreAge(now time.Time, p *frame.Heartbeat) bool {
	return s == nil || p.Evacuations != nil && !now.Before(s.backlogUntil)
}

// Question is a load report and what a balancer knows besides the set.
type Question struct {
	// Reported is the version that the agent has named.
	Reported uint64
	// ColdRate is that of the agent's service in the plan PlanVersion; 0 means no limit.
	ColdRate    float64
	PlanVersion uint64
	// AskedAt is when the store was last asked for the set by any balancer, or zero.
	AskedAt time.Time
	// HearsMost is set if the balancer hears at least half of the others.
	HearsMost bool
}

// Answer returns the answer to a load report. There is none if the agent knows the set and the
// rate already, or if this balancer cannot tell them: it has no set or no plan, or it has not run
// for a while and knows neither how old its set is nor whom it hears.
func (s *Source) Answer(now time.Time, q Question) (m frame.Evacuations, ok bool) {
	if s == nil || !s.Known() || q.Reported == 0 || q.PlanVersion == 0 || now.Before(s.backlogUntil) {
		return m, false
	}
	version := Version(s.Told(), q.ColdRate)
	if q.Reported == version {
		return m, false
	}
	age := int64(math.MaxUint32)
	if !q.AskedAt.IsZero() {
		age = min(max(0, now.Sub(q.AskedAt).Milliseconds()), math.MaxUint32)
	}
	return frame.Evacuations{
		Version:     version,
		Answers:     q.Reported,
		AgeMS:       uint32(age),
		StoreLost:   age > storeLostAge.Milliseconds() && q.HearsMost,
		PlanVersion: q.PlanVersion,
		ColdRate:    q.ColdRate,
		Set:         *s.Told(),
	}, true
}
