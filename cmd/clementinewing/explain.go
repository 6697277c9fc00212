package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/clementinewing/clementinewing/internal/relay/trace"
)

var errExplainUsage = errors.New("expected a request id or a flow, then log files")

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print the log lines of one request or flow from several processes",
		ArgsUsage: "ID|FLOW FILE...",
		Description: "A flow is written as in the logs, CALLER>TARGET. Lines are sorted by their\n" +
			"timestamps, which come from each process's own clock.",
		Action: runExplain,
	}
}

func runExplain(_ context.Context, c *cli.Command) error {
	args := c.Args().Slice()
	if len(args) < 2 {
		return errExplainUsage
	}
	var lines []*trace.Line
	for _, path := range args[1:] {
		more, err := readLog(path)
		if err != nil {
			return err
		}
		lines = append(lines, more...)
	}
	matching, err := trace.Extract(lines, args[0])
	if err != nil {
		return err
	}
	for _, l := range matching {
		fmt.Println(l)
	}
	return nil
}

func readLog(path string) (lines []*trace.Line, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return trace.Read(f)
}
