// Command cwfake runs small stand-ins for the system's environment: the fabric, the
// store, upstreams and callers. It is used in tests and in trials on one machine.
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
		Usage: "run stand-ins for the fabric, the store, upstreams and callers on loopback",
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
