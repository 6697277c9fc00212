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
		Usage: "check a settings file and report every error",
		Flags: []cli.Flag{
			settingsFlag(),
			&cli.StringFlag{
				Name:  roleName,
				Value: relay.RoleBalancer,
				Usage: "role of the settings: balancer or agent",
			},
		},
		Action: runCheck,
	}
}

func runCheck(_ context.Context, c *cli.Command) (err error) {
	role := c.String(roleName)
	if role != relay.RoleBalancer && role != relay.RoleAgent {
		return fmt.Errorf("unknown role %q; allowed: balancer, agent", role)
	}
	s, _, err := readSettings(c.String(settingsName), role)
	if err != nil {
		return err
	}
	fmt.Printf("settings of %s in %s are valid\n", s.Name, s.Zone)
	return nil
}
