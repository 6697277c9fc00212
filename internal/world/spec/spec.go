// Package spec defines services and their delivery contracts.
package spec

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// ServiceID identifies a service in every packet between balancers and agents. It is the
// xxhash of the service's name, so no mapping from names to numbers must be distributed.
type ServiceID uint64

// NewServiceID returns the identifier of the service with the given name.
func NewServiceID(name string) ServiceID {
	return ServiceID(xxhash.Sum64String(name))
}

// Contract tells whether the work of a flow may be run more than once.
type Contract uint8

const (
	// Once means that the work is run at most once.
	Once Contract = iota + 1
	// Repeatable means that the work may be run more than once.
	Repeatable
)

// Protocol is the IP protocol number of a service.
type Protocol uint8

const (
	// TCP services are connection-oriented.
	TCP Protocol = 6
	// UDP services are datagram services; their contract is Repeatable.
	UDP Protocol = 17
)

// Service is a service as defined in the configuration file in force.
type Service struct {
	Name     string
	ID       ServiceID
	Address  netip.AddrPort
	Protocol Protocol
	Contract Contract
	// Upstreams are the names of the upstreams that may serve it. If empty, every
	// upstream that announces the service may serve it.
	Upstreams []string
}

// String returns the contract as written in configuration files.
func (c Contract) String() string {
	switch c {
	case Once:
		return "once"
	case Repeatable:
		return "repeatable"
	default:
		return "unknown"
	}
}
