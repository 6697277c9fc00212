package entry

import (
	"context"
	"math"
	"strconv"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/evac"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/plan"
)

const (
	// maxGap is the longest time that this process may not have run and still take the age of
	// the store's answers from heartbeats. Those that wait in its socket tell the age at the time
	// when they were sent.
	maxGap = time.Second
	// backlogDelay is how long after a longer gap heartbeats are taken for old ones: longer than
	// it takes to read a full socket buffer.
	backlogDelay = 500 * time.Millisecond
	// storeLostAge is the age of the last answer of the store from which on the store counts as
	// lost: balancers poll it every 0.9 s, and a call fails after 0.8 s.
	storeLostAge = 2500 * time.Millisecond
)

// evacuations is what a balancer knows of the evacuated failure domains. The set is nil if the
// deployment does not evacuate any.
type evacuations struct {
	set *evac.Set
	// frame is the set as told to others, nil if it has to be computed again.
	frame *frame.EvacuationSet
	// names are the names of failure domains that this balancer has read from the store.
	names map[evac.Zone]string
	// lastRunAt is when this process last handled anything, backlogUntil until when heartbeats
	// are taken for old ones.
	lastRunAt    time.Time
	backlogUntil time.Time
	changes      uint64
	answers      uint64
}

func newEvacuations(enabled bool, zone string) (e evacuations) {
	if !enabled {
		return e
	}
	e.set = &evac.Set{}
	e.names = map[evac.Zone]string{
		evac.ZoneOf(zone): zone,
	}
	return e
}

// observeRunning records that this process runs, and notices when it has not for a while.
func (e *evacuations) observeRunning(now time.Time) {
	if !e.lastRunAt.IsZero() && now.Sub(e.lastRunAt) > maxGap {
		e.backlogUntil = now.Add(backlogDelay)
	}
	e.lastRunAt = now
}

// tellsStoreAge reports whether the age of the store's answers in a heartbeat counts. If failure
// domains can be evacuated, it counts only with the set that the store's answer held: the polls
// of a balancer that does not tell the set do not replace those of this one.
func (e *evacuations) tellsStoreAge(now time.Time, p *frame.Heartbeat) bool {
	if e.set == nil {
		return true
	}
	return p.Evacuations != nil && !now.Before(e.backlogUntil)
}

// told returns the set for other processes, or nil if it is not known.
func (e *evacuations) told() *frame.EvacuationSet {
	if e.frame == nil {
		e.frame = e.set.Frame()
	}
	return e.frame
}

// nameOf returns the name of a failure domain, or its hash if the name is not known.
func (e *evacuations) nameOf(z evac.Zone) string {
	if name, ok := e.names[z]; ok {
		return name
	}
	return strconv.FormatUint(uint64(z), 16)
}

// zoneNames returns the names of the evacuated failure domains.
func (e *evacuations) zoneNames() (list []string) {
	for _, z := range e.set.Zones() {
		list = append(list, e.nameOf(z))
	}
	return list
}

// carriedNames returns the names of those that are evacuated only because they were in an earlier
// era of the store.
func (e *evacuations) carriedNames() (list []string) {
	for _, z := range e.set.Zones() {
		if e.set.Carried(z) {
			list = append(list, e.nameOf(z))
		}
	}
	return list
}

// readPosition reads the store's position, and with it the evacuated failure domains if the
// deployment evacuates any.
func (b *Balancer) readPosition(ctx context.Context) (p plan.Position, err error) {
	if b.evacuations.set == nil {
		return b.store.Position(ctx)
	}
	zones, p, err := b.store.Evacuations(ctx)
	if err != nil {
		return p, err
	}
	b.observeEvacuations(p, zones)
	return p, nil
}

// observeEvacuations applies the evacuated failure domains as read from the store and tells
// other balancers at once if they are others than before.
func (b *Balancer) observeEvacuations(p plan.Position, zones []string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	e := &b.evacuations
	if e.set == nil {
		return
	}
	listed := make([]evac.Zone, 0, len(zones))
	for _, name := range zones {
		z := evac.ZoneOf(name)
		e.names[z] = name
		listed = append(listed, z)
	}
	before := e.zoneNames()
	known := e.set.Known()
	changed := e.set.Observe(p, listed)
	e.frame = nil
	if !changed {
		return
	}
	b.logEvacuations(before, "store")
	if known {
		b.sendHeartbeats(time.Now())
	}
}

// mergeEvacuations applies the evacuated failure domains that another balancer has told. It
// reports whether this balancer knew none before.
func (b *Balancer) mergeEvacuations(p *frame.Heartbeat) (first bool) {
	e := &b.evacuations
	if e.set == nil || p.Evacuations == nil {
		return false
	}
	first = !e.set.Known()
	before := e.zoneNames()
	changed := e.set.Merge(p.Evacuations)
	e.frame = nil
	if changed {
		b.logEvacuations(before, p.Host.String())
	}
	return first
}

func (b *Balancer) logEvacuations(before []string, from string) {
	e := &b.evacuations
	e.changes++
	b.log.Important.Info().
		Strs("zones", e.zoneNames()).
		Strs("previous_zones", before).
		Strs("kept_from_earlier_era", e.carriedNames()).
		Uint64("store_era", e.set.Position().Era).
		Uint64("store_revision", e.set.Position().Revision).
		Str("from", from).
		Msg("evacuated failure domains read")
}

// answerWaitingAgents answers the agents that have asked for the set before this balancer could
// answer.
func (b *Balancer) answerWaitingAgents(now time.Time) {
	for _, s := range b.members.Agents() {
		if evac.Unconfirmed(s.Evacuations) {
			b.answerEvacuations(now, &s.LoadReport)
		}
	}
}

// answerEvacuations answers a load report whose agent does not know the set or the rate of cold
// endpoints that this balancer knows. A balancer that has not run for a while knows neither how
// old its set is nor whom it hears, and does not answer.
func (b *Balancer) answerEvacuations(now time.Time, l *frame.LoadReport) {
	e := &b.evacuations
	current := b.activePlan.Current()
	if !e.set.Known() || current == nil || now.Before(e.backlogUntil) {
		return
	}
	rate := current.Services[l.Service].ColdRate
	version := evac.Version(e.told(), rate)
	if !evac.WantsAnswer(l.Evacuations, version) {
		return
	}
	age := int64(math.MaxUint32)
	if at := b.pollSchedule.LastPoll(); !at.IsZero() {
		age = min(now.Sub(at).Milliseconds(), math.MaxUint32)
	}
	lost := age > storeLostAge.Milliseconds()
	e.answers++
	b.send(l.Host, frame.Evacuations{
		Version:     version,
		Answers:     l.Evacuations,
		AgeMS:       uint32(age),
		StoreLost:   lost && b.members.HearsMost(now, e.backlogUntil),
		PlanVersion: current.Version,
		ColdRate:    rate,
		Set:         *e.told(),
	})
}
