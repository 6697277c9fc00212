package main

import (
	"context"
	"errors"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/clementinewing/clementinewing/internal/board/chair"
	"github.com/clementinewing/clementinewing/internal/board/head"
	"github.com/clementinewing/clementinewing/internal/board/sign"
	"github.com/clementinewing/clementinewing/internal/edge/board"
)

var errDecideFlags = errors.New("expected --take or --drop with an id that history prints")

func decideCommand() *cli.Command {
	return &cli.Command{
		Name:  "decide",
		Usage: "decide between colliding files, as the chair of the file in force",
		Description: "With --take, that waiting file comes into force as a whole; without it, the file\n" +
			"in force stays. Files that are not named keep waiting. The decision is valid for\n" +
			"the given revision, as printed by history, and is refused if another one has come\n" +
			"into force since.\n\n" + exitCodes,
		Flags: append(storeFlags(), keyFlag(),
			&cli.Uint64Flag{
				Name:     "revision",
				Usage:    "revision in force that the decision is based on",
				Required: true,
			},
			&cli.StringFlag{
				Name:  "take",
				Usage: "id of the waiting file to put in force",
			},
			&cli.StringSliceFlag{
				Name:  "drop",
				Usage: "id of a waiting file to refuse; may be given several times",
			},
		),
		Action: decide,
	}
}

func decide(ctx context.Context, c *cli.Command) (err error) {
	d, err := parseDecision(c)
	if err != nil {
		return err
	}
	key, err := readKey(c.String("key"))
	if err != nil {
		return err
	}
	s, closeStore, err := openStore(c)
	if err != nil {
		return err
	}
	defer closeStore()
	h, err := board.ReadHead(ctx, s, storeDeadline(c), newSeed())
	if err != nil {
		return printReadFailure(c, err)
	}
	d.File = h.Roster.Name
	for _, o := range h.Roster.Operators {
		if o.Key.Equal(key.Public()) {
			d.Chair = o.Name
		}
	}
	if d.Chair == "" {
		return printOutcome(os.Stdout, c.Bool("json"), sign.ID{}, head.Result{
			Refusal: head.NewRefusal(head.UnknownOperator, "no operator of the file in force has this key"),
		})
	}
	d.Sign(key)
	return runHeadUpdate(ctx, c, s, d.ID(), chair.New(d, storeDeadline(c), newSeed()))
}

// parseDecision builds a decision from the flags, without chair and signature.
func parseDecision(c *cli.Command) (d sign.Decision, err error) {
	d.Revision = c.Uint64("revision")
	d.Verdict = sign.Keep
	if text := c.String("take"); text != "" {
		d.Verdict = sign.Take
		d.Chosen, err = sign.ParseID(text)
		if err != nil {
			return d, err
		}
		d.Settled = append(d.Settled, d.Chosen)
	}
	for _, text := range c.StringSlice("drop") {
		id, err := sign.ParseID(text)
		if err != nil {
			return d, err
		}
		d.Settled = append(d.Settled, id)
	}
	if len(d.Settled) == 0 {
		return d, errDecideFlags
	}
	return d, nil
}
