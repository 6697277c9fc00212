// Package file parses the operators' configuration file, an INI file that defines the
// operators, the chair, the services and the upstreams. A file with any fault is rejected
// as a whole.
//
//	[file]            name, base, chair
//	[operator NAME]   key
//	[service NAME]    address, protocol, contract, upstreams, weight_on, slots,
//	                  connections, drain_seconds
//	[upstream NAME]   weight
package file

import (
	"crypto/ed25519"
	"time"

	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// Limits and defaults of the values of a file.
const (
	// MaxBytes is the maximum size of one file, in bytes.
	MaxBytes = 32 << 20
	// MaxUpstreams is the maximum number of upstreams that one service may list.
	MaxUpstreams = 4096
	// MaxWeight is the largest weight of an upstream.
	MaxWeight = 1000
	// MaxSlots is the largest limit of active work on one endpoint.
	MaxSlots = 65_535
	// MaxConnections is the largest limit of open flows on one endpoint.
	MaxConnections = 10_000_000
	// MaxDrainSeconds is the longest drain: one week.
	MaxDrainSeconds = 604_800
	// DefaultDrainSeconds is the drain of a service that sets none: one hour.
	DefaultDrainSeconds = 3_600
)

// WeightOn is the measure that a service prefers to optimize.
type WeightOn uint8

const (
	// BrokenFlows prefers few broken flows to an even load.
	BrokenFlows WeightOn = iota + 1
	// Imbalance prefers an even load to few broken flows.
	Imbalance
)

// File is a parsed configuration file that has passed all checks.
type File struct {
	// Name is the name of the deployment. A store holds files of one deployment only.
	Name string
	// Base is the revision that the file is based on, 0 for the first file.
	Base uint64
	// Chair is the name of the operator who resolves collisions.
	Chair string
	// Operators, Services and Upstreams are sorted by name.
	Operators []Operator
	Services  []Service
	Upstreams []Upstream
}

// Operator is a person who may apply files, with the public key for their signatures.
type Operator struct {
	Name string            `json:"name"`
	Key  ed25519.PublicKey `json:"key"`
}

// Service is one service with its settings.
type Service struct {
	Spec     spec.Service
	WeightOn WeightOn
	// Slots limits the active work on one endpoint. 0 keeps the endpoint's own limit.
	Slots uint32
	// Connections limits the open flows on one endpoint. 0 keeps the endpoint's own
	// limit.
	Connections uint32
	// DrainSeconds is how long a draining endpoint may keep its flows.
	DrainSeconds uint32
}

// Upstream holds the settings of one upstream, independent of where it announces itself.
type Upstream struct {
	Name string
	// Weight is the relative share of new flows, from 1 to MaxWeight.
	Weight uint32
}

// Specs returns the specifications of the services.
func (f File) Specs() []spec.Service {
	out := make([]spec.Service, 0, len(f.Services))
	for i := range f.Services {
		out = append(out, f.Services[i].Spec)
	}
	return out
}

// Operator returns the operator with a name.
func (f File) Operator(name string) (Operator, bool) {
	for _, o := range f.Operators {
		if o.Name == name {
			return o, true
		}
	}
	return Operator{}, false
}

// Service returns the service with a name.
func (f File) Service(name string) (Service, bool) {
	for i := range f.Services {
		if f.Services[i].Spec.Name == name {
			return f.Services[i], true
		}
	}
	return Service{}, false
}

// DrainDeadline returns when a drain that starts at from must end.
func (s Service) DrainDeadline(from time.Time) time.Time {
	return from.Add(time.Duration(s.DrainSeconds) * time.Second)
}

// String returns the value used in files.
func (w WeightOn) String() string {
	switch w {
	case BrokenFlows:
		return "broken_flows"
	case Imbalance:
		return "imbalance"
	default:
		return "unknown"
	}
}
