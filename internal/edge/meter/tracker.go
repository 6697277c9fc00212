package meter

import (
	"sync"
	"time"
)

// Tracker records when each counter was last seen to increase.
type Tracker struct {
	mutex    sync.Mutex
	counters map[string]counterState
}

// counterState is the last seen value of a counter and the time of its last increase.
type counterState struct {
	value       uint64
	increasedAt time.Time
}

// NewTracker returns a Tracker that has seen no counter.
func NewTracker() *Tracker {
	return &Tracker{
		counters: map[string]counterState{},
	}
}

// Reason returns a counter with the time of its last seen increase.
func (t *Tracker) Reason(name string, count uint64) Reason {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	last := t.counters[name]
	if count != last.value {
		last = counterState{
			value:       count,
			increasedAt: time.Now(),
		}
		t.counters[name] = last
	}
	return Reason{
		Name:  name,
		Count: count,
		Last:  last.increasedAt,
	}
}
