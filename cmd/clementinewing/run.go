package main

import (
	"context"
	"errors"
	"net/netip"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"
	"google.golang.org/grpc/credentials"

	"github.com/clementinewing/clementinewing/internal/conf/roles"
	"github.com/clementinewing/clementinewing/internal/edge/meter"
	"github.com/clementinewing/clementinewing/internal/edge/mtls"
	"github.com/clementinewing/clementinewing/internal/edge/store"
)

var errNoSettings = errors.New("no settings file given; use --settings")

// settingsFlag is the flag of every command that runs a role.
func settingsFlag() cli.Flag {
	return &cli.StringFlag{
		Name:    "settings",
		Aliases: []string{"s"},
		Usage:   "path of the settings file (INI); see examples/",
	}
}

// settingsPath returns the value of --settings.
func settingsPath(c *cli.Command) (string, error) {
	if path := c.String("settings"); path != "" {
		return path, nil
	}
	return "", errNoSettings
}

// newLogger returns a logger that writes JSON lines to standard error.
func newLogger(common roles.Common, role string) zerolog.Logger {
	level, err := zerolog.ParseLevel(common.LogLevel)
	if err != nil {
		level = zerolog.InfoLevel
	}
	return zerolog.New(os.Stderr).Level(level).With().Timestamp().Str("role", role).Str("name", common.Name).Logger()
}

// loadTLS loads the credentials of a role; both are nil if the settings say
// insecure.
func loadTLS(t roles.TLS) (server, client credentials.TransportCredentials, err error) {
	if t.Insecure {
		return nil, nil, nil
	}
	return mtls.Load(mtls.Files{
		Certificate: t.Certificate,
		Key:         t.Key,
		Authority:   t.Authority,
	})
}

// dialSettingsStore connects to the store in the settings; s is nil if they
// name none.
func dialSettingsStore(common roles.Common, client credentials.TransportCredentials) (s store.Store, closeStore func(), err error) {
	if !common.Store.Address.IsValid() {
		return nil, func() {}, nil
	}
	return dialStore(common.Store.Address.String(), client)
}

// shutdownContexts returns a context that is cancelled by the first SIGTERM or
// SIGINT, and one that is cancelled by the second.
func shutdownContexts(ctx context.Context) (drain, kill context.Context, stop func()) {
	drain, endDrain := context.WithCancel(ctx)
	kill, endKill := context.WithCancel(ctx)
	caught := make(chan os.Signal, 2)
	signal.Notify(caught, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan struct{})
	go func() {
		for _, end := range []context.CancelFunc{endDrain, endKill} {
			select {
			case <-caught:
				end()
			case <-done:
				return
			}
		}
	}()
	return drain, kill, func() {
		signal.Stop(caught)
		close(done)
		endDrain()
		endKill()
	}
}

// onHangup calls reload for each SIGHUP until ctx ends.
func onHangup(ctx context.Context, reload func()) {
	caught := make(chan os.Signal, 1)
	signal.Notify(caught, syscall.SIGHUP)
	defer signal.Stop(caught)
	for {
		select {
		case <-ctx.Done():
			return
		case <-caught:
			reload()
		}
	}
}

// startBackground serves the status page and reloads on SIGHUP until stop is
// called.
func startBackground(logger zerolog.Logger, status netip.AddrPort, m *meter.Meter, reload func()) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var w sync.WaitGroup
	w.Go(func() { onHangup(ctx, reload) })
	if status.IsValid() {
		w.Go(func() {
			err := m.Serve(ctx, status)
			if err != nil {
				logger.Error().Err(err).Msg("status page failed")
			}
		})
	}
	return func() {
		cancel()
		w.Wait()
	}
}
