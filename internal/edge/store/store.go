// Package store reaches the platform's key-value service through one small
// interface: get, compare-and-swap, lease and watch.
package store

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// MaxValueBytes is the largest value that the service holds, in bytes.
const MaxValueBytes = 1 << 20

// Errors of every call.
var (
	// ErrAway means that no answer came. A write may still have taken effect.
	ErrAway = eris.New("the store is away")
	// ErrTooLarge means that a value is larger than MaxValueBytes.
	ErrTooLarge = eris.New("the value is larger than the store holds")
)

// Entry is what the store holds under a key. Version is 0 if there is none and
// rises with every write.
type Entry struct {
	Key     string
	Value   []byte
	Version uint64
}

// Lease is a claim to a name until a deadline of the holder's own clock. Token
// rises whenever the name passes to another holder, so that a write which
// carries it can be told from one of a holder that lost the lease unaware.
type Lease struct {
	Name     string
	Holder   string
	Token    uint64
	Deadline time.Time
}

// ConflictError means that the entry had another version; nothing was written.
type ConflictError struct {
	Current Entry
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s has version %d", e.Current.Key, e.Current.Version)
}

// HeldError means that another holder has the lease.
type HeldError struct {
	Current Lease
}

// Error implements error.
func (e *HeldError) Error() string {
	return fmt.Sprintf("lease %s is held by %s", e.Current.Name, e.Current.Holder)
}

// Store is the platform's service. Every call counts against its budget, a
// waiting watch as one. Calls give up when their context ends.
type Store interface {
	// Get reads an entry; a missing one has version 0.
	Get(ctx context.Context, key string) (Entry, error)
	// Swap writes value if the entry has the version, 0 for a missing one, and
	// gives the new entry. The error is a *ConflictError if it has another.
	Swap(ctx context.Context, key string, version uint64, value []byte) (Entry, error)
	// Lease claims or renews name for seconds. The error is a *HeldError if
	// another holder has it.
	Lease(ctx context.Context, name, holder string, seconds uint32) (Lease, error)
	// Watch waits until the version of the entry is above after. It may wait
	// in vain, so the context needs a deadline.
	Watch(ctx context.Context, key string, after uint64) (Entry, error)
}
