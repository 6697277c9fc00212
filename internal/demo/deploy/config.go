package deploy

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc/credentials"

	"github.com/clementinewing/clementinewing/internal/conf/roles"
	"github.com/clementinewing/clementinewing/internal/edge/keys"
	"github.com/clementinewing/clementinewing/internal/edge/mtls"
	"github.com/clementinewing/clementinewing/internal/fake/certs"
	"github.com/clementinewing/clementinewing/internal/fake/fabric"
	"github.com/clementinewing/clementinewing/internal/fake/origin"
	"github.com/clementinewing/clementinewing/internal/world/zone"
)

const keyBytes = 32

// anyLoopbackPort selects a free port on loopback.
var anyLoopbackPort = netip.MustParseAddrPort("127.0.0.1:0")

// RunningDeployment is one running deployment.
type RunningDeployment struct {
	Deployment Deployment
	Ledger     *origin.Ledger
	fabric     *fabric.Fabric
	server     credentials.TransportCredentials
	client     credentials.TransportCredentials
	keys       *keys.Set
	operators  *Operators
	ctx        context.Context
	cancel     context.CancelFunc
	tasks      sync.WaitGroup
	// lastKilledAt is the time of the last kill of an upstream, in Unix nanoseconds.
	lastKilledAt atomic.Int64

	mutex     sync.Mutex
	balancers []*Balancer
	upstreams map[string]*Upstream
	machines  int
}

// Faults holds the probabilities, from 0 to 1, that the fabric loses, duplicates or
// delays a packet.
type Faults struct {
	Loss      float64
	Duplicate float64
	Reorder   float64
}

// New starts the fabric of a deployment, without balancers and upstreams.
func New(d Deployment, seed uint64, faults Faults) (s *RunningDeployment, err error) {
	defer func() { err = eris.Wrapf(err, "starting %s", d.Name) }()
	s = &RunningDeployment{
		Deployment: d,
		Ledger:     origin.NewLedger(),
		upstreams:  map[string]*Upstream{},
	}
	s.operators, err = newCommittee(d)
	if err != nil {
		return nil, err
	}
	s.keys, err = generateKeys()
	if err != nil {
		return nil, err
	}
	err = s.issueCredentials()
	if err != nil {
		return nil, err
	}
	s.fabric, err = fabric.New(seed, fabric.WithFaults(faults.Loss, faults.Duplicate, faults.Reorder))
	if err != nil {
		return nil, err
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.tasks.Go(func() { s.fabric.Run(s.ctx) })
	return s, nil
}

func generateKeys() (k *keys.Set, err error) {
	b := make([]byte, keyBytes)
	_, err = rand.Read(b)
	if err != nil {
		return nil, err
	}
	return keys.Parse("demo", "1 = "+hex.EncodeToString(b))
}

func (s *RunningDeployment) issueCredentials() (err error) {
	authority, err := certs.New()
	if err != nil {
		return err
	}
	pair, err := authority.Issue("demo")
	if err != nil {
		return err
	}
	var certificate tls.Certificate
	certificate, err = pair.TLS()
	if err != nil {
		return err
	}
	s.server, s.client, err = mtls.NewCredentials(authority.PEM, certificate)
	return err
}

// CallerAddress returns the address to which callers of this deployment send packets.
func (s *RunningDeployment) CallerAddress() netip.AddrPort {
	return s.fabric.CallerAddress()
}

// Close kills everything that is still running and waits for it to end.
func (s *RunningDeployment) Close() {
	s.mutex.Lock()
	for _, b := range s.balancers {
		b.end()
	}
	for _, u := range s.upstreams {
		u.end()
	}
	s.mutex.Unlock()
	s.cancel()
	s.tasks.Wait()
}

// common returns the settings that all roles share. Machines are assigned to the failure
// domains in rotation.
func (s *RunningDeployment) common(name string, contacts []netip.AddrPort) roles.Common {
	d := s.Deployment
	domain := d.Domains[s.machines%len(d.Domains)]
	s.machines++
	return roles.Common{
		Name: name,
		Place: zone.Place{
			Region: d.Region,
			Domain: domain,
		},
		Tunnel:   anyLoopbackPort,
		Control:  anyLoopbackPort,
		Contacts: contacts,
		Keys:     s.keys,
	}
}

// contacts returns the control addresses of the balancers in the fabric.
func (s *RunningDeployment) contacts() (out []netip.AddrPort) {
	for _, b := range s.balancers {
		if !b.removed {
			out = append(out, b.front.ControlAddress())
		}
	}
	return out
}

// AwaitView waits until every balancer knows the given number of endpoints.
func (s *RunningDeployment) AwaitView(ctx context.Context, endpoints int) (err error) {
	defer func() { err = eris.Wrapf(err, "waiting for %d endpoints at every balancer", endpoints) }()
	return await(ctx, func() bool {
		for _, b := range s.running() {
			if len(b.front.State().Endpoints) != endpoints {
				return false
			}
		}
		return true
	})
}

// await polls until done returns true or ctx ends.
func await(ctx context.Context, done func() bool) error {
	for !done() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// running returns the balancers in the fabric.
func (s *RunningDeployment) running() (out []*Balancer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, b := range s.balancers {
		if !b.removed {
			out = append(out, b)
		}
	}
	return out
}

const pollInterval = 50 * time.Millisecond
