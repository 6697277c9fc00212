package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/clementinewing/clementinewing/internal/conf/relay"
	"github.com/clementinewing/clementinewing/internal/edge/meter"
	"github.com/clementinewing/clementinewing/internal/relay/agent"
	"github.com/clementinewing/clementinewing/platform"
)

func agentCommand() *cli.Command {
	return &cli.Command{
		Name:  "agent",
		Usage: "deliver packets to the endpoint on this VM or forward them to other agents",
		Description: "SIGTERM: forward new flows to other agents, finish requests in progress, then exit.\n" +
			"SIGHUP: read and check the settings again; they take effect at the next start. A file that\n" +
			"changes without the signal is checked too.",
		Flags: []cli.Flag{
			settingsFlag(),
		},
		Action: runAgent,
	}
}

func runAgent(ctx context.Context, c *cli.Command) error {
	hangups := notifyHangup()
	path := c.String(settingsName)
	s, text, err := readSettings(path, relay.RoleAgent)
	if err != nil {
		return err
	}
	l := newLogs("agent", s)
	defer closeLogs(l)
	var a *agent.Agent
	w := newSettingsWatch(path, text, relay.RoleAgent, l)
	m := meter.New("agent", withWatch(w, func() meter.Sample { return a.Sample() }), func() any { return a.State() }, func() bool { return a.Ready() })
	a, err = agent.New(
		s,
		agent.WithObserver(observer(m, agent.LatencyNames())),
		agent.WithLogs(l),
		agent.WithPlatform(platform.Codec{
			CallerPort: s.Callers.Port(),
		}, platform.NewStore(s.Store), platform.NewReportHandlerFactory(s.Upstream.String())),
	)
	if err != nil {
		return err
	}
	stop, cancel := stopSignal(ctx)
	defer cancel()
	go w.Run(stop, hangups)
	go serveMetrics(stop, m, s.Metrics, l)
	return a.Run(stop)
}
