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

// Tracker follows the position of the store through the answers to successive polls.
type Tracker struct {
	last  Position
	known bool
}

// Observe records the position in the answer to a poll. It reports whether the store has
// come back from an older copy since the last one: its era is higher, or its revision is
// lower in the same era, from a store that does not tell its eras.
func (t *Tracker) Observe(p Position) (restored bool) {
	restored = t.known && (p.Era > t.last.Era || p.Era == t.last.Era && p.Revision < t.last.Revision)
	t.last = p
	t.known = true
	return restored
}

// Last returns the position in the last answer.
func (t *Tracker) Last() Position {
	return t.last
}
