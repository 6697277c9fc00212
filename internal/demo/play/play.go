// Package play runs the demonstration: it puts both deployments under load while it
// changes their balancers, upstreams and files.
package play

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/clementinewing/clementinewing/internal/demo/calls"
	"github.com/clementinewing/clementinewing/internal/demo/score"
	"github.com/clementinewing/clementinewing/internal/demo/stage"
	"github.com/clementinewing/clementinewing/internal/fake/caller"
	"github.com/clementinewing/clementinewing/internal/world/pact"
)

const (
	callersPerService = 2
	minFeedDuration   = 4 * time.Second
	maxFeedDuration   = 20 * time.Second
	viewTimeout       = 15 * time.Second
	sampleInterval    = 10 * time.Millisecond
	fabricNoticeDelay = 500 * time.Millisecond
)

// Play is one demonstration.
type Play struct {
	seed        uint64
	scale       float64
	report      func(string)
	score       *score.Score
	started     time.Time
	deployments []*liveDeployment
}

// liveDeployment is one running deployment with its callers.
type liveDeployment struct {
	stage    *stage.Stage
	services []*calls.Service
	callers  []*caller.Caller
	samplers []*loadSampler
}

// Option sets one property of a Play.
type Option func(*Play)

// WithSeed seeds the fabric and the callers.
func WithSeed(seed uint64) Option {
	return func(p *Play) {
		p.seed = seed
	}
}

// WithScale multiplies the rate of requests.
func WithScale(scale float64) Option {
	return func(p *Play) {
		p.scale = scale
	}
}

// WithProgress sets a function that is called with a line of text after each step.
func WithProgress(report func(string)) Option {
	return func(p *Play) {
		p.report = report
	}
}

// New returns a demonstration that has not started.
func New(options ...Option) *Play {
	p := &Play{
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
func (p *Play) Run(ctx context.Context) (line score.Line, err error) {
	defer func() { err = eris.Wrap(err, "running the demonstration") }()
	defer p.close()
	p.started = time.Now()
	for i, d := range stage.Deployments() {
		err = p.startDeployment(ctx, d, p.seed+uint64(i))
		if err != nil {
			return line, err
		}
	}
	load, endLoad := context.WithCancel(ctx)
	var w sync.WaitGroup
	for i, h := range p.deployments {
		w.Go(func() { p.load(load, h, p.seed+uint64(i)) })
	}
	p.runSteps(ctx)
	endLoad()
	w.Wait()
	return p.result(), ctx.Err()
}

func (p *Play) close() {
	for _, h := range p.deployments {
		for _, c := range h.callers {
			c.Close()
		}
		h.stage.Close()
	}
}

// startDeployment starts a deployment and waits until its balancers know every endpoint.
func (p *Play) startDeployment(ctx context.Context, d stage.Deployment, seed uint64) (err error) {
	h := &liveDeployment{}
	h.stage, err = stage.New(d, seed, stage.Faults{
		Loss:    0.002,
		Double:  0.002,
		Reorder: 0.01,
	})
	if err != nil {
		return err
	}
	p.deployments = append(p.deployments, h)
	for range d.Balancers {
		_, err = h.stage.AddBalancer()
		if err != nil {
			return err
		}
	}
	endpoints := 0
	for _, service := range d.Services {
		for n := range service.Endpoints {
			_, err = h.stage.AddUpstream(service, fmt.Sprintf("%s-%d", service.Name, n+1))
			if err != nil {
				return err
			}
		}
		endpoints += service.Endpoints
		err = h.addCallers(p.score, service)
		if err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	p.recordStep(fmt.Sprintf("%s: %d balancers and %d upstreams started", d.Name, d.Balancers, endpoints), nil)
	err = h.stage.AwaitView(ctx, endpoints)
	if err != nil {
		return err
	}
	return h.stage.Apply(ctx, "")
}

func (h *liveDeployment) addCallers(sc *score.Score, service stage.Service) (err error) {
	s := &calls.Service{
		Name:   service.Name,
		Target: service.Address,
		Ledger: h.stage.Ledger,
		Once:   service.Contract == pact.Once,
		Died:   h.stage.WasKilled,

		DiedSince: h.stage.KilledSince,
		Score:     sc,

		FeedLeast: minFeedDuration,
		FeedMost:  maxFeedDuration,
	}
	for range callersPerService {
		address := netip.AddrFrom4([4]byte{10, 1, byte(len(h.services)), byte(len(h.callers) + 1)})
		c, err := caller.New(address, h.stage.CallerAddress())
		if err != nil {
			return err
		}
		h.callers = append(h.callers, c)
		s.Callers = append(s.Callers, c)
	}
	h.services = append(h.services, s)
	return nil
}

// load runs the callers and load samplers of a deployment until ctx ends.
func (p *Play) load(ctx context.Context, h *liveDeployment, seed uint64) {
	var w sync.WaitGroup
	for i, s := range h.services {
		service := h.stage.Deployment.Services[i]
		b := newLoadSampler(service)
		h.samplers = append(h.samplers, b)
		w.Go(func() { s.Requests(ctx, seed+uint64(i), p.scale*service.Rate) })
		w.Go(func() { s.Feeds(ctx, seed+uint64(i), service.Feeds) })
		w.Go(func() { b.watch(ctx, h.stage) })
	}
	w.Wait()
}

// recordStep adds a step to the score and reports it.
func (p *Play) recordStep(what string, err error) {
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
