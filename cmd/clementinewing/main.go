// Command clementinewing is a layer-4 load balancer for small operations teams.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	app := &cli.Command{
		Name:     "clementinewing",
		Usage:    "layer-4 load balancer for small operations teams",
		Commands: allCommands(),
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
