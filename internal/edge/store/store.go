// Package store defines a small interface to the platform's key-value service (get,
// compare-and-swap, lease and watch) and a gRPC client for it.
package store

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// MaxValueBytes is the size of the largest value that the service stores.
const MaxValueBytes = 1 << 20

// Errors that any call may return.
var (
	// ErrNoAnswer means that the store did not answer. A write may still have taken effect.
	ErrNoAnswer = eris.New("no answer from the store")
	// ErrTooLarge means that a value is larger than MaxValueBytes.
	ErrTooLarge = eris.New("the value exceeds the store's size limit")
)

// Entry is a key with its value and version. Version is 0 if the key does not exist and
// increases with every write.
type Entry struct {
	Key     string
	Value   []byte
	Version uint64
}

// Lease is an exclusive claim to a name until Deadline, by the holder's own clock. Token
// is a fencing token: it increases whenever the name passes to another holder, so a write
// that carries it can be distinguished from one by a holder that has lost the lease
// without knowing.
type Lease struct {
	Name     string
	Holder   string
	Token    uint64
	Deadline time.Time
}

// ConflictError means that the entry had a different version and nothing was written.
type ConflictError struct {
	Current Entry
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflicting write: key %s has version %d", e.Current.Key, e.Current.Version)
}

// HeldError means that another holder has the lease.
type HeldError struct {
	Current Lease
}

// Error implements error.
func (e *HeldError) Error() string {
	return fmt.Sprintf("lease %s is held by %s", e.Current.Name, e.Current.Holder)
}

// Store is the platform's key-value service. Every call counts against the call budget of
// the service; a waiting watch counts as one call. Calls fail when their context ends.
type Store interface {
	// Get reads an entry. A missing entry has version 0.
	Get(ctx context.Context, key string) (Entry, error)
	// Swap writes value if the entry has the given version, 0 for a missing entry, and
	// returns the new entry. If the version differs, the error is a *ConflictError.
	Swap(ctx context.Context, key string, version uint64, value []byte) (Entry, error)
	// Lease claims or renews the lease on name for the given seconds. If another holder
	// has it, the error is a *HeldError.
	Lease(ctx context.Context, name, holder string, seconds uint32) (Lease, error)
	// Watch waits until the version of the entry is greater than after. That may never
	// happen, so the context needs a deadline.
	Watch(ctx context.Context, key string, after uint64) (Entry, error)
}
