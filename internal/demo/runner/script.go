package runner

import (
	"context"
	"fmt"
	"time"
)

const stepInterval = 1500 * time.Millisecond

// scriptStep changes one deployment and returns what it did.
type scriptStep func(ctx context.Context, d *deploymentLoad) (what string, err error)

// runSteps runs each step on every deployment, with a pause after each step.
func (p *Demo) runSteps(ctx context.Context) {
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
		for _, d := range p.deployments {
			what, err := run(ctx, d)
			p.recordStep(d.running.Deployment.Name+": "+what, err)
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

func (p *Demo) addBalancer(_ context.Context, d *deploymentLoad) (what string, err error) {
	b, err := d.running.AddBalancer()
	if err != nil {
		return "adding a balancer", err
	}
	return b.Name + " added", nil
}

func (p *Demo) stopBalancer(_ context.Context, d *deploymentLoad) (what string, err error) {
	b, err := d.running.OldestBalancer()
	if err != nil {
		return "stopping a balancer", err
	}
	d.running.StopBalancer(b)
	return b.Name + " stopped", nil
}

func (p *Demo) killBalancer(ctx context.Context, d *deploymentLoad) (what string, err error) {
	b, err := d.running.OldestBalancer()
	if err != nil {
		return "killing a balancer", err
	}
	d.running.KillBalancer(b)
	sleep(ctx, fabricNoticeDelay)
	d.running.RemoveFromFabric(b)
	return b.Name + " killed", nil
}

func (p *Demo) drainUpstream(_ context.Context, d *deploymentLoad) (what string, err error) {
	u, err := d.running.Upstream(upstreamName(d, 0, 1))
	if err != nil {
		return "draining an upstream", err
	}
	d.running.DrainUpstream(u)
	return u.Name + " drains", nil
}

func (p *Demo) addUpstream(_ context.Context, d *deploymentLoad) (what string, err error) {
	service := d.running.Deployment.Services[0]
	u, err := d.running.AddUpstream(service, upstreamName(d, 0, service.Endpoints+1))
	if err != nil {
		return "adding an upstream", err
	}
	return u.Name + " added", nil
}

func (p *Demo) killUpstream(_ context.Context, d *deploymentLoad) (what string, err error) {
	u, err := d.running.Upstream(upstreamName(d, 0, 2))
	if err != nil {
		return "killing an upstream", err
	}
	d.running.KillUpstream(u)
	return u.Name + " killed", nil
}

func (p *Demo) applyFile(ctx context.Context, d *deploymentLoad) (what string, err error) {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	return "file applied and in force everywhere", d.running.Apply(ctx, upstreamName(d, 0, 3))
}

func (p *Demo) applyConflictingFiles(ctx context.Context, d *deploymentLoad) (what string, err error) {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	return "two files collided and the chair's is in force everywhere", d.running.ApplyConflicting(ctx, upstreamName(d, 0, 4), upstreamName(d, 0, 5))
}

func (p *Demo) storeDown(_ context.Context, d *deploymentLoad) (what string, err error) {
	d.running.SetStoreDown(true)
	return "store down", nil
}

func (p *Demo) storeUp(_ context.Context, d *deploymentLoad) (what string, err error) {
	d.running.SetStoreDown(false)
	return "store back", nil
}

func (p *Demo) awaitNewest(ctx context.Context, d *deploymentLoad) (what string, err error) {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	return "the balancer that joined without a store has the newest file", d.running.AwaitNewestFile(ctx)
}

func upstreamName(d *deploymentLoad, service, number int) string {
	return fmt.Sprintf("%s-%d", d.running.Deployment.Services[service].Name, number)
}
