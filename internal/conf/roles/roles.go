// Package roles reads the settings of balancers and of agents that terminate the
// flows of callers themselves; package conf/relay those of the other kind.
package roles

import (
	"net/netip"
	"time"

	"github.com/clementinewing/clementinewing/internal/edge/keys"
	"github.com/clementinewing/clementinewing/internal/world/zone"
)

// Defaults and limits of the settings.
const (
	DefaultSlots            = 7
	DefaultConnections      = 2_000
	DefaultWeight           = 100
	DefaultDrainSeconds     = 60
	DefaultWarmSeconds      = 0
	DefaultKeepaliveSeconds = 30
	MaxSlots                = 100_000
	MaxConnections          = 1_000_000
	MaxWeight               = 10_000
	MaxDrainSeconds         = 24 * 60 * 60
	MaxWarmSeconds          = 60 * 60
	MaxKeepaliveSeconds     = 2 * 60 * 60
)

// Balancer holds the settings of a balancer.
type Balancer struct {
	Common
	// Fabric is the UDP address at which packets of callers are received.
	Fabric netip.AddrPort
}

// Agent holds the settings of an agent.
type Agent struct {
	Common
	// Fabric is the UDP address to which packets for callers are sent.
	Fabric netip.AddrPort
	// Service is the name of the service of the upstream.
	Service string
	// Upstream is the address at which the upstream accepts connections.
	Upstream netip.AddrPort
	// Slots limits the active work on the upstream, Connections the open flows. The file
	// in force may set other limits.
	Slots       uint32
	Connections uint32
	// Weight is the share of new flows, relative to the weights of other endpoints.
	Weight uint32
	// DrainTimeout is how long a drain waits for open flows.
	DrainTimeout time.Duration
	// WarmUpDuration is how long the cold start of the upstream takes.
	WarmUpDuration time.Duration
	// KeepaliveIdle is how long a caller may be silent before it is probed.
	KeepaliveIdle time.Duration
}

// Common holds the settings common to all roles.
type Common struct {
	Name  string
	Place zone.Place
	// Tunnel is the UDP address for datagrams between balancers and agents.
	Tunnel netip.AddrPort
	// Control is the TCP address for gRPC between balancers and agents.
	Control netip.AddrPort
	// Status is the TCP address at which metrics and state are served over HTTP.
	Status netip.AddrPort
	// Contacts are the control addresses of the balancers to contact first.
	Contacts []netip.AddrPort
	Store    Store
	Keys     *keys.Set
	TLS      TLS
	LogLevel string
}

// Store holds the address of the store of the platform; the zero address means
// there is no store.
type Store struct {
	Address netip.AddrPort
}

// TLS holds the paths of the TLS files for links between balancers and agents.
// Without these files, Insecure must be set explicitly.
type TLS struct {
	Certificate string
	Key         string
	Authority   string
	Insecure    bool
}
