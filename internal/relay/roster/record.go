package roster

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
)

const (
	// recordCheckInterval is the interval at which the balancer that writes the member record
	// compares it with the members.
	recordCheckInterval = 100 * time.Millisecond
	// recordWriteInterval is the least time between two writes, and joinWriteInterval while an
	// agent waits to be registered.
	recordWriteInterval = time.Second
	joinWriteInterval   = 200 * time.Millisecond
	// recordReadInterval is the least time between two reads before a write.
	recordReadInterval = time.Second
	// recordDelay is how long after its start a balancer may write the record. By then
	// balancers that start together know each other, and one of them writes.
	recordDelay = 200 * time.Millisecond
)

// RecordCall is a call for the member record: RecordRead, RecordWrite or nil for none.
type RecordCall interface{ recordCall() }

// RecordRead reads the record. Observe or Abandon must follow.
type RecordRead struct{}

// RecordWrite writes the record. ConfirmWrite, RejectWrite or Abandon must follow.
type RecordWrite struct {
	Agents []frame.Host
	// Replaces is the revision that the write replaces, 0 for none.
	Replaces uint64
	// Complete is set if the agents are all that may hold flows.
	Complete bool
}

func (RecordRead) recordCall()  {}
func (RecordWrite) recordCall() {}

// Record decides when a balancer reads and writes the member record in the store. One
// balancer writes it for all. A write without an answer may be done seconds later, and may be
// the last one of a balancer that has ended. Each write therefore has the condition that the
// store still holds the revision that the balancer has seen last, so that it makes every
// earlier write that is still pending fail, and a balancer whose last write is not certain, or
// that takes the work over, writes the record even if it lists the same members. A balancer
// whose write conflicts reads the record first, since it may list members that this balancer
// does not know. Record is a pure state machine.
type Record struct {
	startedAt time.Time
	// revision is that of the record last seen in the store, 0 if the store held none. known is
	// set once the store has answered.
	revision uint64
	known    bool
	// written identifies the members of the last write. certain is set while nothing has come
	// up since it began because of which the store may hold another record.
	written uint64
	certain bool
	// outdated is set while the store is known to hold another revision than the one read.
	outdated bool
	// calling is set while a read or a write is in progress.
	calling bool
	// checkAt, readAt and writeAt are when the next check, read and write are due at the
	// earliest, joinWriteAt when a write is that registers an agent.
	checkAt     time.Time
	readAt      time.Time
	writeAt     time.Time
	joinWriteAt time.Time
	// complete is set if every agent that may hold flows is known to be in the record or to
	// this balancer, so that the next write may say so.
	complete bool
}

// NewRecord returns the Record of a balancer that started at the given time.
func NewRecord(startedAt time.Time) *Record {
	return &Record{
		startedAt: startedAt,
	}
}

// Next returns the call that is due at a balancer of the given rank.
func (r *Record) Next(now time.Time, rank int, members *Roster) RecordCall {
	if rank != 0 {
		// Another balancer may write the record.
		r.certain = false
		return nil
	}
	if !r.known || r.calling || now.Before(r.checkAt) || now.Before(r.startedAt.Add(recordDelay)) {
		return nil
	}
	r.checkAt = now.Add(recordCheckInterval)
	if now.After(r.startedAt.Add(agentTTL)) {
		// Every open flow is younger than this process.
		r.complete = true
	}
	if r.outdated {
		return r.startRead(now)
	}
	dueAt := r.writeAt
	joining, listed := members.awaitingRegistration()
	if joining {
		dueAt = r.joinWriteAt
	}
	if listed {
		r.certain = false
	}
	if now.Before(dueAt) {
		return nil
	}
	return r.startWrite(now, members.AgentsToRecord())
}

func (r *Record) startRead(now time.Time) RecordCall {
	if now.Before(r.readAt) {
		return nil
	}
	r.readAt = now.Add(recordReadInterval)
	r.calling = true
	return RecordRead{}
}

func (r *Record) startWrite(now time.Time, agents []frame.Host) RecordCall {
	digest := Digest(agents)
	if len(agents) == 0 || r.certain && r.written == digest {
		return nil
	}
	r.writeAt = now.Add(recordWriteInterval)
	r.joinWriteAt = now.Add(joinWriteInterval)
	r.calling = true
	r.written = digest
	r.certain = true
	return RecordWrite{
		Agents:   agents,
		Replaces: r.revision,
		Complete: r.complete,
	}
}

// Observe records the revision of the record that the store holds, and whether that record is
// complete. It ends a read.
func (r *Record) Observe(revision uint64, complete bool) {
	r.revision = revision
	r.known = true
	r.certain = false
	r.outdated = false
	r.calling = false
	r.complete = r.complete || complete
}

// Restore records that the store has come back from an older copy. Only the balancer that has
// written the record knows which agents the copy lacks.
func (r *Record) Restore() {
	r.complete = r.complete && r.certain
	r.certain = false
}

// ConfirmWrite records that the store has made the write, as a revision.
func (r *Record) ConfirmWrite(revision uint64) {
	r.calling = false
	r.revision = revision
}

// RejectWrite records that the store holds another revision than the write was to replace.
func (r *Record) RejectWrite() {
	r.Abandon()
	r.outdated = true
}

// Abandon records that the outcome of the call in progress is not known.
func (r *Record) Abandon() {
	r.calling = false
	r.certain = false
}
