package deploy

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/clementinewing/clementinewing/internal/conf/roles"
	"github.com/clementinewing/clementinewing/internal/edge/meter"
	"github.com/clementinewing/clementinewing/internal/fake/origin"
	"github.com/clementinewing/clementinewing/internal/role/side"
)

// Upstream is one upstream with its agent.
type Upstream struct {
	Name    string
	Service Service
	Origin  *origin.Upstream
	agent   *side.Agent
	drain   context.CancelFunc
	kill    context.CancelFunc
	done    chan struct{}
	dead    atomic.Bool
	leaving atomic.Bool
}

// AddUpstream starts one more upstream of a service.
func (s *RunningDeployment) AddUpstream(service Service, name string) (u *Upstream, err error) {
	defer func() { err = eris.Wrapf(err, "adding upstream %s", name) }()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	u = &Upstream{
		Name:    name,
		Service: service,
		done:    make(chan struct{}),
	}
	u.Origin, err = origin.New(service.Name, name, anyLoopbackPort, origin.WithWorkDuration(service.Work), origin.WithLedger(s.Ledger))
	if err != nil {
		return nil, err
	}
	u.agent, err = side.New(roles.Agent{
		Common:        s.common(name, s.contacts()),
		Fabric:        s.fabric.AnswerAddress(),
		Service:       service.Name,
		Upstream:      u.Origin.Address(),
		Slots:         service.Slots,
		Connections:   maxConnections,
		Weight:        roles.DefaultWeight,
		DrainTimeout:  drainSeconds * time.Second,
		KeepaliveIdle: roles.DefaultKeepaliveSeconds * time.Second,
	}, side.WithCredentials(s.server, s.client))
	if err != nil {
		return nil, err
	}
	drain, endDrain := context.WithCancel(context.Background())
	kill, endKill := context.WithCancel(context.Background())
	u.drain, u.kill = endDrain, endKill
	s.tasks.Go(func() {
		defer close(u.done)
		u.agent.Run(drain, kill)
	})
	s.upstreams[name] = u
	return u, nil
}

// Upstream returns the upstream with the given name.
func (s *RunningDeployment) Upstream(name string) (*Upstream, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	u := s.upstreams[name]
	if u == nil {
		return nil, fmt.Errorf("no upstream named %s", name)
	}
	return u, nil
}

// DrainUpstream starts a graceful stop of an upstream. The channel of Stopped is closed
// at its end.
func (s *RunningDeployment) DrainUpstream(u *Upstream) {
	u.leaving.Store(true)
	u.drain()
}

// Stopped returns a channel that is closed once the agent of the upstream has ended.
func (u *Upstream) Stopped() <-chan struct{} {
	return u.done
}

// KillUpstream ends an upstream and its agent at once.
func (s *RunningDeployment) KillUpstream(u *Upstream) {
	u.dead.Store(true)
	s.lastKilledAt.Store(time.Now().UnixNano())
	u.Origin.Kill()
	u.kill()
	<-u.done
}

// WasKilled reports whether the upstream with the given name was killed.
func (s *RunningDeployment) WasKilled(name string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	u := s.upstreams[name]
	return u != nil && u.dead.Load()
}

// KilledSince reports whether any upstream was killed at or after the given time.
func (s *RunningDeployment) KilledSince(at time.Time) bool {
	return s.lastKilledAt.Load() >= at.UnixNano()
}

// Serving returns the upstreams of a service that are neither killed nor draining.
func (s *RunningDeployment) Serving(service string) (out []*Upstream) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, u := range s.upstreams {
		if u.Service.Name == service && !u.dead.Load() && !u.leaving.Load() {
			out = append(out, u)
		}
	}
	return out
}

// Reasons returns the counts of rejected, forwarded and dropped packets of every agent,
// by reason.
func (s *RunningDeployment) Reasons() (out []meter.Reason) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, u := range s.upstreams {
		out = append(out, u.agent.State().Reasons...)
	}
	return out
}

func (u *Upstream) end() {
	u.kill()
	u.Origin.Kill()
}
