package keys

import "sync/atomic"

// Ring holds the key set in use, which can be replaced atomically.
type Ring struct {
	set atomic.Pointer[Set]
}

// NewRing returns a Ring with a set that Parse has validated.
func NewRing(s *Set) *Ring {
	r := &Ring{}
	r.set.Store(s)
	return r
}

// Load returns the set in use. Code that caches derived keys compares the pointer to
// detect a change of the set.
func (r *Ring) Load() *Set {
	return r.set.Load()
}

// Swap replaces the set in use.
func (r *Ring) Swap(s *Set) {
	r.set.Store(s)
}
