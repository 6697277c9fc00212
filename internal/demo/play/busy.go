package play

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/demo/score"
	"github.com/clementinewing/clementinewing/internal/demo/stage"
)

// busyTime sums up the work in hand at the endpoints of one service.
type loadSampler struct {
	spec    stage.Service
	samples int
	sums    map[string]float64
	// seen is how many samples each endpoint was there for.
	seen map[string]int
}

func newLoadSampler(spec stage.Service) *loadSampler {
	return &loadSampler{
		spec: spec,
		sums: map[string]float64{},
		seen: map[string]int{},
	}
}

// watch samples until ctx ends. Endpoints that leave do not count from then on.
func (b *loadSampler) watch(ctx context.Context, s *stage.Stage) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		b.samples++
		for _, u := range s.Serving(b.spec.Name) {
			b.sums[u.Name] += float64(u.Origin.Busy.Load())
			b.seen[u.Name]++
		}
	}
}

// share gives the largest mean of work in hand over the mean of all endpoints
// that were there for most of the time.
func (b *loadSampler) share() score.ServiceShare {
	out := score.ServiceShare{
		Service: b.spec.Name,
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

// line gives the result with what the deployments have counted.
func (p *Play) result() score.Line {
	l := p.score.Line()
	counts := map[string]uint64{}
	for _, h := range p.deployments {
		for _, b := range h.busy {
			l.Services = append(l.Services, b.share())
		}
		for _, r := range h.stage.Reasons() {
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
