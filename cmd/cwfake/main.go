// Command cwfake runs small stand-ins for what surrounds the system: the fabric,
// the store, upstreams and callers. It serves trials on one machine and tests.
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
		Name:  "cwfake",
		Usage: "stand-ins for the fabric, the store, upstreams and callers, on loopback",
		Commands: []*cli.Command{
			fabricCommand(),
			storeCommand(),
			originCommand(),
			callerCommand(),
		},
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
