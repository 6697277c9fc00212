// Command cwnode runs clementinewing's processes on a platform whose upstreams end
// the flows themselves: the balancer and the agent, without what other platforms
// need.
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

// collectAt is the share of new heap, in percent, at which garbage is collected:
// live memory is a few megabytes, and peaks cost more than the processor time.
const collectAt = 50

func main() {
	debug.SetGCPercent(collectAt)
	app := &cli.Command{
		Name:     "cwnode",
		Usage:    "run a process of clementinewing beside upstreams that end their own flows",
		Commands: commands(),
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
