package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/clementinewing/clementinewing/internal/conf/roles"
	"github.com/clementinewing/clementinewing/internal/edge/meter"
	"github.com/clementinewing/clementinewing/internal/role/front"
)

func balancerCommand() *cli.Command {
	return &cli.Command{
		Name:  "balancer",
		Usage: "run a balancer on an entry VM",
		Description: "Receives callers' packets from the fabric and forwards each to the agent that\n" +
			"owns its flow. SIGTERM stops at once: a balancer has no flows to hand over.\n" +
			"SIGHUP reloads the keys.",
		Flags: []cli.Flag{
			settingsFlag(),
		},
		Action: runBalancer,
	}
}

func runBalancer(ctx context.Context, c *cli.Command) (err error) {
	path, err := settingsPath(c)
	if err != nil {
		return err
	}
	settings, err := roles.ReadBalancer(path)
	if err != nil {
		return err
	}
	server, client, err := loadTLS(settings.TLS)
	if err != nil {
		return err
	}
	logger := newLogger(settings.Common, "balancer")
	s, closeStore, err := dialSettingsStore(settings.Common, client)
	if err != nil {
		return err
	}
	defer closeStore()
	f, err := front.New(
		settings,
		front.WithLogger(logger),
		front.WithCredentials(server, client),
		front.WithStore(s),
	)
	if err != nil {
		return err
	}
	m := meter.New("balancer", f.Sample, func() any { return f.State() }, f.Ready)
	stop := startBackground(logger, settings.Status, m, func() {
		next, err := roles.ReadBalancer(path)
		if err != nil {
			logger.Error().Err(err).Msg("settings not reloaded, keeping the old ones")
			return
		}
		f.SetKeys(next.Keys)
		logger.Info().Msg("keys reloaded")
	})
	defer stop()
	drain, kill, end := shutdownContexts(ctx)
	defer end()
	return f.Run(drain, kill)
}
