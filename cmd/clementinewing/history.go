package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/clementinewing/clementinewing/internal/board/head"
	"github.com/clementinewing/clementinewing/internal/edge/board"
)

func historyCommand() *cli.Command {
	return &cli.Command{
		Name:  "history",
		Usage: "print the file in force, the files that wait for the chair, and the last changes",
		Description: fmt.Sprintf("Prints the last %d changes, the newest last. Exit codes: 0 printed, 1 wrong\n"+
			"usage, 4 unreadable, 5 no answer from the store.", head.MaxHistory),
		Flags:  storeFlags(),
		Action: history,
	}
}

func history(ctx context.Context, c *cli.Command) (err error) {
	s, closeStore, err := openStore(c)
	if err != nil {
		return err
	}
	defer closeStore()
	h, err := board.ReadHead(ctx, s, storeDeadline(c), newSeed())
	if err != nil {
		return printReadFailure(c, err)
	}
	if c.Bool("json") {
		return json.NewEncoder(os.Stdout).Encode(h)
	}
	return printHistory(os.Stdout, h)
}

func printHistory(out io.Writer, h head.Head) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if h.Record.Revision == 0 {
		fmt.Fprintln(w, "no file is in force")
		return w.Flush()
	}
	p := h.Record.Proposal
	fmt.Fprintf(w, "%s: revision %d by %s, %s decides on collisions\n", h.Roster.Name, h.Record.Revision, p.Operator, h.Roster.Chair)
	if len(h.Waiting) > 0 {
		fmt.Fprintln(w, "\nwaiting\toperator\tbase\tsince")
	}
	for _, one := range h.Waiting {
		p := one.Proposal
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", p.ID(), p.Operator, p.Base, one.Since.UTC().Format(time.RFC3339))
	}
	fmt.Fprintln(w, "\nrevision\tact\toperator\tbase\tchair\tat\tid")
	for _, c := range h.History {
		operator, base, id := c.Operator, fmt.Sprint(c.Base), c.ProposalID.String()
		if c.Kind == head.Kept {
			operator, base, id = "-", "-", c.DecisionID.String()
		}
		decider := c.Chair
		if decider == "" {
			decider = "-"
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\t%s\n", c.Revision, c.Kind, operator, base, decider, c.At.UTC().Format(time.RFC3339), id)
	}
	return w.Flush()
}
