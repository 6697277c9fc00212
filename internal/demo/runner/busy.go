package runner

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/demo/deploy"
	"github.com/clementinewing/clementinewing/internal/demo/score"
)

// loadSampler samples the active requests at the endpoints of one service.
type loadSampler struct {
	service deploy.Service
	samples int
	sums    map[string]float64
	// seen counts the samples at which each endpoint was serving.
	seen map[string]int
}

func newLoadSampler(service deploy.Service) *loadSampler {
	return &loadSampler{
		service: service,
		sums:    map[string]float64{},
		seen:    map[string]int{},
	}
}

// watch samples until ctx ends. An endpoint is not sampled once it drains or is killed.
func (b *loadSampler) watch(ctx context.Context, s *deploy.RunningDeployment) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		b.samples++
		for _, u := range s.Serving(b.service.Name) {
			b.sums[u.Name] += float64(u.Origin.ActiveRequests.Load())
			b.seen[u.Name]++
		}
	}
}

// share returns the ratio of the largest mean load of an endpoint to the mean over all
// endpoints. Endpoints that were serving in less than half of the samples are left out.
func (b *loadSampler) share() score.ServiceShare {
	out := score.ServiceShare{
		Service: b.service.Name,
	}
	var means []float64
	for _, name := range slices.Sorted(maps.Keys(b.sums)) {
		if 2*b.seen[name] < b.samples {
			continue
		}
		means = append(means, b.sums[name]/float64(b.seen[name]))
	}
	if len(means) == 0 {
		return out
	}
	for _, m := range means {
		out.MeanBusy += m / float64(len(means))
	}
	if out.MeanBusy > 0 {
		out.Imbalance = slices.Max(means) / out.MeanBusy
	}
	return out
}

// result returns the score with the load and the reason counts of all deployments.
func (p *Demo) result() score.Line {
	l := p.score.Line()
	counts := map[string]uint64{}
	for _, d := range p.deployments {
		for _, b := range d.samplers {
			l.Services = append(l.Services, b.share())
		}
		for _, r := range d.running.Reasons() {
			counts[r.Name] += r.Count
		}
	}
	for _, s := range l.Services {
		l.Imbalance = max(l.Imbalance, s.Imbalance)
	}
	for name, count := range counts {
		if count > 0 {
			l.Reasons = append(l.Reasons, score.ReasonCount{
				Reason: name,
				Count:  count,
			})
		}
	}
	slices.SortFunc(l.Reasons, func(a, b score.ReasonCount) int {
		return cmp.Compare(a.Reason, b.Reason)
	})
	return l
}
