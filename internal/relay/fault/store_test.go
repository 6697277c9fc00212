package fault

import (
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/admit"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
)

// storeRetryDelay is the time after which a read that got no answer is repeated.
const storeRetryDelay = 100 * time.Millisecond

// store is the part of the platform's store that holds the member record.
type store struct {
	// lost is set while no call is answered.
	lost     bool
	revision uint64
	agents   []frame.Host
	complete bool
	// evacuations is used only if failure domains can be evacuated.
	evacuations evacuationStore
}

// startRecordCalls makes the calls for the member record that are due.
func (b *balancer) startRecordCalls() {
	d := b.deployment
	if b.recordWanted {
		b.recordWanted = false
		b.readRecord(false)
	}
	rank := b.members.Rank(d.clock.Now(), roster.Fitness{
		StoreLost: b.storeLost,
		Leaving:   b.leaving,
	})
	switch c := b.record.Next(d.clock.Now(), rank, b.members).(type) {
	case roster.RecordRead:
		b.readRecord(true)
	case roster.RecordWrite:
		b.writeRecord(c)
	}
}

// callStore runs a call that takes effect after a hop, and handles its answer after another.
// Without an answer it calls lost instead.
func (b *balancer) callStore(apply, answered, lost func()) {
	d := b.deployment
	members := b.members
	d.clock.After(hopDelay, func() {
		if !d.store.lost {
			apply()
		} else {
			answered = lost
		}
		d.clock.After(hopDelay, func() {
			if b.router != nil && b.members == members {
				lost := b.storeLost
				b.storeLost = d.store.lost
				b.storeSeen = b.storeSeen || !d.store.lost
				if b.storeLost && !lost {
					b.sendRegistrations()
				}
				answered()
			}
		})
	})
}

// readRecord reads the member record, which a balancer observes at its start and before it
// writes.
func (b *balancer) readRecord(observe bool) {
	d := b.deployment
	start := d.clock.Now()
	var found store
	b.callStore(func() {
		found = d.store
		found.agents = slices.Clone(found.agents)
		if d.unlistedAgent != nil {
			found.agents = slices.DeleteFunc(found.agents, func(h frame.Host) bool { return h == d.unlistedAgent.host })
			found.complete = false
		}
	}, func() {
		if observe {
			b.record.Observe(found.revision, found.complete)
		}
		for _, h := range b.members.ApplyRecord(start, roster.RecordContent{
			Agents:   found.agents,
			CalledAt: start,
			Complete: found.complete,
		}) {
			s := d.agents[h-1]
			// An agent sends a load report at once when a balancer contacts it.
			d.clock.After(2*hopDelay, func() { s.sendLoadReport(b) })
		}
		b.sendRegistrations()
	}, func() {
		b.record.Abandon()
		members := b.members
		d.clock.After(storeRetryDelay, func() {
			if b.router != nil && b.members == members {
				b.readRecord(observe)
			}
		})
	})
}

func (b *balancer) writeRecord(c roster.RecordWrite) {
	d := b.deployment
	start := d.clock.Now()
	conflict := false
	revision := uint64(0)
	b.callStore(func() {
		if conflict = d.store.revision != c.Replaces; conflict {
			return
		}
		d.store.revision++
		revision = d.store.revision
		d.store.agents = c.Agents
		d.store.complete = c.Complete
	}, func() {
		if conflict {
			b.record.RejectWrite()
			return
		}
		b.record.ConfirmWrite(revision)
		b.members.ApplyRecord(start, roster.RecordContent{
			Agents:   c.Agents,
			CalledAt: start,
			Complete: c.Complete,
		})
		b.sendRegistrations()
	}, b.record.Abandon)
}

// sendRegistrations tells the agents that do not know whether they are registered.
func (b *balancer) sendRegistrations() {
	for _, h := range b.members.UnregisteredAgents() {
		b.sendRegistration(h, b.members.Registered(h))
	}
}

// sendRegistration tells an agent whether it is registered, unless the balancer does not know
// yet whether it reaches the store.
func (b *balancer) sendRegistration(h frame.Host, registered bool) {
	status := frame.RegistrationPending
	switch {
	case registered:
		status = frame.RegistrationDone
	case b.storeLost:
		status = frame.RegistrationImpossible
	case !b.storeSeen:
		return
	}
	b.deployment.sendDatagram(func() {
		b.deployment.agents[h-1].step(admit.RegistrationKnown{
			Status: status,
		})
	})
}
