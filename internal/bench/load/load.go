package load

import (
	"fmt"
	"sync"

	"github.com/clementinewing/clementinewing/internal/bench/report"
	"github.com/clementinewing/clementinewing/internal/flow/admit"
)

// Bounds of the goals.
const (
	// slotsBound is the most that an upstream's mean work in hand may be over
	// the fleet's.
	slotsBound = 1.10
	// waitBound is the most that the mean wait may be over the central queue's.
	waitBound = 1.05
	// goalLoad is the load of the goal on slots.
	goalLoad = 0.7
	// defaultWay is the policy of a service that sets none.
	defaultWay = "few"
	// limitWay is the central queue.
	limitWay = "central"
)

// workers is the number of trials that run at once.
const workers = 3

// way is one manner of placing openings.
type way struct {
	name  string
	place func(*world) placer
	// shipped ways have bounds.
	shipped bool
}

func ways() []way {
	return []way{
		{
			name:    defaultWay,
			place:   withPolicy(admit.ForwardWhenFull()),
			shipped: true,
		},
		{
			name:    "even",
			place:   withPolicy(admit.ForwardEarly()),
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

// scene is one load and fault of one service.
type scene struct {
	shape Shape
	load  float64
	fault Fault
}

func (s scene) name() string {
	return fmt.Sprintf("%s/%.0f/%s", s.shape.Name, 100*s.load, s.fault)
}

func scenes() []scene {
	var out []scene
	for _, s := range Shapes() {
		for _, l := range []float64{0.5, goalLoad, 0.9} {
			out = append(out, scene{
				shape: s,
				load:  l,
			})
		}
		for f := Cold; f <= Sheds; f++ {
			out = append(out, scene{
				shape: s,
				load:  goalLoad,
				fault: f,
			})
		}
	}
	return out
}

// Run measures every scene and way of placing over the given number of seeds.
func Run(seeds int) (report.Result, error) {
	r := report.Result{
		Experiment: "balance",
		Seeds:      seeds,
	}
	for _, s := range scenes() {
		limit := s.play(centralQueue, seeds)
		r.Rows = append(r.Rows, s.rows(way{
			name: limitWay,
		}, limit, limit)...)
		for _, w := range ways() {
			r.Rows = append(r.Rows, s.rows(w, s.play(w.place, seeds), limit)...)
		}
	}
	return r, nil
}

// play runs the scene once a seed, a few at a time.
func (s scene) play(place func(*world) placer, seeds int) []figures {
	out := make([]figures, seeds)
	var group sync.WaitGroup
	next := make(chan int)
	for range workers {
		group.Go(func() {
			for i := range next {
				out[i] = run(Trial{
					Shape: s.shape,
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
