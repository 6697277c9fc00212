package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/clementinewing/clementinewing/internal/conf/roles"
	"github.com/clementinewing/clementinewing/internal/edge/meter"
	"github.com/clementinewing/clementinewing/internal/role/side"
)

func agentCommand() *cli.Command {
	return &cli.Command{
		Name:  "agent",
		Usage: "run the agent beside one upstream",
		Description: "Owns the flows of the upstream on this VM and announces it to the balancers.\n" +
			"SIGTERM drains: no new flows, open ones continue for up to drain_seconds. A\n" +
			"second SIGTERM aborts them. SIGHUP reloads the keys.",
		Flags: []cli.Flag{
			settingsFlag(),
		},
		Action: runAgent,
	}
}

func runAgent(ctx context.Context, c *cli.Command) (err error) {
	path, err := settingsPath(c)
	if err != nil {
		return err
	}
	settings, err := roles.ReadAgent(path)
	if err != nil {
		return err
	}
	server, client, err := loadTLS(settings.TLS)
	if err != nil {
		return err
	}
	logger := newLogger(settings.Common, "agent")
	platform, closeStore, err := dialSettingsStore(settings.Common, client)
	if err != nil {
		return err
	}
	defer closeStore()
	s, err := side.New(
		settings,
		side.WithLogger(logger),
		side.WithCredentials(server, client),
		side.WithStore(platform),
	)
	if err != nil {
		return err
	}
	m := meter.New("agent", s.Sample, func() any { return s.State() }, s.Ready)
	stop := startBackground(logger, settings.Status, m, func() {
		next, err := roles.ReadAgent(path)
		if err != nil {
			logger.Error().Err(err).Msg("settings not reloaded, keeping the old ones")
			return
		}
		s.SetKeys(next.Keys)
		logger.Info().Msg("keys reloaded")
	})
	defer stop()
	drain, kill, end := shutdownContexts(ctx)
	defer end()
	s.Run(drain, kill)
	return nil
}
