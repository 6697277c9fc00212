package keys

import "sync/atomic"

// Ring is the set in use, swapped atomically.
type Ring struct {
	set atomic.Pointer[Set]
}

// NewRing holds a set that Parse has checked.
func NewRing(s *Set) *Ring {
	r := &Ring{}
	r.set.Store(s)
	return r
}

// Load gives the set in use. Holders of derived keys compare the pointer to see
// that the set has changed.
func (r *Ring) Load() *Set {
	return r.set.Load()
}

// Swap puts another set in use.
func (r *Ring) Swap(s *Set) {
	r.set.Store(s)
}
