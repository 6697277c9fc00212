// Command cwlab runs the project's experiments with the state machines of the product.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/clementinewing/clementinewing/internal/bench/report"
)

var errBoundMissed = errors.New("a figure missed its bound")

func main() {
	app := &cli.Command{
		Name:  "cwlab",
		Usage: "run an experiment and check its figures against their bounds",
	}
	for _, e := range experiments() {
		app.Commands = append(app.Commands, newCommand(e))
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func newCommand(e experiment) *cli.Command {
	return &cli.Command{
		Name:  e.Name,
		Usage: e.Usage,
		Flags: []cli.Flag{
			&cli.BoolFlag{
				Name:  "json",
				Usage: "print one JSON line instead of a table",
			},
			&cli.IntFlag{
				Name:  "seeds",
				Usage: "number of seeds, counted from 1",
				Value: defaultSeeds,
			},
			&cli.StringFlag{
				Name:  "plot",
				Usage: "file for the plot, if the experiment has one; its extension selects the format",
			},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return runExperiment(e, c.Int("seeds"), c.Bool("json"), c.String("plot"))
		},
	}
}

func runExperiment(e experiment, seeds int, asJSON bool, plot string) (err error) {
	result, err := e.Run(seeds)
	if err != nil {
		return err
	}
	err = printResult(result, asJSON)
	if err != nil {
		return err
	}
	if e.Plot != nil && plot != "" {
		err = e.Plot(result, plot)
	}
	if err != nil {
		return err
	}
	if !result.Met() {
		return errBoundMissed
	}
	return nil
}

func printResult(r report.Result, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "figure\tunit\tmedian\tworst\tbound\tmet\n")
	for _, row := range r.Rows {
		bound := "-"
		if row.Sense != report.Info {
			bound = fmt.Sprintf("%.4g", row.Bound)
		}
		fmt.Fprintf(w, "%s\t%s\t%.4g\t%.4g\t%s\t%v\n", row.Name, row.Unit, row.Median, row.Worst, bound, row.Met())
	}
	return w.Flush()
}
