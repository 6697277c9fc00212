package frame

import "math"

// Flags of an EvacuatedZone.
const (
	// ZoneListed: the set contained the failure domain when it was read.
	ZoneListed = 1 << iota
	// ZoneCarried: the failure domain was evacuated at the end of an earlier era of the store.
	ZoneCarried
	// ZoneSeen: a set of this era of the store has contained the failure domain.
	ZoneSeen
)

// MaxEvacuatedZones limits the failure domains of an EvacuationSet on the wire, so that a datagram
// fits the buffers of its receiver.
const MaxEvacuatedZones = 400

// EvacuatedZone is one failure domain of an EvacuationSet, by the hash of its name.
type EvacuatedZone struct {
	Zone  uint64
	Flags uint8
}

// EvacuationSet holds the failure domains that operators have evacuated.
type EvacuationSet struct {
	// Era and Revision are the position of the store at which the set was read.
	Era      uint64
	Revision uint64
	// Changed is the revision at which the set last became another one, or 0 if unknown.
	Changed uint64
	// BaseEra and BaseRevision are the latest known position of the earlier eras.
	BaseEra      uint64
	BaseRevision uint64
	Zones        []EvacuatedZone
}

// Evacuations answers the load report of an agent that knows another version of the evacuated
// failure domains, or none. Balancers of earlier releases do not send it.
type Evacuations struct {
	// Version is what the agent names in later load reports, Answers what it named in the one
	// that is answered.
	Version uint64
	Answers uint64
	// AgeMS is the time in milliseconds since the store was asked for the set. StoreLost is set
	// if that is long ago although the sender hears most other balancers: none of them reaches
	// the store.
	AgeMS     uint32
	StoreLost bool
	// PlanVersion is the version of the plan that ColdRate is from. ColdRate is how many
	// requests per second a cold endpoint of the agent's service can serve; 0 means no limit.
	PlanVersion uint64
	ColdRate    float64
	Set         EvacuationSet
}

func (Evacuations) message() {}

func appendEvacuations(out []byte, m *Evacuations) []byte {
	out = append(out, magic, version, kindEvacuations, bitIf(m.StoreLost, bit0))
	out = byteOrder.AppendUint64(out, m.Version)
	out = byteOrder.AppendUint64(out, m.Answers)
	out = byteOrder.AppendUint32(out, m.AgeMS)
	out = byteOrder.AppendUint64(out, m.PlanVersion)
	out = byteOrder.AppendUint64(out, math.Float64bits(m.ColdRate))
	return appendEvacuationSet(out, &m.Set)
}

func appendEvacuationSet(out []byte, s *EvacuationSet) []byte {
	zones := s.Zones[:min(len(s.Zones), MaxEvacuatedZones)]
	for _, n := range [...]uint64{s.Era, s.Revision, s.Changed, s.BaseEra, s.BaseRevision} {
		out = byteOrder.AppendUint64(out, n)
	}
	out = byteOrder.AppendUint16(out, uint16(len(zones)))
	for _, z := range zones {
		out = byteOrder.AppendUint64(out, z.Zone)
		out = append(out, z.Flags)
	}
	return out
}

func (r *reader) evacuations() Evacuations {
	return Evacuations{
		StoreLost:   r.byte()&bit0 != 0,
		Version:     r.uint64(),
		Answers:     r.uint64(),
		AgeMS:       r.uint32(),
		PlanVersion: r.uint64(),
		ColdRate:    r.rate(),
		Set:         *r.evacuationSet(),
	}
}

// rate reads a number that is finite and not negative.
func (r *reader) rate() float64 {
	n := math.Float64frombits(r.uint64())
	if !(n >= 0) || math.IsInf(n, 1) {
		r.truncated = true
		return 0
	}
	return n
}

func (r *reader) evacuationSet() *EvacuationSet {
	s := &EvacuationSet{
		Era:          r.uint64(),
		Revision:     r.uint64(),
		Changed:      r.uint64(),
		BaseEra:      r.uint64(),
		BaseRevision: r.uint64(),
	}
	count := int(r.uint16())
	if count > MaxEvacuatedZones {
		r.truncated = true
		return s
	}
	for range count {
		s.Zones = append(s.Zones, EvacuatedZone{
			Zone:  r.uint64(),
			Flags: r.byte(),
		})
	}
	return s
}
