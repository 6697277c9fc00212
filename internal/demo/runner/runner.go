// Package runner runs the demonstration: it puts both deployments under load while it
// changes their balancers, upstreams and files.
package runner

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/clementinewing/clementinewing/internal/demo/calls"
	"github.com/clementinewing/clementinewing/internal/demo/deploy"
	"github.com/clementinewing/clementinewing/internal/demo/score"
	"github.com/clementinewing/clementinewing/internal/fake/caller"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

const (
	callersPerService = 2
	minFeedDuration   = 4 * time.Second
	maxFeedDuration   = 20 * time.Second
	viewTimeout       = 15 * time.Second
	sampleInterval    = 10 * time.Millisecond
	fabricNoticeDelay = 500 * time.Millisecond
)

// Demo is one demonstration.
type Demo struct {
	seed        uint64
	scale       float64
	report      func(string)
	score       *score.Score
	started     time.Time
	deployments []*deploymentLoad
}

// deploymentLoad is one running deployment with its callers.
type deploymentLoad struct {
	running  *deploy.RunningDeployment
	services []*calls.Service
	callers  []*caller.Caller
	samplers []*loadSampler
}

// Option sets one property of a Demo.
type Option func(*Demo)

// WithSeed seeds the fabric and the callers.
func WithSeed(seed uint64) Option {
	return func(p *Demo) {
		p.seed = seed
	}
}

// WithScale multiplies the rate of requests.
func WithScale(scale float64) Option {
	return func(p *Demo) {
		p.scale = scale
	}
}

// WithProgress sets a function that is called with a line of text after each step.
func WithProgress(report func(string)) Option {
	return func(p *Demo) {
		p.report = report
	}
}

// New returns a demonstration that has not started.
func New(options ...Option) *Demo {
	p := &Demo{
		seed:   1,
		scale:  1,
		report: func(string) {},
		score:  &score.Score{},
	}
	for _, o := range options {
		o(p)
	}
	return p
}

// Run runs the demonstration and returns its result.
func (p *Demo) Run(ctx context.Context) (line score.Line, err error) {
	defer func() { err = eris.Wrap(err, "running the demonstration") }()
	defer p.close()
	p.started = time.Now()
	for i, d := range deploy.Deployments() {
		err = p.startDeployment(ctx, d, p.seed+uint64(i))
		if err != nil {
			return line, err
		}
	}
	load, endLoad := context.WithCancel(ctx)
	var w sync.WaitGroup
	for i, d := range p.deployments {
		w.Go(func() { p.load(load, d, p.seed+uint64(i)) })
	}
	p.runSteps(ctx)
	endLoad()
	w.Wait()
	return p.result(), ctx.Err()
}

func (p *Demo) close() {
	for _, d := range p.deployments {
		for _, c := range d.callers {
			c.Close()
		}
		d.running.Close()
	}
}

// startDeployment starts a deployment and waits until its balancers know every endpoint.
func (p *Demo) startDeployment(ctx context.Context, deployment deploy.Deployment, seed uint64) (err error) {
	d := &deploymentLoad{}
	d.running, err = deploy.New(deployment, seed, deploy.Faults{
		Loss:      0.002,
		Duplicate: 0.002,
		Reorder:   0.01,
	})
	if err != nil {
		return err
	}
	p.deployments = append(p.deployments, d)
	for range deployment.Balancers {
		_, err = d.running.AddBalancer()
		if err != nil {
			return err
		}
	}
	endpoints := 0
	for _, service := range deployment.Services {
		for n := range service.Endpoints {
			_, err = d.running.AddUpstream(service, fmt.Sprintf("%s-%d", service.Name, n+1))
			if err != nil {
				return err
			}
		}
		endpoints += service.Endpoints
		err = d.addCallers(p.score, service)
		if err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	p.recordStep(fmt.Sprintf("%s: %d balancers and %d upstreams started", deployment.Name, deployment.Balancers, endpoints), nil)
	err = d.running.AwaitView(ctx, endpoints)
	if err != nil {
		return err
	}
	return d.running.Apply(ctx, "")
}

func (d *deploymentLoad) addCallers(sc *score.Score, service deploy.Service) (err error) {
	s := &calls.Service{
		Name:      service.Name,
		Target:    service.Address,
		Ledger:    d.running.Ledger,
		Once:      service.Contract == spec.Once,
		WasKilled: d.running.WasKilled,

		KilledSince: d.running.KilledSince,
		Score:       sc,

		MinFeedDuration: minFeedDuration,
		MaxFeedDuration: maxFeedDuration,
	}
	for range callersPerService {
		address := netip.AddrFrom4([4]byte{10, 1, byte(len(d.services)), byte(len(d.callers) + 1)})
		c, err := caller.New(address, d.running.CallerAddress())
		if err != nil {
			return err
		}
		d.callers = append(d.callers, c)
		s.Callers = append(s.Callers, c)
	}
	d.services = append(d.services, s)
	return nil
}

// load runs the callers and load samplers of a deployment until ctx ends.
func (p *Demo) load(ctx context.Context, d *deploymentLoad, seed uint64) {
	var w sync.WaitGroup
	for i, s := range d.services {
		service := d.running.Deployment.Services[i]
		b := newLoadSampler(service)
		d.samplers = append(d.samplers, b)
		w.Go(func() { s.Requests(ctx, seed+uint64(i), p.scale*service.Rate) })
		w.Go(func() { s.Feeds(ctx, seed+uint64(i), service.Feeds) })
		w.Go(func() { b.watch(ctx, d.running) })
	}
	w.Wait()
}

// recordStep adds a step to the score and reports it.
func (p *Demo) recordStep(what string, err error) {
	s := score.Step{
		Second: time.Since(p.started).Round(100 * time.Millisecond).Seconds(),
		What:   what,
	}
	if err != nil {
		s.Failed = err.Error()
	}
	p.score.AddStep(s)
	p.report(fmt.Sprintf("%5.1f s  %s%s", s.Second, what, errorSuffix(err)))
}

func errorSuffix(err error) string {
	if err == nil {
		return ""
	}
	return ": " + err.Error()
}
