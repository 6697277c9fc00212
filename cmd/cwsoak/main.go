// Command cwsoak runs clementinewing's processes for the platform on loopback, injects
// faults by a plan drawn from a seed, and checks what callers and endpoints observed.
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
		Usage: "run a randomized fault soak of real processes on loopback",
		Description: "Prints each plan before it runs and one JSON line for each seed; exits with 1 if\n" +
			"a guarantee was violated. Logs and settings of a failed seed are kept in its folder.",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of seeds to run"},
			&cli.IntFlag{Name: "parallel", Value: 1, Usage: "number of seeds to run at the same time"},
			&cli.DurationFlag{Name: "span", Value: defaultSpan, Usage: "duration of the run of each seed"},
			&cli.IntFlag{Name: "balancers", Value: 3, Usage: "number of balancers"},
			&cli.IntFlag{Name: "sides", Value: 6, Usage: "number of endpoints and their agents"},
			&cli.BoolFlag{Name: "planned", Usage: "restart and replace processes and endpoints as planned work, without faults"},
			&cli.StringFlag{Name: "binary", Value: "target/cwnode", Usage: "path of the program to run"},
		},
		Action: run,
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
