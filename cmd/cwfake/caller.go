package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/clementinewing/clementinewing/internal/fake/caller"
	"github.com/clementinewing/clementinewing/internal/fake/origin"
)

var errRequestsFailed = errors.New("a request got no complete answer")

func callerCommand() *cli.Command {
	return &cli.Command{
		Name:  "caller",
		Usage: "send requests through the fabric, one flow each, and print the answers",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "fabric",
				Usage: "UDP address of the fabric",
				Value: "127.0.0.1:7000",
			},
			&cli.StringFlag{
				Name:  "address",
				Usage: "the caller's own IPv4 address",
				Value: "10.1.0.1",
			},
			&cli.StringFlag{
				Name:     "target",
				Usage:    "address and port of the service",
				Required: true,
			},
			&cli.IntFlag{
				Name:  "requests",
				Usage: "number of requests, sent in sequence",
				Value: 1,
			},
			&cli.IntFlag{
				Name:  "bytes",
				Usage: "size of each request's body in bytes",
				Value: 10_000,
			},
			&cli.DurationFlag{
				Name:  "timeout",
				Usage: "longest wait for one answer",
				Value: 20 * time.Second,
			},
		},
		Action: runCaller,
	}
}

func runCaller(ctx context.Context, c *cli.Command) (err error) {
	fabric, err := netip.ParseAddrPort(c.String("fabric"))
	if err != nil {
		return err
	}
	address, err := netip.ParseAddr(c.String("address"))
	if err != nil {
		return err
	}
	host, err := caller.New(address, fabric)
	if err != nil {
		return err
	}
	defer host.Close()
	broken := 0
	for n := range c.Int("requests") {
		answer, err := sendRequest(ctx, host.Client(), c, n)
		if err != nil {
			broken++
			answer = "broken: " + err.Error() + "\n"
		}
		fmt.Print(answer)
	}
	if broken > 0 {
		return errRequestsFailed
	}
	return nil
}

func sendRequest(ctx context.Context, client *http.Client, c *cli.Command, n int) (answer string, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	id := fmt.Sprintf("%s-%d", c.String("address"), n)
	url := fmt.Sprintf("http://%s%s?id=%s", c.String("target"), origin.RunPath, id)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(strings.Repeat("x", c.Int("bytes"))))
	if err != nil {
		return "", err
	}
	reply, err := client.Do(r)
	if err != nil {
		return "", err
	}
	defer func() { err = errors.Join(err, reply.Body.Close()) }()
	body, err := io.ReadAll(reply.Body)
	if err != nil {
		return "", err
	}
	want := fmt.Sprintf("%s %d\n", id, c.Int("bytes"))
	if !strings.HasSuffix(string(body), want) {
		return "", fmt.Errorf("answer %q does not end in %q", body, want)
	}
	return string(body), nil
}
