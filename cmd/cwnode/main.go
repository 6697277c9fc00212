// Command cwnode runs clementinewing's balancer and agent on a platform whose upstreams
// terminate the flows themselves. It leaves out the code that only other platforms need.
package main

/*
#include <unistd.h>
*/
import "C"

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

// gcPercent is the heap growth, in percent, that triggers a garbage collection. It is below
// the default of 100 because live memory is only a few megabytes and memory peaks cost more
// than the additional CPU time.
const gcPercent = 50

func main() {
	debug.SetGCPercent(gcPercent)
	app := &cli.Command{
		Name:     "cwnode",
		Usage:    "run a clementinewing balancer or agent for upstreams that terminate their own flows",
		Commands: commands(),
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
