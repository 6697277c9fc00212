package limit

import "time"

// Ramp raises the usable slots of an upstream that starts cold linearly from one to
// all of them between two times.
type Ramp struct {
	StartAt time.Time
	// WarmAt is when the cold start ends; the zero time means no cold start.
	WarmAt time.Time
}

// Slots is the number of the given slots that are usable at now, at least one.
func (r Ramp) Slots(now time.Time, slots int) int {
	if r.WarmAt.IsZero() || !now.Before(r.WarmAt) || slots < 1 {
		return slots
	}
	if !now.After(r.StartAt) {
		return 1
	}
	share := float64(now.Sub(r.StartAt)) / float64(r.WarmAt.Sub(r.StartAt))
	return 1 + int(share*float64(slots-1))
}
