package main

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/clementinewing/clementinewing/internal/fake/origin"
)

const stopTimeout = 5 * time.Second

func originCommand() *cli.Command {
	return &cli.Command{
		Name:  "origin",
		Usage: "run an upstream: run requests on /run and keep feeds open on /feed",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "listen",
				Usage: "TCP address",
				Value: "127.0.0.1:7100",
			},
			&cli.StringFlag{
				Name:     "service",
				Usage:    "name of the service",
				Required: true,
			},
			&cli.StringFlag{
				Name:     "name",
				Usage:    "name of the upstream",
				Required: true,
			},
			&cli.DurationFlag{
				Name:  "work",
				Usage: "duration of one request",
				Value: 5 * time.Millisecond,
			},
		},
		Action: runOrigin,
	}
}

func runOrigin(ctx context.Context, c *cli.Command) (err error) {
	listen, err := netip.ParseAddrPort(c.String("listen"))
	if err != nil {
		return err
	}
	u, err := origin.New(c.String("service"), c.String("name"), listen, origin.WithWorkDuration(c.Duration("work")))
	if err != nil {
		return err
	}
	fmt.Println("ready")
	<-ctx.Done()
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	return u.Stop(stop)
}
