package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/clementinewing/clementinewing/internal/board/file"
	"github.com/clementinewing/clementinewing/internal/conf/roles"
)

var errCheckArgument = errors.New("expected at least one file")

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check operators' files and settings files, and print every error",
		ArgsUsage: "FILE...",
		Description: "A file with a section [balancer] or [agent] is read as settings, every other one\n" +
			"as an operators' file. Exit codes: 0 no errors, 1 wrong usage, 2 errors.",
		Flags: []cli.Flag{
			&cli.BoolFlag{
				Name:  "json",
				Usage: "print one JSON document for each file",
			},
		},
		Action: check,
	}
}

// checkResult is what check prints about one file.
type checkResult struct {
	Path  string `json:"path"`
	Kind  string `json:"kind"`
	Valid bool   `json:"whole"`
	Fault string `json:"fault"`
}

func check(_ context.Context, c *cli.Command) (err error) {
	if c.Args().Len() == 0 {
		return errCheckArgument
	}
	valid := true
	for _, path := range c.Args().Slice() {
		r := checkFile(path)
		valid = valid && r.Valid
		if c.Bool("json") {
			err = json.NewEncoder(os.Stdout).Encode(r)
		} else {
			err = printChecked(r)
		}
		if err != nil {
			return err
		}
	}
	if !valid {
		return cli.Exit("", exitFaults)
	}
	return nil
}

func checkFile(path string) checkResult {
	r := checkResult{
		Path: path,
		Kind: "file",
	}
	text, err := os.ReadFile(path)
	if err == nil {
		r.Kind, err = parseByKind(path, string(text))
	}
	if err != nil {
		r.Fault = err.Error()
	}
	r.Valid = err == nil
	return r
}

func parseByKind(path, text string) (kind string, err error) {
	for line := range strings.Lines(text) {
		switch strings.TrimSpace(line) {
		case "[balancer]":
			_, err = roles.ParseBalancer(path, text)
			return "balancer", err
		case "[agent]":
			_, err = roles.ParseAgent(path, text)
			return "agent", err
		}
	}
	_, err = file.Parse(path, []byte(text))
	return "file", err
}

func printChecked(r checkResult) error {
	if r.Valid {
		_, err := fmt.Fprintf(os.Stdout, "%s: no errors in this %s\n", r.Path, r.Kind)
		return err
	}
	_, err := fmt.Fprintln(os.Stderr, r.Fault)
	return err
}
