package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/clementinewing/clementinewing/internal/conf/relay"
	"github.com/clementinewing/clementinewing/internal/conf/watch"
	"github.com/clementinewing/clementinewing/internal/edge/logs"
	"github.com/clementinewing/clementinewing/internal/edge/meter"
	"github.com/clementinewing/clementinewing/platform"
)

const settingsName = "settings"

// settingsFlag returns the flag for the settings file, which every command has.
func settingsFlag() cli.Flag {
	return &cli.StringFlag{
		Name:     settingsName,
		Aliases:  []string{"s"},
		Required: true,
		Usage:    "path of the settings file (INI); see examples/node.ini",
	}
}

func newLogs(role string, s relay.Settings) *logs.Logs {
	return logs.New(os.Stdout, role, s.Name)
}

func closeLogs(l *logs.Logs) {
	if err := l.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// stopSignal returns a context that is cancelled by SIGTERM or SIGINT.
func stopSignal(ctx context.Context) (stop context.Context, cancel context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
}

// readSettings reads the settings of a role. It returns their text too, for newSettingsWatch.
func readSettings(path, role string) (s relay.Settings, text string, err error) {
	defer func() { err = eris.Wrap(err, "settings") }()
	raw, err := os.ReadFile(path)
	if err != nil {
		return s, "", err
	}
	s, err = parseSettings(path, string(raw), role)
	return s, string(raw), err
}

func parseSettings(path, text, role string) (relay.Settings, error) {
	return relay.Parse(path, text, role, relay.WithFeatureNames(platform.FeatureNames()))
}

// newSettingsWatch returns a watch of the file from which a role has read text.
func newSettingsWatch(path, text, role string, l *logs.Logs) *watch.Watch {
	return watch.New(path, text, l, func(text string) error {
		_, err := parseSettings(path, text, role)
		return err
	})
}

// notifyHangup returns a channel that receives SIGHUP. The signal is never returned to the system,
// where it would end a process that drains.
func notifyHangup() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// withWatch adds the counters and gauges of a watch to those of a role.
func withWatch(w *watch.Watch, sample func() meter.Sample) func() meter.Sample {
	return func() meter.Sample {
		s, x := sample(), w.Sample()
		s.Totals = append(s.Totals, x.Totals...)
		s.Levels = append(s.Levels, x.Levels...)
		return s
	}
}
