package limit

import "time"

// Ramp raises the usable slots of an upstream that starts cold linearly from one to
// all of them between two times.
type Ramp struct {
	Begin time.Time
	// WarmAt is when the cold start ends; the zero time means no cold start.
	Warm time.Time
}

// Slots is the number of the given slots that are usable at now, at least one.
func (r Ramp) Slots(now time.Time, slots int) int {
	if r.Warm.IsZero() || !now.Before(r.Warm) || slots < 1 {
		return slots
	}
	if !now.After(r.Begin) {
		return 1
	}
	share := float64(now.Sub(r.Begin)) / float64(r.Warm.Sub(r.Begin))
	return 1 + int(share*float64(slots-1))
}
