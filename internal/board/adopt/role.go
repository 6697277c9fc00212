package adopt

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// watchersPerDomain is how many members of a failure domain watch the store.
	watchersPerDomain = 2
	// minPollInterval is the shortest interval at which the other members poll the
	// store, in case the watchers of their domain miss a change.
	minPollInterval = time.Minute
	// pollIntervalPerMember extends that interval with the size of the domain, so
	// that the members of a domain of any size together poll at most once every two
	// seconds.
	pollIntervalPerMember = 2 * time.Second
)

// watchRole says how a node follows the head in the store.
type watchRole struct {
	watcher bool
	// pollInterval is the average interval at which a node that is not a watcher
	// polls the store.
	pollInterval time.Duration
}

func soleWatcherRole() watchRole {
	return watchRole{
		watcher:      true,
		pollInterval: minPollInterval,
	}
}

// chooseRole determines whether a node is a watcher of its domain by rendezvous
// hashing of the members' names. Members with different member lists may choose one
// watcher more or fewer, which costs an extra read or delays a change until the next
// poll.
func chooseRole(self string, members []string) watchRole {
	r := watchRole{
		pollInterval: max(minPollInterval, time.Duration(len(members))*pollIntervalPerMember),
	}
	ownScore := watcherScore(self)
	higher := 0
	for _, n := range slices.Compact(slices.Sorted(slices.Values(members))) {
		if n != self && watcherScore(n) > ownScore {
			higher++
		}
	}
	r.watcher = higher < watchersPerDomain
	return r
}

func watcherScore(name string) uint64 {
	return xxhash.Sum64String("board watcher " + name)
}
