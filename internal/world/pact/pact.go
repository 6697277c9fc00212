// Package pact describes services and what the system promises each of them.
package pact

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// ServiceID identifies a service in every packet between the roles. It is the
// xxhash of the service's name, so no table of numbers has to be agreed.
type ServiceID uint64

// Identify derives the identifier of the service called name.
func Identify(name string) ServiceID {
	return ServiceID(xxhash.Sum64String(name))
}

// Contract says whether an upstream may be given the same work twice.
type Contract uint8

const (
	// Once is work that runs at most once.
	Once Contract = iota + 1
	// Repeatable is work that may be run again.
	Repeatable
)

// Protocol is the IP protocol number of a service.
type Protocol uint8

const (
	// TCP carries services with a handshake.
	TCP Protocol = 6
	// UDP carries datagram services; their contract is Repeatable.
	UDP Protocol = 17
)

// Service is one service as the file in force describes it.
type Service struct {
	Name     string
	ID       ServiceID
	Address  netip.AddrPort
	Protocol Protocol
	Contract Contract
	// Upstreams are the names of the upstreams that may serve it; empty means
	// every upstream that announces the service.
	Upstreams []string
}

// String gives the contract as it is written in files.
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
