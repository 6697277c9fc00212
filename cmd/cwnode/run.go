package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/clementinewing/clementinewing/internal/conf/relay"
	"github.com/clementinewing/clementinewing/internal/edge/logs"
)

const settingsName = "settings"

// settingsFlag is the flag of every command.
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

// stopSignal gives a context that ends with SIGTERM or SIGINT.
func stopSignal(ctx context.Context) (stop context.Context, end context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
}

// onHangup checks the settings at each SIGHUP. Addresses and names stay as they
// were when the process started.
func onHangup(ctx context.Context, l *logs.Logs, read func() error) {
	caught := make(chan os.Signal, 1)
	signal.Notify(caught, syscall.SIGHUP)
	defer signal.Stop(caught)
	for {
		select {
		case <-ctx.Done():
			return
		case <-caught:
		}
		if err := read(); err != nil {
			l.Trouble.Error().Err(err).Msg("settings are left as they were")
			continue
		}
		l.Trouble.Info().Msg("settings read again; they are in force from the next start")
	}
}
