package deploy

import (
	"context"
	"errors"
	"fmt"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/clementinewing/clementinewing/internal/conf/roles"
	"github.com/clementinewing/clementinewing/internal/role/front"
)

var errNoBalancer = errors.New("no balancer is running")

// Balancer is one balancer of a deployment.
type Balancer struct {
	Name    string
	front   *front.Balancer
	stop    context.CancelFunc
	kill    context.CancelFunc
	done    chan struct{}
	removed bool
}

// AddBalancer starts one more balancer and adds it to the fabric.
func (s *RunningDeployment) AddBalancer() (b *Balancer, err error) {
	defer func() { err = eris.Wrap(err, "adding a balancer") }()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	b = &Balancer{
		Name: fmt.Sprintf("%s-balancer-%d", s.Deployment.Name, len(s.balancers)+1),
		done: make(chan struct{}),
	}
	b.front, err = front.New(roles.Balancer{
		Common: s.common(b.Name, s.contacts()),
		Fabric: anyLoopbackPort,
	}, front.WithCredentials(s.server, s.client), front.WithStore(s.operators.store))
	if err != nil {
		return nil, err
	}
	stop, endStop := context.WithCancel(context.Background())
	kill, endKill := context.WithCancel(context.Background())
	b.stop, b.kill = endStop, endKill
	s.tasks.Go(func() {
		defer close(b.done)
		_ = b.front.Run(stop, kill)
	})
	s.balancers = append(s.balancers, b)
	s.updateFabric()
	return b, nil
}

// OldestBalancer returns the balancer that was started first among those in the fabric.
func (s *RunningDeployment) OldestBalancer() (*Balancer, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, b := range s.balancers {
		if !b.removed {
			return b, nil
		}
	}
	return nil, errNoBalancer
}

// StopBalancer removes a balancer from the fabric and stops it gracefully.
func (s *RunningDeployment) StopBalancer(b *Balancer) {
	s.mutex.Lock()
	b.removed = true
	s.updateFabric()
	s.mutex.Unlock()
	b.stop()
	<-b.done
}

// KillBalancer ends a balancer at once. The fabric still sends packets to it until
// RemoveFromFabric is called.
func (s *RunningDeployment) KillBalancer(b *Balancer) {
	b.kill()
	<-b.done
}

// RemoveFromFabric removes a killed balancer from the fabric.
func (s *RunningDeployment) RemoveFromFabric(b *Balancer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	b.removed = true
	s.updateFabric()
}

func (s *RunningDeployment) updateFabric() {
	var out []netip.AddrPort
	for _, b := range s.balancers {
		if !b.removed {
			out = append(out, b.front.FabricAddress())
		}
	}
	s.fabric.SetBalancers(out...)
}

func (b *Balancer) end() {
	b.kill()
}
