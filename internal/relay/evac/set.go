// Package evac holds which failure domains operators have evacuated. Operators evacuate a
// failure domain while it has to be left alone: from a few seconds after their write until they
// withdraw it, no endpoint in it may get a new flow, whatever else fails meanwhile. Balancers
// read the set from the store and tell each other, agents follow it and have the last word.
// Everything here is a pure state machine.
package evac

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/plan"
)

// Zone is the hash of the name of a failure domain, as load reports name it.
type Zone uint64

// ZoneOf returns the hash of a failure domain's name.
func ZoneOf(name string) Zone {
	return Zone(xxhash.Sum64String(name))
}

// Set is the set of evacuated failure domains and the store's position at which it was read.
//
// Positions order the reads within one era of the store only. The store may come back from a
// copy that lacks an evacuation which nobody has withdrawn, so a failure domain that was
// evacuated at the end of an earlier era is carried into the new one. It stays evacuated until
// the set of the new era has contained it and then no longer contains it.
//
// Copies of the set merge to the same result in any order. The zero Set knows nothing.
type Set struct {
	known    bool
	position plan.Position
	// base is the latest known position of the earlier eras, at which the carried failure
	// domains were evacuated.
	base plan.Position
	// changed is the revision at which the set last became another one, or 0 if that is not
	// known.
	changed uint64
	zones   map[Zone]uint8
}

// Known reports whether the set has been read or received.
func (s *Set) Known() bool {
	return s != nil && s.known
}

// Position returns the position at which the set was read.
func (s *Set) Position() plan.Position {
	return s.position
}

// Evacuated reports whether a failure domain is evacuated.
func (s *Set) Evacuated(z Zone) bool {
	return s != nil && evacuated(s.zones[z])
}

func evacuated(flags uint8) bool {
	return flags&frame.ZoneListed != 0 || flags&frame.ZoneCarried != 0 && flags&frame.ZoneSeen == 0
}

// Carried reports whether a failure domain is evacuated only because it was in an earlier era.
func (s *Set) Carried(z Zone) bool {
	return s.Evacuated(z) && s.zones[z]&frame.ZoneListed == 0
}

// Zones returns the evacuated failure domains in ascending order.
func (s *Set) Zones() (list []Zone) {
	if s == nil {
		return nil
	}
	for z, flags := range s.zones {
		if evacuated(flags) {
			list = append(list, z)
		}
	}
	slices.Sort(list)
	return list
}

// Observe merges a set that was read from the store at a position. It reports whether the set
// has changed, or is known for the first time.
func (s *Set) Observe(p plan.Position, listed []Zone) (changed bool) {
	o := Set{
		known:    true,
		position: p,
		changed:  p.Revision,
		zones:    make(map[Zone]uint8, len(listed)),
	}
	for _, z := range listed {
		o.zones[z] = frame.ZoneListed | frame.ZoneSeen
	}
	switch {
	case !s.known:
		// It is not known when the set became what it is. Others may tell.
		o.changed = 0
	case p.Era < s.position.Era || p.Era == s.position.Era && p.Revision <= s.position.Revision:
		// A late answer.
		o.changed = 0
	case p.Era == s.position.Era && maps.Equal(s.listed(), o.listed()):
		o.changed = s.changed
	}
	return s.merge(&o)
}

func (s *Set) listed() map[Zone]bool {
	out := map[Zone]bool{}
	for z, flags := range s.zones {
		if flags&frame.ZoneListed != 0 {
			out[z] = true
		}
	}
	return out
}

// Merge merges the copy of another process. It reports whether the set has changed, or is known
// for the first time.
func (s *Set) Merge(f *frame.EvacuationSet) (changed bool) {
	return s.merge(fromFrame(f))
}

func (s *Set) merge(o *Set) (changed bool) {
	if !s.known {
		*s = *o
		return true
	}
	before := maps.Clone(s.zones)
	position, previous := s.position, s.changed
	switch cmp.Compare(o.position.Era, s.position.Era) {
	case 1:
		earlier := *s
		*s = *o
		s.carry(earlier.position, earlier.Zones())
	case -1:
		s.carry(o.position, o.Zones())
	default:
		s.carry(o.base, o.withFlag(frame.ZoneCarried))
		for z, flags := range o.zones {
			if flags&frame.ZoneSeen != 0 {
				s.zones[z] |= frame.ZoneSeen
			}
		}
		if o.position.Revision > s.position.Revision {
			s.position = o.position
			s.replaceFlag(frame.ZoneListed, o.withFlag(frame.ZoneListed))
		}
		s.changed = max(s.changed, o.changed)
	}
	return position.Era != s.position.Era || previous != s.changed || !maps.Equal(before, s.zones)
}

// carry records which failure domains were evacuated at a position of an earlier era. The
// latest position of the earlier eras counts, because an evacuation may have been withdrawn
// before it.
func (s *Set) carry(p plan.Position, zones []Zone) {
	switch order := cmp.Or(cmp.Compare(p.Era, s.base.Era), cmp.Compare(p.Revision, s.base.Revision)); {
	case order > 0:
		s.base = p
		s.replaceFlag(frame.ZoneCarried, zones)
	case order == 0:
		for _, z := range zones {
			s.zones[z] |= frame.ZoneCarried
		}
	}
}

func (s *Set) withFlag(flag uint8) (list []Zone) {
	for z, flags := range s.zones {
		if flags&flag != 0 {
			list = append(list, z)
		}
	}
	return list
}

// replaceFlag sets a flag on exactly the given failure domains.
func (s *Set) replaceFlag(flag uint8, zones []Zone) {
	for z := range s.zones {
		if s.zones[z] &^= flag; s.zones[z] == 0 {
			delete(s.zones, z)
		}
	}
	for _, z := range zones {
		s.zones[z] |= flag
	}
}

// Frame returns the set as told to other processes, or nil if it is not known.
func (s *Set) Frame() *frame.EvacuationSet {
	if !s.Known() {
		return nil
	}
	f := &frame.EvacuationSet{
		Era:          s.position.Era,
		Revision:     s.position.Revision,
		Changed:      s.changed,
		BaseEra:      s.base.Era,
		BaseRevision: s.base.Revision,
	}
	for z, flags := range s.zones {
		f.Zones = append(f.Zones, frame.EvacuatedZone{
			Zone:  uint64(z),
			Flags: flags,
		})
	}
	slices.SortFunc(f.Zones, func(a, b frame.EvacuatedZone) int {
		// Evacuated failure domains come first: a datagram has room for MaxEvacuatedZones.
		if e, o := evacuated(a.Flags), evacuated(b.Flags); e != o {
			if e {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Zone, b.Zone)
	})
	return f
}

func fromFrame(f *frame.EvacuationSet) *Set {
	s := &Set{
		known: true,
		position: plan.Position{
			Era:      f.Era,
			Revision: f.Revision,
		},
		base: plan.Position{
			Era:      f.BaseEra,
			Revision: f.BaseRevision,
		},
		changed: f.Changed,
		zones:   make(map[Zone]uint8, len(f.Zones)),
	}
	for _, z := range f.Zones {
		s.zones[Zone(z.Zone)] = z.Flags
	}
	return s
}
