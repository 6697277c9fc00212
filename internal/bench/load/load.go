package load

import (
	"fmt"
	"sync"

	"github.com/clementinewing/clementinewing/internal/bench/report"
	"github.com/clementinewing/clementinewing/internal/flow/admit"
)

// Bounds of the figures.
const (
	// slotsBound bounds the ratio of an upstream's mean active work to the mean
	// of the fleet.
	slotsBound = 1.10
	// waitBound bounds the ratio of the mean wait to that of the central queue.
	waitBound = 1.05
	// goalLoad is the load at which slotsBound applies.
	goalLoad = 0.7
	// defaultPolicy is the policy of a service that sets none.
	defaultPolicy = "few"
	// centralPolicy is the central queue.
	centralPolicy = "central"
)

// workers is the number of trials that run at once.
const workers = 3

// policy is a policy for placing openings.
type policy struct {
	name  string
	place func(*simulation) placer
	// shipped tells that the policy is part of the product; only its figures have
	// bounds.
	shipped bool
}

func policies() []policy {
	return []policy{
		{
			name:    defaultPolicy,
			place:   withAdmission(admit.ForwardWhenFull()),
			shipped: true,
		},
		{
			name:    "even",
			place:   withAdmission(admit.ForwardEarly()),
			shipped: true,
		},
		{
			name:  "hash",
			place: hashed,
		},
		{
			name:  "two_choices",
			place: twoChoices,
		},
		{
			name:  "least_connections",
			place: leastConnections,
		},
	}
}

// scenario is one service with a load and a fault.
type scenario struct {
	size  ServiceSize
	load  float64
	fault Fault
}

func (s scenario) name() string {
	return fmt.Sprintf("%s/%.0f/%s", s.size.Name, 100*s.load, s.fault)
}

func scenarios() []scenario {
	var out []scenario
	for _, s := range ServiceSizes() {
		for _, l := range []float64{0.5, goalLoad, 0.9} {
			out = append(out, scenario{
				size: s,
				load: l,
			})
		}
		for f := Cold; f <= Sheds; f++ {
			out = append(out, scenario{
				size:  s,
				load:  goalLoad,
				fault: f,
			})
		}
	}
	return out
}

// Run measures every scenario and policy over the given number of seeds.
func Run(seeds int) (report.Result, error) {
	r := report.Result{
		Experiment: "balance",
		Seeds:      seeds,
	}
	for _, s := range scenarios() {
		limit := s.runSeeds(centralQueue, seeds)
		r.Rows = append(r.Rows, s.rows(policy{
			name: centralPolicy,
		}, limit, limit)...)
		for _, w := range policies() {
			r.Rows = append(r.Rows, s.rows(w, s.runSeeds(w.place, seeds), limit)...)
		}
	}
	r.Rows = append(r.Rows, relayRows(seeds)...)
	return r, nil
}

// runSeeds runs the scenario once for each seed, a few at a time.
func (s scenario) runSeeds(place func(*simulation) placer, seeds int) []figures {
	out := make([]figures, seeds)
	var group sync.WaitGroup
	next := make(chan int)
	for range workers {
		group.Go(func() {
			for i := range next {
				out[i] = runTrial(Trial{
					Size:  s.size,
					Load:  s.load,
					Fault: s.fault,
					Seed:  uint64(i + 1),
					Place: place,
				})
			}
		})
	}
	for i := range seeds {
		next <- i
	}
	close(next)
	group.Wait()
	return out
}
