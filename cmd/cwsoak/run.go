package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/clementinewing/clementinewing/internal/soak/fleet"
	"github.com/clementinewing/clementinewing/internal/soak/plan"
)

const (
	defaultSpan = 25 * time.Second
	// Seeds use the loopback networks from firstNet on, netCount of them.
	firstNet = 100
	netCount = 100
)

var errViolations = errors.New("guarantees were violated")

// result is the JSON line of a seed.
type result struct {
	Seed     uint64         `json:"seed"`
	Faults   map[string]int `json:"faults"`
	Requests int            `json:"requests"`
	Served   int            `json:"served"`
	Resets   int            `json:"resets"`
	Refused  int            `json:"refused"`
	Broken   []string       `json:"broken"`
	Folder   string         `json:"folder,omitempty"`
}

func run(ctx context.Context, c *cli.Command) error {
	var (
		w      sync.WaitGroup
		mutex  sync.Mutex
		failed bool
	)
	running := make(chan struct{}, max(1, c.Int("parallel")))
	for i := range c.Int("seeds") {
		if ctx.Err() != nil {
			break
		}
		running <- struct{}{}
		seed := c.Uint64("seed") + uint64(i)
		w.Go(func() {
			defer func() { <-running }()
			r, err := runSeed(ctx, c, seed)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				r.Broken = append(r.Broken, err.Error())
			}
			failed = failed || len(r.Broken) > 0
			text, err := json.Marshal(r)
			if err != nil {
				text = []byte(err.Error())
			}
			fmt.Println(string(text))
		})
	}
	w.Wait()
	if failed {
		return errViolations
	}
	return nil
}

// runSeed runs the plan of one seed.
func runSeed(ctx context.Context, c *cli.Command, seed uint64) (r result, err error) {
	span := c.Duration("span")
	sizes := fleet.Sizes{
		Balancers: c.Int("balancers"),
		Agents:    c.Int("sides"),
	}
	events := plan.Draw(seed, span, sizes.Balancers, sizes.Agents)
	if c.Bool("planned") {
		events = plan.DrawPlanned(seed, span, sizes.Agents)
	}
	r = result{
		Seed:   seed,
		Faults: map[string]int{},
		Broken: []string{},
	}
	for _, e := range events {
		r.Faults[e.Kind.String()]++
		fmt.Fprintf(os.Stderr, "seed %d: %s\n", seed, e)
	}
	folder, err := os.MkdirTemp("", fmt.Sprintf("cwsoak-%d-", seed))
	if err != nil {
		return r, err
	}
	f, err := fleet.New(c.String("binary"), folder, byte(firstNet+seed%netCount), sizes, config(1, false))
	if err != nil {
		return r, err
	}
	t := newTraffic(f, seed)
	injectEvents(ctx, f, t, events, span)
	t.finish(&r)
	err = f.Close()
	r.Broken = append(r.Broken, f.Account.Violations()...)
	if len(r.Broken) == 0 {
		return r, errors.Join(err, os.RemoveAll(folder))
	}
	r.Folder = folder
	return r, err
}

// injectEvents carries out the events at their times and waits for the end of the
// span.
func injectEvents(ctx context.Context, f *fleet.Fleet, t *traffic, events []plan.Event, span time.Duration) {
	start := time.Now()
	var w sync.WaitGroup
	for _, e := range events {
		if !sleep(ctx, time.Until(start.Add(e.Offset))) {
			break
		}
		w.Go(func() {
			switch e.Kind {
			case plan.AddRoute, plan.DropRoute:
				t.putPlan(e.Kind == plan.AddRoute)
			default:
				if err := f.Inject(e); err != nil {
					f.Account.RecordViolation("%s: %v", e, err)
				}
			}
		})
	}
	w.Wait()
	t.endFaults()
	sleep(ctx, time.Until(start.Add(span)))
}

// sleep waits for d and reports whether it passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
