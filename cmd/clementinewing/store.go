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

// Exit codes of the operators' commands, besides 0 for done and 1 for a wrong
// call of the command.
const (
	exitFaults  = 2
	exitWaiting = 3
	exitRefused = 4
	exitAway    = 5
)

const exitCodes = "Exit codes: 0 in force, 1 wrong call, 2 faults in a file, 3 waiting for the\n" +
	"chair, 4 refused, 5 no answer from the store (run the same command again: it\n" +
	"learns what the first run came to, and nothing is applied twice)."

var (
	errNoStore = errors.New("name the store's address with --store")
	errTLS     = errors.New("name --certificate, --private-key and --authority, or --insecure for a trial")
)

// storeFlags are the flags of every command that talks to the store.
func storeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name:  "store",
			Usage: "address of the store, IP:PORT",
		},
		&cli.StringFlag{
			Name:  "certificate",
			Usage: "path of this end's TLS certificate (PEM)",
		},
		&cli.StringFlag{
			Name:  "private-key",
			Usage: "path of this end's TLS key (PEM)",
		},
		&cli.StringFlag{
			Name:  "authority",
			Usage: "path of the TLS authority's certificate (PEM)",
		},
		&cli.BoolFlag{
			Name:  "insecure",
			Usage: "talk to the store without TLS, for a trial on one machine",
		},
		&cli.IntFlag{
			Name:  "patience",
			Usage: "seconds to go on without an answer from the store",
			Value: 30,
		},
		&cli.BoolFlag{
			Name:  "json",
			Usage: "print one JSON document",
		},
	}
}

// keyFlag is the flag of every command that signs.
func keyFlag() cli.Flag {
	return &cli.StringFlag{
		Name:     "key",
		Usage:    "path of the Ed25519 key file that keygen wrote",
		Required: true,
	}
}

// openStore connects to the store that the flags name.
func openStore(c *cli.Command) (s store.Store, closeStore func(), err error) {
	defer func() { err = eris.Wrap(err, "connecting to the store") }()
	if c.String("store") == "" {
		return nil, nil, errNoStore
	}
	var secret credentials.TransportCredentials
	if !c.Bool("insecure") {
		files := roles.TLS{
			Certificate: c.String("certificate"),
			Key:         c.String("private-key"),
			Authority:   c.String("authority"),
		}
		if files.Certificate == "" || files.Key == "" || files.Authority == "" {
			return nil, nil, errTLS
		}
		_, secret, err = loadTLS(files)
		if err != nil {
			return nil, nil, err
		}
	}
	return dialStore(c.String("store"), secret)
}

// dialStore connects to the store in the clear without credentials.
func dialStore(address string, secret credentials.TransportCredentials) (s store.Store, closeStore func(), err error) {
	defer func() { err = eris.Wrapf(err, "connecting to the store at %s", address) }()
	if secret == nil {
		secret = insecure.NewCredentials()
	}
	connection, err := grpc.NewClient(address, grpc.WithTransportCredentials(secret))
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
	return sign.ParseKey(text)
}

func patience(c *cli.Command) time.Time {
	return time.Now().Add(time.Duration(c.Int("patience")) * time.Second)
}

// outcome is what a command that moves the head prints.
type outcome struct {
	ID       sign.ID     `json:"id"`
	Accepted bool        `json:"accepted"`
	Revision uint64      `json:"revision"`
	Reason   head.Reason `json:"reason"`
	Detail   string      `json:"detail"`
}

// moveHead runs a command's machine, prints its outcome and gives its exit code.
func moveHead(ctx context.Context, c *cli.Command, s store.Store, id sign.ID, m board.Machine) error {
	return report(os.Stdout, c.Bool("json"), id, board.Run(ctx, s, m))
}

func report(w io.Writer, asJSON bool, id sign.ID, r head.Result) (err error) {
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
		return exitAway
	default:
		return exitRefused
	}
}

// away turns a failed read of the head into the outcome of a command.
func away(c *cli.Command, err error) error {
	refusal := head.Refuse(head.StoreAway, "%v", err)
	if !errors.Is(err, store.ErrAway) {
		refusal = head.Refuse(head.BadContent, "%v", err)
	}
	return report(os.Stdout, c.Bool("json"), sign.ID{}, head.Result{
		Refusal: refusal,
	})
}

// newSeed draws the seed of a command's jitter.
func newSeed() uint64 {
	return rand.Uint64()
}
