package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/clementinewing/clementinewing/internal/demo/runner"
)

var errGuarantee = errors.New("a guarantee was violated")

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run two whole deployments in this process on loopback and change them under load",
		Description: "Starts stand-ins for the fabric and the store, balancers, upstreams with agents,\n" +
			"and callers with long-lived feeds and short requests. Under this load it adds, stops\n" +
			"and kills balancers and upstreams and changes files. Takes less than 60 s. Exits with\n" +
			"0 only if no planned change broke a flow, no request ran twice or at the wrong\n" +
			"service, and no rejected request was run.",
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
				Usage: "factor on the request rate; a factor of 1 uses about 60 % of all slots",
				Value: 1,
			},
		},
		Action: demo,
	}
}

func demo(ctx context.Context, c *cli.Command) (err error) {
	p := runner.New(
		runner.WithSeed(c.Uint64("seed")),
		runner.WithScale(c.Float64("scale")),
		runner.WithProgress(func(line string) { fmt.Fprintln(os.Stderr, line) }),
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
		return errGuarantee
	}
	return nil
}
