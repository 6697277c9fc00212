package main

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/clementinewing/clementinewing/internal/board/head"
	"github.com/clementinewing/clementinewing/internal/board/sign"
	"github.com/clementinewing/clementinewing/internal/conf/roles"
	"github.com/clementinewing/clementinewing/internal/edge/board"
	"github.com/clementinewing/clementinewing/internal/edge/store"
)

// Exit codes of the operators' commands, besides 0 for success and 1 for wrong
// usage.
const (
	exitFaults   = 2
	exitWaiting  = 3
	exitRefused  = 4
	exitNoAnswer = 5
)

const exitCodes = "Exit codes: 0 in force, 1 wrong usage, 2 errors in a file, 3 waiting for the\n" +
	"chair, 4 refused, 5 no answer from the store (run the same command again: it\n" +
	"finds the outcome of the first run, and nothing is applied twice)."

var (
	errNoStore = errors.New("no store address given; use --store")
	errTLS     = errors.New("use --certificate, --private-key and --authority, or --insecure for a trial")
)

// storeFlags returns the flags of every command that connects to the store.
func storeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name:  "store",
			Usage: "address of the store, IP:PORT",
		},
		&cli.StringFlag{
			Name:  "certificate",
			Usage: "path of the client's TLS certificate (PEM)",
		},
		&cli.StringFlag{
			Name:  "private-key",
			Usage: "path of the client's TLS key (PEM)",
		},
		&cli.StringFlag{
			Name:  "authority",
			Usage: "path of the certificate authority's certificate (PEM)",
		},
		&cli.BoolFlag{
			Name:  "insecure",
			Usage: "connect to the store without TLS, for a trial on one machine",
		},
		&cli.IntFlag{
			Name:  "patience",
			Usage: "seconds to retry without an answer from the store",
			Value: 30,
		},
		&cli.BoolFlag{
			Name:  "json",
			Usage: "print one JSON document",
		},
	}
}

// keyFlag returns the flag for the operator's private key.
func keyFlag() cli.Flag {
	return &cli.StringFlag{
		Name:     "key",
		Usage:    "path of the Ed25519 key file that keygen wrote",
		Required: true,
	}
}

// openStore connects to the store given by the flags.
func openStore(c *cli.Command) (s store.Store, closeStore func(), err error) {
	defer func() { err = eris.Wrap(err, "connecting to the store") }()
	if c.String("store") == "" {
		return nil, nil, errNoStore
	}
	var client credentials.TransportCredentials
	if !c.Bool("insecure") {
		files := roles.TLS{
			Certificate: c.String("certificate"),
			Key:         c.String("private-key"),
			Authority:   c.String("authority"),
		}
		if files.Certificate == "" || files.Key == "" || files.Authority == "" {
			return nil, nil, errTLS
		}
		_, client, err = loadTLS(files)
		if err != nil {
			return nil, nil, err
		}
	}
	return dialStore(c.String("store"), client)
}

// dialStore connects to the store; without TLS if client is nil.
func dialStore(address string, client credentials.TransportCredentials) (s store.Store, closeStore func(), err error) {
	defer func() { err = eris.Wrapf(err, "connecting to the store at %s", address) }()
	if client == nil {
		client = insecure.NewCredentials()
	}
	connection, err := grpc.NewClient(address, grpc.WithTransportCredentials(client))
	if err != nil {
		return nil, nil, err
	}
	return store.NewClient(connection), func() { _ = connection.Close() }, nil
}

func readKey(path string) (key ed25519.PrivateKey, err error) {
	defer func() { err = eris.Wrapf(err, "reading the key in %s", path) }()
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return sign.ParsePrivateKey(text)
}

// storeDeadline returns when a command stops retrying without an answer from
// the store.
// storeDeadline returns when a command stops retrying without an answer from
// the store.
func storeDeadline(c *cli.Command) time.Time {
	return time.Now().Add(time.Duration(c.Int("patience")) * time.Second)
}

// outcome is what a command that updates the head prints.
type outcome struct {
	ID       sign.ID     `json:"id"`
	Accepted bool        `json:"accepted"`
	Revision uint64      `json:"revision"`
	Reason   head.Reason `json:"reason"`
	Detail   string      `json:"detail"`
}

// runHeadUpdate runs a command's state machine, prints the outcome and returns
// an error with its exit code.
func runHeadUpdate(ctx context.Context, c *cli.Command, s store.Store, id sign.ID, m board.Machine) error {
	return printOutcome(os.Stdout, c.Bool("json"), id, board.Run(ctx, s, m))
}

func printOutcome(w io.Writer, asJSON bool, id sign.ID, r head.Result) (err error) {
	o := outcome{
		ID:       id,
		Accepted: r.Refusal == nil,
		Revision: r.Revision,
	}
	text := fmt.Sprintf("done, revision %d is in force", r.Revision)
	if r.Refusal != nil {
		o.Reason = r.Refusal.Reason
		o.Detail = r.Refusal.Detail
		text = r.Refusal.Error()
	}
	if asJSON {
		err = json.NewEncoder(w).Encode(o)
	} else {
		_, err = fmt.Fprintln(w, text)
	}
	if err != nil || r.Refusal == nil {
		return err
	}
	return cli.Exit("", exitCode(r.Refusal.Reason))
}

func exitCode(reason head.Reason) int {
	switch reason {
	case head.WaitingForChair:
		return exitWaiting
	case head.StoreAway:
		return exitNoAnswer
	default:
		return exitRefused
	}
}

// printReadFailure prints a failed read of the head as the outcome of a command.
func printReadFailure(c *cli.Command, err error) error {
	refusal := head.NewRefusal(head.StoreAway, "%v", err)
	if !errors.Is(err, store.ErrNoAnswer) {
		refusal = head.NewRefusal(head.BadContent, "%v", err)
	}
	return printOutcome(os.Stdout, c.Bool("json"), sign.ID{}, head.Result{
		Refusal: refusal,
	})
}

// newSeed returns a random seed for the jitter of a command's retries.
func newSeed() uint64 {
	return rand.Uint64()
}
