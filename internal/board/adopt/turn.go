package adopt

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// watchers is how many members of a failure domain watch the store.
	watchers = 2
	// leastEvery is the shortest interval at which other members look at the
	// store, in case their watchers see nothing.
	leastEvery = time.Minute
	// everyMember lengthens that interval with the domain, so that a domain of
	// any size reads at most every two seconds in this way.
	everyMember = 2 * time.Second
)

// turn is a node's part in watching the store.
type turn struct {
	watcher bool
	// every is the interval of the looks of a node that is no watcher.
	every time.Duration
}

func aloneTurn() turn {
	return turn{
		watcher: true,
		every:   leastEvery,
	}
}

// turnOf chooses a domain's watchers by rendezvous hashing of the members'
// names. Members that disagree about who is there choose a watcher more or less,
// which costs a read or a look.
func turnOf(self string, members []string) turn {
	t := turn{
		every: max(leastEvery, time.Duration(len(members))*everyMember),
	}
	own := score(self)
	ahead := 0
	for _, n := range slices.Compact(slices.Sorted(slices.Values(members))) {
		if n != self && score(n) > own {
			ahead++
		}
	}
	t.watcher = ahead < watchers
	return t
}

func score(name string) uint64 {
	return xxhash.Sum64String("board watcher " + name)
}
