// Command cwsoak runs clementinewing's processes for the platform on loopback, harms
// them by a plan drawn from a seed, and judges what callers and endpoints saw.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	app := &cli.Command{
		Name:  "cwsoak",
		Usage: "a randomized fault soak of real processes on loopback",
		Description: "Prints each plan before it is played and one JSON line for each seed; exits with\n" +
			"1 if a promise was broken. Logs and settings stay in the folder of a seed that failed.",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "how many seeds, one after the other"},
			&cli.IntFlag{Name: "parallel", Value: 1, Usage: "how many at the same time"},
			&cli.DurationFlag{Name: "span", Value: defaultSpan, Usage: "how long a seed is played"},
			&cli.IntFlag{Name: "balancers", Value: 3, Usage: "balancers of a deployment"},
			&cli.IntFlag{Name: "sides", Value: 6, Usage: "endpoints and side processes of a deployment"},
			&cli.StringFlag{Name: "binary", Value: "target/cwnode", Usage: "program to run"},
		},
		Action: run,
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
