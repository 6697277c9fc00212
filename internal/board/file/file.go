// Package file reads the operators' file: an INI text that names the operators,
// their chair, the services and the upstreams, and that is taken as a whole or
// not at all.
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

	"github.com/clementinewing/clementinewing/internal/world/pact"
)

// Limits and defaults of the values of a file.
const (
	// MaxBytes bounds the text of one file, in bytes.
	MaxBytes = 32 << 20
	// MaxUpstreams bounds the names that one service may list.
	MaxUpstreams = 4096
	// MaxWeight is the largest weight of an upstream.
	MaxWeight = 1000
	// MaxSlots is the largest limit of work in hand of one endpoint.
	MaxSlots = 65_535
	// MaxConnections is the largest limit of held flows of one endpoint.
	MaxConnections = 10_000_000
	// MaxDrainSeconds is the longest drain, one week in seconds.
	MaxDrainSeconds = 604_800
	// DefaultDrainSeconds is the drain of a service that sets none, in seconds.
	DefaultDrainSeconds = 3_600
)

// WeightOn says which of the two measures a service puts first.
type WeightOn uint8

const (
	// BrokenFlows prefers a flow that stays over load that is even.
	BrokenFlows WeightOn = iota + 1
	// Imbalance prefers load that is even.
	Imbalance
)

// File is one operators' file after all its checks.
type File struct {
	// Name is the deployment's name; a store holds files of one name.
	Name string
	// Base is the revision that the file builds on, 0 for the first file.
	Base uint64
	// Chair is the name of the operator who decides on collisions.
	Chair string
	// Operators, Services and Upstreams are sorted by name.
	Operators []Operator
	Services  []Service
	Upstreams []Upstream
}

// Operator may apply files.
type Operator struct {
	Name string            `json:"name"`
	Key  ed25519.PublicKey `json:"key"`
}

// Service is one service with what the file sets for it.
type Service struct {
	Pact     pact.Service
	WeightOn WeightOn
	// Slots limits the work in hand of one endpoint, 0 leaves the endpoint's own.
	Slots uint32
	// Connections limits the flows of one endpoint, 0 leaves the endpoint's own.
	Connections uint32
	// DrainSeconds is how long a leaving endpoint may keep its flows, in seconds.
	DrainSeconds uint32
}

// Upstream is what the file sets for one upstream, wherever it announces itself.
type Upstream struct {
	Name string
	// Weight is the upstream's share of new flows, from 1 to MaxWeight.
	Weight uint32
}

// Pacts lists the services as the other packages know them.
func (f File) Pacts() []pact.Service {
	out := make([]pact.Service, 0, len(f.Services))
	for i := range f.Services {
		out = append(out, f.Services[i].Pact)
	}
	return out
}

// Operator finds an operator by name.
func (f File) Operator(name string) (Operator, bool) {
	for _, o := range f.Operators {
		if o.Name == name {
			return o, true
		}
	}
	return Operator{}, false
}

// Service finds a service by name.
func (f File) Service(name string) (Service, bool) {
	for i := range f.Services {
		if f.Services[i].Pact.Name == name {
			return f.Services[i], true
		}
	}
	return Service{}, false
}

// DrainDeadline is when a drain that starts at from has to end.
func (s Service) DrainDeadline(from time.Time) time.Time {
	return from.Add(time.Duration(s.DrainSeconds) * time.Second)
}

// String gives the measure as it is written in files.
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
