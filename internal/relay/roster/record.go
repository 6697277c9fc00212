package roster

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
)

// recordInterval is the interval at which the balancer that writes the member record checks
// whether it has to.
const recordInterval = time.Second

// Record decides when a balancer writes the member record to the store. One balancer does so
// for all. A write without an answer may be done seconds later, and may be the last one of a
// balancer that has ended. Each write therefore has the condition that the store still holds
// the revision that the balancer has seen last, so that it makes every earlier write that is
// still pending fail, and a balancer whose last write is not certain, or that takes the work
// over, writes the record even if it lists the same members. Record is a pure state machine.
type Record struct {
	// revision is that of the record last seen in the store, 0 if the store held none.
	revision uint64
	// written identifies the members of the last write. certain is set while nothing has come
	// up since it began because of which the store may hold another record.
	written uint64
	certain bool
	writing bool
	checkAt time.Time
}

// Observe records the revision of the record that the store holds.
func (r *Record) Observe(revision uint64) {
	r.revision = revision
	r.certain = false
}

// Forget records that another balancer may write the record or that the store may have lost
// it.
func (r *Record) Forget() {
	r.certain = false
}

// CheckDue reports whether it is time to compare the members with the record.
func (r *Record) CheckDue(now time.Time) bool {
	if r.writing || now.Before(r.checkAt) {
		return false
	}
	r.checkAt = now.Add(recordInterval)
	return true
}

// StartWrite reports whether a record with these members is to be written, and if so the
// revision that the write replaces. ConfirmWrite, RejectWrite or AbandonWrite must follow.
func (r *Record) StartWrite(members []frame.Host) (replaces uint64, ok bool) {
	digest := Digest(members)
	if r.certain && r.written == digest {
		return 0, false
	}
	r.writing = true
	r.written = digest
	r.certain = true
	return r.revision, true
}

// ConfirmWrite records that the store has made the write, as a revision.
func (r *Record) ConfirmWrite(revision uint64) {
	r.writing = false
	r.revision = revision
}

// RejectWrite records that the store holds another revision than the write was to replace.
func (r *Record) RejectWrite(revision uint64) {
	r.writing = false
	r.Observe(revision)
}

// AbandonWrite records that the outcome of the write is not known.
func (r *Record) AbandonWrite() {
	r.writing = false
	r.certain = false
}
