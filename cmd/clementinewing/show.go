package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/clementinewing/clementinewing/internal/edge/meter"
)

const showTimeout = 5 * time.Second

var errShowArgument = errors.New("expected the status address of one role, such as 127.0.0.1:9100")

func showCommand() *cli.Command {
	return &cli.Command{
		Name:      "show",
		Usage:     "print the state of a running role",
		ArgsUsage: "ADDRESS",
		Description: "Queries the role at its status address. Prints its revision, flows, endpoints,\n" +
			"links and, for each reason, how often it rejected, forwarded or dropped.",
		Flags: []cli.Flag{
			&cli.BoolFlag{
				Name:  "json",
				Usage: "print the role's JSON document",
			},
		},
		Action: show,
	}
}

func show(ctx context.Context, c *cli.Command) (err error) {
	if c.Args().Len() != 1 {
		return errShowArgument
	}
	body, err := fetchState(ctx, c.Args().First())
	if err != nil {
		return err
	}
	if c.Bool("json") {
		_, err = os.Stdout.Write(body)
		return err
	}
	var s meter.State
	err = json.Unmarshal(body, &s)
	if err != nil {
		return err
	}
	return printState(os.Stdout, s)
}

func fetchState(ctx context.Context, address string) (body []byte, err error) {
	defer func() { err = eris.Wrapf(err, "querying %s", address) }()
	ctx, cancel := context.WithTimeout(ctx, showTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/state", nil)
	if err != nil {
		return nil, err
	}
	reply, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, reply.Body.Close()) }()
	if reply.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("unexpected status %s", reply.Status)
	}
	return io.ReadAll(reply.Body)
}

func printState(out io.Writer, s meter.State) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s %s\tat %s\tup %s\n", s.Role, s.Name, s.Place, s.Now.Sub(s.Started).Round(time.Second))
	fmt.Fprintf(w, "revision %d\t%s\tfrom %s\n", s.Revision, s.FileName, s.FileSource)
	f := s.Flows
	fmt.Fprintf(w, "flows\topen %d\thalf open %d\tconnecting %d\tlingering %d\thints %d\n",
		f.Open, f.HalfOpen, f.Connecting, f.Lingering, f.Hints)
	fmt.Fprintf(w, "slots\t%d of %d in hand\tdraining %v\n", f.SlotsInHand, f.SlotsLimit, s.Draining)
	fmt.Fprintln(w)
	if len(s.Endpoints) > 0 {
		fmt.Fprintln(w, "service\tupstream\tagent\tplace\tstate\tweight\tsequence\tsuspected")
	}
	for _, e := range s.Endpoints {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n",
			e.Service, e.Upstream, e.Agent, e.Place, e.State, e.Weight, e.Sequence, e.Suspected)
	}
	printCounts(w, s)
	return w.Flush()
}

func printCounts(w io.Writer, s meter.State) {
	if len(s.Links) > 0 {
		fmt.Fprintln(w, "\nlink\tstate")
	}
	for _, l := range s.Links {
		fmt.Fprintf(w, "%s\t%s\n", l.Peer, l.State)
	}
	fmt.Fprintln(w, "\nreason\tcount\tlast")
	for _, r := range s.Reasons {
		if r.Count == 0 {
			continue
		}
		last := "-"
		if !r.Last.IsZero() {
			last = s.Now.Sub(r.Last).Round(time.Second).String() + " ago"
		}
		fmt.Fprintf(w, "%s\t%d\t%s\n", r.Name, r.Count, last)
	}
}
