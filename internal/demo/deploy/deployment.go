// Package deploy runs a whole deployment in one process on loopback: the fabric,
// balancers, agents and upstreams.
package deploy

import (
	"net/netip"
	"time"

	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// Deployment describes the region, failure domains, balancers and services of one
// customer.
type Deployment struct {
	Name      string
	Region    string
	Domains   []string
	Balancers int
	Services  []Service
}

// Service describes one service and its load.
type Service struct {
	Name      string
	Address   netip.AddrPort
	Contract  spec.Contract
	Endpoints int
	Slots     uint32
	// Work is the time that a request takes.
	Work time.Duration
	// Rate is the number of requests opened per second, Feeds the number of feeds kept
	// open.
	Rate  float64
	Feeds int
}

// Deployments returns the two existing deployments at their present sizes. Requests
// load each service to about two thirds of its slots.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name:      "suedhang",
			Region:    "oberbayern",
			Domains:   []string{"muenchen-nord", "freising", "rosenheim"},
			Balancers: 3,
			Services: []Service{
				service("dienstplan", "10.99.1.1:80", spec.Once, 7, 7),
				service("blattdruck", "10.99.1.2:80", spec.Repeatable, 3, 7),
			},
		},
		{
			Name:      "nile-roll",
			Region:    "cairo",
			Domains:   []string{"nasr", "giza", "shubra", "maadi"},
			Balancers: 3,
			Services: []Service{
				service("order-desk", "10.99.2.1:80", spec.Once, 7, 5),
				service("catalogue", "10.99.2.2:80", spec.Repeatable, 4, 5),
			},
		},
	}
}

const (
	requestWork      = 100 * time.Millisecond
	loadShare        = 0.6
	feedsPerEndpoint = 10
	maxConnections   = 2_000
	drainSeconds     = 40
)

func service(name, address string, contract spec.Contract, endpoints int, slots uint32) Service {
	all := float64(endpoints) * float64(slots)
	return Service{
		Name:      name,
		Address:   netip.MustParseAddrPort(address),
		Contract:  contract,
		Endpoints: endpoints,
		Slots:     slots,
		Work:      requestWork,
		Rate:      loadShare * all / requestWork.Seconds(),
		Feeds:     feedsPerEndpoint * endpoints,
	}
}
