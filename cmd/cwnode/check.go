package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/clementinewing/clementinewing/internal/conf/relay"
	"github.com/clementinewing/clementinewing/platform"
)

const roleName = "role"

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "check a settings file and report every error",
		Flags: []cli.Flag{
			settingsFlag(),
			&cli.StringFlag{
				Name:  roleName,
				Value: "balancer",
				Usage: "role of the settings: balancer or agent",
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
		return fmt.Errorf("unknown role %q; allowed: balancer, agent", c.String(roleName))
	}
	s, err := read(c.String(settingsName), relay.WithFeatureNames(platform.FeatureNames()))
	if err != nil {
		return err
	}
	fmt.Printf("settings of %s in %s are valid\n", s.Name, s.Zone)
	return nil
}
