// Package pause notices that a process has not run for a while. What has waited in its sockets
// meanwhile tells of the time before.
package pause

import "time"

const (
	// maxGap is the longest time between two events of a process that runs.
	maxGap = time.Second
	// maxDrift is the longest time by which the time of day may run ahead of the steady clock
	// between two events of a process that runs.
	maxDrift = 200 * time.Millisecond
)

// Detector notices pauses. The steady clock stands still while a VM is suspended, so the time of
// day counts too: a step of it forward is taken for a pause, one back hides a pause of its length.
type Detector struct {
	steadyAt time.Time
	wallAt   time.Time
}

// Step is called before each event with both clocks. It reports whether the process has been
// paused since the last call.
func (d *Detector) Step(steady, wall time.Time) (paused bool) {
	if !d.steadyAt.IsZero() {
		gap := steady.Sub(d.steadyAt)
		paused = gap > maxGap || wall.Sub(d.wallAt)-gap > maxDrift
	}
	d.steadyAt = steady
	d.wallAt = wall
	return paused
}
