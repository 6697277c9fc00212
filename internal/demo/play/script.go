package play

import (
	"context"
	"fmt"
	"time"
)

const stepInterval = 1500 * time.Millisecond

// scriptStep changes one deployment and returns what it did.
type scriptStep func(ctx context.Context, h *liveDeployment) (what string, err error)

// runSteps runs each step on every deployment, with a pause after each step.
func (p *Play) runSteps(ctx context.Context) {
	steps := []scriptStep{
		p.addBalancer,
		p.stopBalancer,
		p.drainUpstream,
		p.killBalancer,
		p.addUpstream,
		p.killUpstream,
		p.applyFile,
		p.applyConflictingFiles,
		p.storeDown,
		p.addBalancer,
		p.awaitNewest,
		p.storeUp,
	}
	sleep(ctx, 2*stepInterval)
	for _, run := range steps {
		for _, h := range p.deployments {
			what, err := run(ctx, h)
			p.recordStep(h.stage.Deployment.Name+": "+what, err)
		}
		sleep(ctx, stepInterval)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (p *Play) addBalancer(_ context.Context, h *liveDeployment) (what string, err error) {
	b, err := h.stage.AddBalancer()
	if err != nil {
		return "adding a balancer", err
	}
	return b.Name + " added", nil
}

func (p *Play) stopBalancer(_ context.Context, h *liveDeployment) (what string, err error) {
	b, err := h.stage.OldestBalancer()
	if err != nil {
		return "stopping a balancer", err
	}
	h.stage.StopBalancer(b)
	return b.Name + " stopped", nil
}

func (p *Play) killBalancer(ctx context.Context, h *liveDeployment) (what string, err error) {
	b, err := h.stage.OldestBalancer()
	if err != nil {
		return "killing a balancer", err
	}
	h.stage.KillBalancer(b)
	sleep(ctx, fabricNoticeDelay)
	h.stage.RemoveFromFabric(b)
	return b.Name + " killed", nil
}

func (p *Play) drainUpstream(_ context.Context, h *liveDeployment) (what string, err error) {
	u, err := h.stage.Upstream(upstreamName(h, 0, 1))
	if err != nil {
		return "draining an upstream", err
	}
	h.stage.DrainUpstream(u)
	return u.Name + " drains", nil
}

func (p *Play) addUpstream(_ context.Context, h *liveDeployment) (what string, err error) {
	service := h.stage.Deployment.Services[0]
	u, err := h.stage.AddUpstream(service, upstreamName(h, 0, service.Endpoints+1))
	if err != nil {
		return "adding an upstream", err
	}
	return u.Name + " added", nil
}

func (p *Play) killUpstream(_ context.Context, h *liveDeployment) (what string, err error) {
	u, err := h.stage.Upstream(upstreamName(h, 0, 2))
	if err != nil {
		return "killing an upstream", err
	}
	h.stage.KillUpstream(u)
	return u.Name + " killed", nil
}

func (p *Play) applyFile(ctx context.Context, h *liveDeployment) (what string, err error) {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	return "file applied and in force everywhere", h.stage.Apply(ctx, upstreamName(h, 0, 3))
}

func (p *Play) applyConflictingFiles(ctx context.Context, h *liveDeployment) (what string, err error) {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	return "two files collided and the chair's is in force everywhere", h.stage.ApplyConflicting(ctx, upstreamName(h, 0, 4), upstreamName(h, 0, 5))
}

func (p *Play) storeDown(_ context.Context, h *liveDeployment) (what string, err error) {
	h.stage.SetStoreDown(true)
	return "store down", nil
}

func (p *Play) storeUp(_ context.Context, h *liveDeployment) (what string, err error) {
	h.stage.SetStoreDown(false)
	return "store back", nil
}

func (p *Play) awaitNewest(ctx context.Context, h *liveDeployment) (what string, err error) {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	return "the balancer that joined without a store has the newest file", h.stage.AwaitNewestFile(ctx)
}

func upstreamName(h *liveDeployment, service, number int) string {
	return fmt.Sprintf("%s-%d", h.stage.Deployment.Services[service].Name, number)
}
