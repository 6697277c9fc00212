package main

import (
	"context"
	"fmt"
	"net"

	"github.com/urfave/cli/v3"

	"github.com/clementinewing/clementinewing/internal/fake/store"
)

func storeCommand() *cli.Command {
	return &cli.Command{
		Name:  "store",
		Usage: "run the platform's key-value service, in memory and without TLS",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "listen",
				Usage: "TCP address",
				Value: "127.0.0.1:7300",
			},
		},
		Action: runStore,
	}
}

func runStore(ctx context.Context, c *cli.Command) (err error) {
	listener, err := net.Listen("tcp4", c.String("listen"))
	if err != nil {
		return err
	}
	fmt.Println("ready")
	return store.Serve(ctx, listener, store.New())
}
