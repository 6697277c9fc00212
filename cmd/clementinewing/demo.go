package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/clementinewing/clementinewing/internal/demo/play"
)

var errPromise = errors.New("a promise was not kept")

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run two whole deployments in this process on loopback and change them under load",
		Description: "Starts fabric and store stand-ins, balancers, upstreams with side processes, and\n" +
			"callers with long feeds and short requests. Meanwhile it adds, stops and kills\n" +
			"balancers and upstreams and changes files. Takes less than 60 s. Exit code 0 only\n" +
			"if no planned change broke a flow, nothing ran twice or at the wrong service, and\n" +
			"nothing that was refused was run.",
		Flags: []cli.Flag{
			&cli.BoolFlag{
				Name:  "json",
				Usage: "print the result as one JSON line, last, on standard output",
			},
			&cli.Uint64Flag{
				Name:  "seed",
				Usage: "seed of the fabric and the callers",
				Value: 1,
			},
			&cli.Float64Flag{
				Name:  "scale",
				Usage: "factor on the rate of requests, which is about 60 % of all slots at 1",
				Value: 1,
			},
		},
		Action: demo,
	}
}

func demo(ctx context.Context, c *cli.Command) (err error) {
	p := play.New(
		play.WithSeed(c.Uint64("seed")),
		play.WithScale(c.Float64("scale")),
		play.WithProgress(func(line string) { fmt.Fprintln(os.Stderr, line) }),
	)
	line, err := p.Run(ctx)
	if err != nil {
		return err
	}
	err = line.Print(os.Stderr)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		err = json.NewEncoder(os.Stdout).Encode(line)
	}
	if err != nil {
		return err
	}
	if !line.Kept {
		return errPromise
	}
	return nil
}
