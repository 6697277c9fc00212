package main

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/clementinewing/clementinewing/internal/board/sign"
)

func keygenCommand() *cli.Command {
	return &cli.Command{
		Name:  "keygen",
		Usage: "generate an operator's Ed25519 key",
		Description: "Writes the key to a new file that only its owner may read, and prints the line\n" +
			"for the section [operator NAME]. Never overwrites an existing file.",
		Flags: []cli.Flag{
			keyFlag(),
		},
		Action: keygen,
	}
}

func keygen(_ context.Context, c *cli.Command) (err error) {
	defer func() { err = eris.Wrap(err, "generating a key") }()
	_, key, err := ed25519.GenerateKey(nil)
	if err != nil {
		return err
	}
	out, err := os.OpenFile(c.String("key"), os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	_, err = out.WriteString(sign.FormatPrivateKey(key))
	if err != nil {
		return err
	}
	if err = out.Close(); err != nil {
		return err
	}
	fmt.Fprintf(os.Stdout, "key = %s\n", sign.FormatPublicKey(key))
	return nil
}
