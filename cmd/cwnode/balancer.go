package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/clementinewing/clementinewing/internal/conf/relay"
	"github.com/clementinewing/clementinewing/internal/edge/meter"
	"github.com/clementinewing/clementinewing/internal/relay/entry"
	"github.com/clementinewing/clementinewing/platform"
)

func balancerCommand() *cli.Command {
	return &cli.Command{
		Name:  "balancer",
		Usage: "forward packets of callers to agents",
		Description: "SIGTERM: report not ready, forward packets until no more arrive, then exit.\n" +
			"SIGHUP: read and check the settings again; they take effect at the next start. A file that\n" +
			"changes without the signal is checked too.",
		Flags: []cli.Flag{
			settingsFlag(),
		},
		Action: runBalancer,
	}
}

func runBalancer(ctx context.Context, c *cli.Command) error {
	hangups := notifyHangup()
	path := c.String(settingsName)
	s, text, err := readSettings(path, relay.RoleBalancer)
	if err != nil {
		return err
	}
	l := newLogs("balancer", s)
	defer closeLogs(l)
	var b *entry.Balancer
	w := newSettingsWatch(path, text, relay.RoleBalancer, l)
	m := meter.New("balancer", withWatch(w, func() meter.Sample { return b.Sample() }), func() any { return b.State() }, func() bool { return b.Ready() })
	b, err = entry.New(
		s,
		entry.WithObserver(observer(m, entry.LatencyNames())),
		entry.WithLogs(l),
		entry.WithPlatform(platform.Codec{
			CallerPort: s.Callers.Port(),
		}, platform.NewStore(s.Store), platform.DecodePlan),
	)
	if err != nil {
		return err
	}
	m.Handle(entry.ExplainPath, b.ExplainHandler())
	stop, cancel := stopSignal(ctx)
	defer cancel()
	go w.Run(stop, hangups)
	go serveMetrics(stop, m, s.Metrics, l)
	return b.Run(stop)
}
