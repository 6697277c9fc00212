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

var errNoSettings = errors.New("name the settings file with --settings")

// settingsFlag is the flag of every command that runs a role.
func settingsFlag() cli.Flag {
	return &cli.StringFlag{
		Name:    "settings",
		Aliases: []string{"s"},
		Usage:   "path of the settings file (INI); see examples/",
	}
}

// settingsPath gives the settings file that was named.
func settingsPath(c *cli.Command) (string, error) {
	if path := c.String("settings"); path != "" {
		return path, nil
	}
	return "", errNoSettings
}

// newLogger writes JSON lines to standard error.
func newLogger(common roles.Common, role string) zerolog.Logger {
	level, err := zerolog.ParseLevel(common.LogLevel)
	if err != nil {
		level = zerolog.InfoLevel
	}
	return zerolog.New(os.Stderr).Level(level).With().Timestamp().Str("role", role).Str("name", common.Name).Logger()
}

// loadTLS gives no credentials where the settings ask for none.
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

// settingsStore connects to the store that the settings name, if they name one.
func settingsStore(common roles.Common, client credentials.TransportCredentials) (s store.Store, closeStore func(), err error) {
	if !common.Store.Address.IsValid() {
		return nil, func() {}, nil
	}
	return dialStore(common.Store.Address.String(), client)
}

// signals gives a context that ends with the first SIGTERM or SIGINT, and one
// that ends with the second.
func signals(ctx context.Context) (drain, kill context.Context, stop func()) {
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

// beside runs what goes on beside a role until the returned function is called.
func beside(logger zerolog.Logger, status netip.AddrPort, m *meter.Meter, reload func()) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var w sync.WaitGroup
	w.Go(func() { onHangup(ctx, reload) })
	if status.IsValid() {
		w.Go(func() {
			err := m.Serve(ctx, status)
			if err != nil {
				logger.Error().Err(err).Msg("no status page")
			}
		})
	}
	return func() {
		cancel()
		w.Wait()
	}
}
