package main

import (
	"context"
	"crypto/ed25519"
	"errors"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/clementinewing/clementinewing/internal/board/file"
	"github.com/clementinewing/clementinewing/internal/board/head"
	"github.com/clementinewing/clementinewing/internal/board/sign"
)

var errApplyArgument = errors.New("expected one operators' file")

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "put an operators' file in force, as a whole or not at all",
		ArgsUsage: "FILE",
		Description: "Checks the file, signs it as the operator that it lists with this key and proposes it.\n" +
			"If a newer revision than its base is in force, it waits for the chair.\n\n" + exitCodes,
		Flags:  append(storeFlags(), keyFlag()),
		Action: apply,
	}
}

func apply(ctx context.Context, c *cli.Command) (err error) {
	if c.Args().Len() != 1 {
		return errApplyArgument
	}
	key, err := readKey(c.String("key"))
	if err != nil {
		return err
	}
	f, err := readFile(c.Args().First())
	if err != nil {
		return cli.Exit(err, exitFaults)
	}
	p, ok := signProposal(f, key)
	if !ok {
		return printOutcome(os.Stdout, c.Bool("json"), sign.ID{}, head.Result{
			Refusal: head.NewRefusal(head.UnlistedSigner, "no operator of the file has this key"),
		})
	}
	s, closeStore, err := openStore(c)
	if err != nil {
		return err
	}
	defer closeStore()
	return runHeadUpdate(ctx, c, s, p.ID(), head.NewApply(f, p, storeDeadline(c), newSeed()))
}

func readFile(path string) (f file.File, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return f, err
	}
	return file.Parse(path, text)
}

// signProposal signs a file as the operator that the file lists with the key.
// ok is false if the file lists no such operator.
func signProposal(f file.File, key ed25519.PrivateKey) (p sign.Proposal, ok bool) {
	for _, o := range f.Operators {
		if !o.Key.Equal(key.Public()) {
			continue
		}
		p = sign.Proposal{
			File:     f.Name,
			Base:     f.Base,
			Content:  f.Hash(),
			Operator: o.Name,
		}
		p.Sign(key)
		return p, true
	}
	return p, false
}
