package entry

import (
	"context"
	"errors"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/port"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
)

const (
	// readInterval is the least time between two reads of the member record for lookups,
	// unreachableReadInterval while one of the agents in it cannot be asked, and readBackoff the
	// time after a read that failed.
	readInterval            = 200 * time.Millisecond
	unreachableReadInterval = 2 * time.Second
	readBackoff             = 500 * time.Millisecond
	// storeLostDelay is how long the store has to be lost to a balancer before another one takes
	// over the work that it does for all, and storeSilence how long it has to be lost to all of
	// them, who poll it in turn, to count as out of reach.
	storeLostDelay = 1500 * time.Millisecond
	storeSilence   = 3 * time.Second
	// firstAnswerTimeout is how long after its start a balancer waits for the first answer of
	// the store before it counts the store as out of reach. A slow store answers within 300 ms.
	firstAnswerTimeout = 300 * time.Millisecond
)

// startRecordCalls makes the calls for the member record that are due: one for the lookups
// that wait for it, and those of the balancer that writes it for all.
func (b *Balancer) startRecordCalls(ctx context.Context, now time.Time, rank int) {
	if b.recordWanted && !b.readingRecord && !now.Before(b.nextReadAt) {
		b.readingRecord = true
		go b.readRecord(ctx, false)
	}
	switch c := b.record.Next(now, rank, b.members).(type) {
	case roster.RecordRead:
		go b.readRecord(ctx, true)
	case roster.RecordWrite:
		go b.writeRecord(ctx, port.Members{
			Era:      b.position.Latest().Era,
			Complete: c.Complete,
			Agents:   c.Agents,
			Revision: c.Replaces,
		})
	}
}

// readRecord reads the member record, for the lookups that wait for it or before a write.
func (b *Balancer) readRecord(ctx context.Context, beforeWrite bool) {
	start := time.Now()
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	m, position, err := b.store.Members(call)
	invalid := errors.Is(err, port.ErrInvalid)
	if invalid {
		// Another program has written it. It shows nothing and is replaced.
		b.log.Important.Warn().Err(err).Msg("item in the store skipped")
		err = nil
	}
	b.recordStoreCall(start, err)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.counts.recordReads++
	if !beforeWrite {
		b.readingRecord = false
		b.nextReadAt = start.Add(readInterval)
	}
	if err != nil {
		b.nextReadAt = time.Now().Add(readBackoff)
		if beforeWrite {
			b.record.Abandon()
		}
		return
	}
	b.recordWanted = false
	if beforeWrite {
		b.observeRecord(m, position.Era)
	}
	if invalid {
		return
	}
	b.applyRecord(start, m, position.Era)
	if _, found := b.members.Unreachable(time.Now()); found {
		b.nextReadAt = start.Add(unreachableReadInterval)
	}
}

// writeRecord writes the member record and tells the agents in it that they are registered.
func (b *Balancer) writeRecord(ctx context.Context, m port.Members) {
	start := time.Now()
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := b.store.WriteMembers(call, m)
	conflict := errors.Is(err, port.ErrConflict)
	if conflict {
		// The store has answered.
		err = nil
	}
	b.recordStoreCall(start, err)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	switch {
	case conflict:
		b.record.RejectWrite()
		b.log.Important.Info().
			Uint64("replaces", m.Revision).
			Uint64("store_revision", revision).
			Msg("member record in the store has another revision; it is read and written again")
	case err != nil:
		b.record.Abandon()
	default:
		b.record.ConfirmWrite(revision)
		b.log.Important.Info().
			Int("side_processes", len(m.Agents)).
			Bool("complete", m.Complete).
			Uint64("store_revision", revision).
			Msg("member record written to the store")
		m.Revision = revision
		b.applyRecord(start, m, m.Era)
	}
}

// observeRecord records which member record the store holds, before this balancer writes it.
func (b *Balancer) observeRecord(m port.Members, era uint64) {
	firstRecord := m.Revision == 0 && b.settings.FirstStart
	b.record.Observe(m.Revision, m.Complete && m.Era == era || firstRecord)
}

// applyRecord applies the member record that a store call that began at start has shown.
func (b *Balancer) applyRecord(start time.Time, m port.Members, era uint64) {
	if era == b.recordEra && m.Revision < b.recordRevision {
		// A later call has shown a newer one already.
		return
	}
	b.recordEra = era
	b.recordRevision = m.Revision
	now := time.Now()
	missing := b.members.ApplyRecord(now, roster.RecordContent{
		Agents:   m.Agents,
		CalledAt: start,
		Complete: m.Complete && m.Era == era,
	})
	heartbeat := b.newHeartbeat(now, true)
	for _, h := range missing {
		b.send(h, heartbeat)
	}
	b.sendRegistrations()
}

// sendRegistrations tells the agents that do not know whether they are registered.
func (b *Balancer) sendRegistrations() {
	for _, h := range b.members.UnregisteredAgents() {
		b.sendRegistration(h, b.members.Registered(h))
	}
}

// sendRegistration tells an agent what this balancer knows of its place in the member record. A
// balancer that does not know yet whether it reaches the store tells nothing.
func (b *Balancer) sendRegistration(h frame.Host, registered bool) {
	known := b.position.Known()
	status := frame.RegistrationPending
	switch {
	case registered:
		status = frame.RegistrationDone
	case b.storeLost || b.storeAge() > storeSilence:
		status = frame.RegistrationImpossible
	case !known && time.Now().After(b.startedAt.Add(firstAnswerTimeout)):
		status = frame.RegistrationImpossible
	case !known:
		return
	}
	b.send(h, frame.Registration{
		Status: status,
	})
}

// fitness returns how well this balancer can do work that one balancer does for all.
func (b *Balancer) fitness(now time.Time) roster.Fitness {
	return roster.Fitness{
		StoreLost: b.storeLost && now.After(b.storeLostAt.Add(storeLostDelay)),
		Leaving:   b.leaving,
	}
}
