package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/clementinewing/clementinewing/internal/conf/relay"
)

const roleName = "role"

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "read a settings file and name every fault",
		Flags: []cli.Flag{
			settingsFlag(),
			&cli.StringFlag{
				Name:  roleName,
				Value: "balancer",
				Usage: "balancer or agent",
			},
		},
		Action: runCheck,
	}
}

func runCheck(_ context.Context, c *cli.Command) (err error) {
	read := relay.ReadBalancer
	switch c.String(roleName) {
	case "balancer":
	case "agent":
		read = relay.ReadAgent
	default:
		return fmt.Errorf("no role %q; allowed: balancer, agent", c.String(roleName))
	}
	s, err := read(c.String(settingsName))
	if err != nil {
		return err
	}
	fmt.Printf("settings of %s in %s are valid\n", s.Name, s.Zone)
	return nil
}
