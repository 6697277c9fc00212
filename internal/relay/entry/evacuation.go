package entry

import (
	"context"
	"strconv"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/evac"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/plan"
)

// evacuations is what a balancer knows of the evacuated failure domains. The source is nil if the
// deployment does not evacuate any.
type evacuations struct {
	source *evac.Source
	// names are the names of failure domains that this balancer has read from the store.
	names   map[evac.Zone]string
	changes uint64
	answers uint64
}

func newEvacuations(enabled bool, zone string) (e evacuations) {
	if !enabled {
		return e
	}
	e.source = &evac.Source{}
	e.names = map[evac.Zone]string{
		evac.ZoneOf(zone): zone,
	}
	return e
}

// observeTime is called before each event. It notices a pause of this balancer.
func (b *Balancer) observeTime(now time.Time) {
	source := b.evacuations.source
	if source != nil {
		source.Run(now)
	}
	if !b.pauses.Step(now, now.Round(0)) {
		return
	}
	b.counts.pauses++
	b.pollSchedule.Resume(now)
	if source != nil {
		source.Resume(now)
	}
	b.log.Important.Warn().Msg("process was paused; the store is polled")
}

// namesOf returns the names of failure domains, or the hashes of those whose name is not known.
func (e *evacuations) namesOf(zones []evac.Zone) (list []string) {
	list = []string{}
	for _, z := range zones {
		name, ok := e.names[z]
		if !ok {
			name = strconv.FormatUint(uint64(z), 16)
		}
		list = append(list, name)
	}
	return list
}

// carried returns those that are evacuated only because they were in an earlier era of the store.
func (e *evacuations) carried() (list []evac.Zone) {
	for _, z := range e.source.Zones() {
		if e.source.Carried(z) {
			list = append(list, z)
		}
	}
	return list
}

// readPosition reads the store's position, and with it the evacuated failure domains if the
// deployment evacuates any.
func (b *Balancer) readPosition(ctx context.Context) (p plan.Position, err error) {
	if b.evacuations.source == nil {
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
	if e.source == nil {
		return
	}
	listed := make([]evac.Zone, 0, len(zones))
	for _, name := range zones {
		z := evac.ZoneOf(name)
		e.names[z] = name
		listed = append(listed, z)
	}
	before, known := e.source.Zones(), e.source.Known()
	if !e.source.Observe(p, listed) {
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
	if e.source == nil || p.Evacuations == nil {
		return false
	}
	before, known := e.source.Zones(), e.source.Known()
	if e.source.Merge(p.Evacuations) {
		b.logEvacuations(before, p.Host.String())
	}
	return !known
}

func (b *Balancer) logEvacuations(before []evac.Zone, from string) {
	e := &b.evacuations
	e.changes++
	b.log.Important.Info().
		Strs("zones", e.namesOf(e.source.Zones())).
		Strs("previous_zones", e.namesOf(before)).
		Strs("kept_from_earlier_era", e.namesOf(e.carried())).
		Uint64("store_era", e.source.Position().Era).
		Uint64("store_revision", e.source.Position().Revision).
		Str("from", from).
		Msg("evacuated failure domains known")
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

// answerEvacuations answers a load report whose agent does not know the evacuated failure domains
// or the rate of cold endpoints, or asks for them.
func (b *Balancer) answerEvacuations(now time.Time, l *frame.LoadReport) {
	e := &b.evacuations
	current := b.activePlan.Current()
	if e.source == nil || current == nil {
		return
	}
	answer, ok := e.source.Answer(now, evac.Question{
		Reported:    l.Evacuations,
		ColdRate:    current.Services[l.Service].ColdRate,
		PlanVersion: current.Version,
		AskedAt:     b.pollSchedule.LastDatedPoll(),
		HearsMost:   b.members.HearsMost(now, e.source.BacklogUntil()),
	})
	if !ok {
		return
	}
	e.answers++
	b.send(l.Host, answer)
}
