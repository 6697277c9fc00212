package main

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/urfave/cli/v3"

	"github.com/clementinewing/clementinewing/internal/fake/fabric"
)

func fabricCommand() *cli.Command {
	return &cli.Command{
		Name:  "fabric",
		Usage: "spread callers' packets over the balancers; answers are received on the next port",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "listen",
				Usage: "UDP address for callers",
				Value: "127.0.0.1:7000",
			},
			&cli.StringSliceFlag{
				Name:  "balancer",
				Usage: "fabric address of a balancer; may be given more than once",
			},
			&cli.Float64Flag{
				Name:  "loss",
				Usage: "probability from 0 to 1 that a packet is lost",
			},
			&cli.Float64Flag{
				Name:  "double",
				Usage: "probability from 0 to 1 that a packet is duplicated",
			},
			&cli.Float64Flag{
				Name:  "reorder",
				Usage: "probability from 0 to 1 that a packet is delayed",
			},
			&cli.Uint64Flag{
				Name:  "seed",
				Usage: "seed of the random choices",
				Value: 1,
			},
		},
		Action: runFabric,
	}
}

func runFabric(ctx context.Context, c *cli.Command) (err error) {
	listen, err := netip.ParseAddrPort(c.String("listen"))
	if err != nil {
		return err
	}
	balancers, err := parseAddresses(c.StringSlice("balancer"))
	if err != nil {
		return err
	}
	f, err := fabric.New(
		c.Uint64("seed"),
		fabric.WithListen(listen),
		fabric.WithFaults(c.Float64("loss"), c.Float64("double"), c.Float64("reorder")),
	)
	if err != nil {
		return err
	}
	f.SetBalancers(balancers...)
	fmt.Println("ready")
	f.Run(ctx)
	return nil
}

func parseAddresses(texts []string) (out []netip.AddrPort, err error) {
	for _, t := range texts {
		a, err := netip.ParseAddrPort(t)
		if err != nil {
			return nil, err
		}
		out = append(out, a)
	}
	return out, nil
}
