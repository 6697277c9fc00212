package plan

// Position is a point in the history of the store.
type Position struct {
	// Era counts how often the store has come back from an older copy of its items; 0 if
	// the store does not say.
	Era uint64
	// Revision increases with each change of any item. A new era continues from the
	// revision of the copy, so one revision stands for different items in two eras.
	Revision uint64
}

// Tracker follows the position of the store through its answers.
type Tracker struct {
	// latest is the latest position seen, read the one at which the plan was last read.
	latest   Position
	read     Position
	known    bool
	restores uint64
}

// Observe records the position in an answer. It reports whether the store has come back
// from an older copy since the latest one: its era is higher, or, if it does not tell its
// eras, its revision is lower. An answer of an earlier era is late and changes nothing.
func (t *Tracker) Observe(p Position) (restored bool) {
	toldEras := p.Era != 0 || t.latest.Era != 0
	restored = t.known && (p.Era > t.latest.Era || !toldEras && p.Revision < t.latest.Revision)
	if restored {
		t.restores++
	}
	if restored || !t.known || p.Era == t.latest.Era && p.Revision > t.latest.Revision {
		t.latest = p
	}
	t.known = true
	return restored
}

// Known reports whether the store has answered.
func (t *Tracker) Known() bool {
	return t.known
}

// Latest returns the latest position seen.
func (t *Tracker) Latest() Position {
	return t.latest
}

// Restores returns how often the store was found to have come back from an older copy. What
// was written to it before the last time may be lost.
func (t *Tracker) Restores() uint64 {
	return t.restores
}

// PlanMayDiffer reports whether the store may hold another plan at p than the one last
// read. Revisions of different eras do not compare, so any other position counts.
func (t *Tracker) PlanMayDiffer(p Position) bool {
	return p != t.read
}

// RecordRead records that the plan was read after the store had been at p.
func (t *Tracker) RecordRead(p Position) {
	t.read = p
}
