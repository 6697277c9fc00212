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

var errCheckArgument = errors.New("give at least one file")

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check operators' files and settings files, and print every fault",
		ArgsUsage: "FILE...",
		Description: "A file with a section [balancer] or [agent] is read as settings, every other one\n" +
			"as an operators' file. Exit codes: 0 no faults, 1 wrong call, 2 faults.",
		Flags: []cli.Flag{
			&cli.BoolFlag{
				Name:  "json",
				Usage: "print one JSON document a file",
			},
		},
		Action: check,
	}
}

// checked is what check prints of one file.
type checked struct {
	Path  string `json:"path"`
	Kind  string `json:"kind"`
	Whole bool   `json:"whole"`
	Fault string `json:"fault"`
}

func check(_ context.Context, c *cli.Command) (err error) {
	if c.Args().Len() == 0 {
		return errCheckArgument
	}
	whole := true
	for _, path := range c.Args().Slice() {
		one := checkFile(path)
		whole = whole && one.Whole
		if c.Bool("json") {
			err = json.NewEncoder(os.Stdout).Encode(one)
		} else {
			err = printChecked(one)
		}
		if err != nil {
			return err
		}
	}
	if !whole {
		return cli.Exit("", exitFaults)
	}
	return nil
}

func checkFile(path string) checked {
	one := checked{
		Path: path,
		Kind: "file",
	}
	text, err := os.ReadFile(path)
	if err == nil {
		one.Kind, err = parseAny(path, string(text))
	}
	if err != nil {
		one.Fault = err.Error()
	}
	one.Whole = err == nil
	return one
}

func parseAny(path, text string) (kind string, err error) {
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

func printChecked(one checked) error {
	if one.Whole {
		_, err := fmt.Fprintf(os.Stdout, "%s: no faults in this %s\n", one.Path, one.Kind)
		return err
	}
	_, err := fmt.Fprintln(os.Stderr, one.Fault)
	return err
}
