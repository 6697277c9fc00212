// Package roles reads the settings of the running roles.
package roles

import (
	"net/netip"
	"time"

	"github.com/clementinewing/clementinewing/internal/edge/keys"
	"github.com/clementinewing/clementinewing/internal/world/zone"
)

// Defaults and bounds of the settings.
const (
	DefaultSlots            = 7
	DefaultConnections      = 2_000
	DefaultWeight           = 100
	DefaultDrainSeconds     = 60
	DefaultWarmSeconds      = 0
	DefaultKeepaliveSeconds = 30
	SlotsMost               = 100_000
	ConnectionsMost         = 1_000_000
	WeightMost              = 10_000
	DrainSecondsMost        = 24 * 60 * 60
	WarmSecondsMost         = 60 * 60
	KeepaliveSecondsMost    = 2 * 60 * 60
)

// Balancer holds the settings of a balancer.
type Balancer struct {
	Common
	// Fabric is where packets of callers come in.
	Fabric netip.AddrPort
}

// Agent holds the settings of a side process.
type Agent struct {
	Common
	// Fabric is where packets to callers go.
	Fabric netip.AddrPort
	// Service is the service that the upstream announces.
	Service string
	// Upstream is where the upstream takes connections.
	Upstream    netip.AddrPort
	Slots       uint32
	Connections uint32
	Weight      uint32
	// Drain is how long a stop waits for open flows.
	Drain time.Duration
	// Warm is how long the cold start of the upstream takes.
	Warm time.Duration
	// Keepalive is how long a caller may be silent before it is probed.
	Keepalive time.Duration
}

// Common holds what every role has.
type Common struct {
	Name  string
	Place zone.Place
	// Tunnel is the UDP address for datagrams between the roles.
	Tunnel netip.AddrPort
	// Control is the TCP address for gRPC between the roles.
	Control netip.AddrPort
	// Status is the TCP address of the HTTP page with metrics and state.
	Status netip.AddrPort
	// Contacts are the control addresses of balancers to ask first.
	Contacts []netip.AddrPort
	Store    Store
	Keys     *keys.Set
	TLS      TLS
	LogLevel string
}

// Store holds where the platform's store is; the zero address means none.
type Store struct {
	Address netip.AddrPort
}

// TLS names the files that links between the roles are secured with. Without
// them, Insecure has to be asked for.
type TLS struct {
	Certificate string
	Key         string
	Authority   string
	Insecure    bool
}
