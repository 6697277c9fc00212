package meter

import (
	"sync"
	"time"
)

// Tracker remembers when counters were last seen to rise.
type Tracker struct {
	mutex sync.Mutex
	last  map[string]rise
}

// rise is a counter as it was seen last, and when it last rose.
type rise struct {
	value uint64
	at    time.Time
}

// NewTracker makes a tracker that has seen no counter.
func NewTracker() *Tracker {
	return &Tracker{
		last: map[string]rise{},
	}
}

// Reason gives a counter with the time at which it was last seen to rise.
func (t *Tracker) Reason(name string, count uint64) Reason {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	last := t.last[name]
	if count != last.value {
		last = rise{
			value: count,
			at:    time.Now(),
		}
		t.last[name] = last
	}
	return Reason{
		Name:  name,
		Count: count,
		Last:  last.at,
	}
}
