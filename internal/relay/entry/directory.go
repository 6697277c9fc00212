package entry

import (
	"context"
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
)

const (
	// directorySyncInterval is the interval at which the balancer directory is compared
	// with the roster. Days pass between replacements at one address, so a few minutes are
	// enough.
	directorySyncInterval = 5 * time.Minute
	// directoryRetryInterval is the interval of attempts while the store does not answer.
	directoryRetryInterval = 5 * time.Second
)

// syncDirectory adds the live balancers that the balancer directory lacks and removes the
// stale ones. One balancer does so for all, periodically and when the store has come back
// from an older copy.
func (b *Balancer) syncDirectory(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	b.mutex.Lock()
	restores := b.position.Restores()
	b.mutex.Unlock()
	start := time.Now()
	list, err := b.store.Balancers(call)
	b.recordStoreCall(start, err)
	if err != nil {
		return
	}
	missing, stale := b.compareDirectory(time.Now(), list)
	if len(missing) > 0 {
		start = time.Now()
		err = b.store.AddBalancers(call, missing, b.settings.Name)
		b.recordStoreCall(start, err)
		if err != nil {
			return
		}
		b.log.Important.Info().Int("balancers", len(missing)).Msg("missing balancers added to the directory")
	}
	if len(stale) > 0 {
		start = time.Now()
		err = b.store.RemoveBalancers(call, stale)
		b.recordStoreCall(start, err)
		if err != nil {
			return
		}
		b.log.Important.Info().Int("balancers", len(stale)).Msg("stale balancers removed from the directory")
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if restores == b.position.Restores() {
		b.nextDirectorySyncAt = time.Now().Add(directorySyncInterval)
	}
}

// compareDirectory returns the live balancers that a list of the directory lacks, and those
// that it has and the roster does not list, because they have sent no heartbeat for too
// long. A balancer that started recently may not know all others, so for it none is stale.
func (b *Balancer) compareDirectory(now time.Time, list []frame.Host) (missing, stale []frame.Host) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	missing = slices.DeleteFunc(b.members.LiveBalancers(now), func(h frame.Host) bool { return slices.Contains(list, h) })
	if now.Before(b.startedAt.Add(directorySyncInterval)) {
		return missing, nil
	}
	known := append(b.members.Balancers(), b.self)
	stale = slices.DeleteFunc(slices.Clone(list), func(h frame.Host) bool { return slices.Contains(known, h) })
	return missing, stale
}
