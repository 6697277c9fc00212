package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/clementinewing/clementinewing/internal/relay/entry"
)

const (
	addressName = "address"
	jsonName    = "json"
	// explainTimeout is several times what a busy balancer takes to answer.
	explainTimeout = 5 * time.Second
	// maxExplanationBytes is many times the size of the largest explanation.
	maxExplanationBytes = 1 << 20
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "ask a running balancer where a new flow would go now, and why",
		ArgsUsage: "CALLER TARGET (both as IP:PORT)",
		Description: "Nothing is sent to agents or endpoints, and the balancer's state does not change.\n" +
			"Terms of the cost are in units of load: 1 is an endpoint with every slot in use.",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:     addressName,
				Aliases:  []string{"a"},
				Required: true,
				Usage:    "metrics address of the balancer (IP:PORT)",
			},
			&cli.BoolFlag{
				Name:  jsonName,
				Usage: "print JSON",
			},
		},
		Action: runExplain,
	}
}

func runExplain(ctx context.Context, c *cli.Command) (err error) {
	if c.NArg() != 2 {
		return fmt.Errorf("expected CALLER and TARGET as IP:PORT, found %d arguments", c.NArg())
	}
	for i, name := range []string{"CALLER", "TARGET"} {
		if _, err := entry.ParseFlowAddress(c.Args().Get(i)); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	address, err := netip.ParseAddrPort(c.String(addressName))
	if err != nil {
		return fmt.Errorf("--%s: %q is not IP:PORT", addressName, c.String(addressName))
	}
	body, err := fetchExplanation(ctx, address, c.Args().Get(0), c.Args().Get(1))
	if err != nil {
		return err
	}
	out := c.Root().Writer
	if out == nil {
		out = os.Stdout
	}
	if c.Bool(jsonName) {
		_, err = out.Write(body)
		return err
	}
	var e entry.Explanation
	if err := json.Unmarshal(body, &e); err != nil {
		return eris.Wrapf(err, "reading the answer of %s", address)
	}
	return printExplanation(out, &e)
}

// fetchExplanation returns the balancer's answer, which is JSON.
func fetchExplanation(ctx context.Context, address netip.AddrPort, caller, target string) (body []byte, err error) {
	defer func() { err = eris.Wrapf(err, "asking the balancer at %s", address) }()
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	values := url.Values{}
	values.Set(entry.ExplainCaller, caller)
	values.Set(entry.ExplainTarget, target)
	u := url.URL{
		Scheme:   "http",
		Host:     address.String(),
		Path:     entry.ExplainPath,
		RawQuery: values.Encode(),
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), http.NoBody)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(response.Body, maxExplanationBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %.200s", response.Status, strings.TrimSpace(string(body)))
	}
	return body, nil
}

func printExplanation(out io.Writer, e *entry.Explanation) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "flow\t%s\n", e.Flow)
	fmt.Fprintf(w, "balancer\t%s in %s\n", e.Balancer, e.Zone)
	fmt.Fprintf(w, "outcome\t%s, %s\n", e.Outcome, e.Reason)
	fmt.Fprintf(w, "plan\tversion %d, revision %d, store answer %d ms old\n", e.PlanVersion, e.PlanRevision, e.StoreAgeMS)
	if e.Route != "" {
		fmt.Fprintf(w, "route\t%s\n", e.Route)
		fmt.Fprintf(w, "service\t%s (%d)\n", e.Service, e.ServiceID)
		fmt.Fprintf(w, "preferred zone\t%s, %.0f %% of new flows leave %s\n", e.PreferredZone, 100*e.SpillShare, e.Zone)
	}
	if e.Owner != "" {
		fmt.Fprintf(w, "known owner\t%s (the flow exists; its retransmitted SYN goes there)\n", e.Owner)
	}
	if e.FewServing {
		fmt.Fprintf(w, "serving\tmost endpoints are not known to serve\n")
	}
	if v := e.Evacuations; v != nil {
		fmt.Fprintf(w, "evacuated\t%s\n", describeEvacuations(v))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	printCandidates(out, e.Candidates)
	return printLeftOut(out, e)
}

func describeEvacuations(v *entry.EvacuationState) string {
	switch {
	case !v.Known:
		return "not known yet"
	case len(v.Zones) == 0:
		return "none"
	default:
		return strings.Join(v.Zones, ", ")
	}
}

func printCandidates(out io.Writer, list []entry.ExplainedEndpoint) {
	if len(list) == 0 {
		return
	}
	fmt.Fprintf(out, "\ncandidates, asked in this order; cost = preferred + (load * cold + zone + unproven + unanswered) / capacity + random\n")
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\tENDPOINT\tZONE\tCLASS\tCOST\tLOAD\tCOLD\tZONE\tPREFERRED\tUNPROVEN\tUNANSWERED\tCAPACITY\tRANDOM\tSHARE\tIN USE\tAVERAGE\tAGE")
	for i := range list {
		x := &list[i]
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%.3f\t", i+1, x.Address, x.Zone, x.Class, x.Cost)
		if t := x.Terms; t != nil {
			fmt.Fprintf(w, "%.3f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.3f\t%.3f\t", t.Load, t.Cold, t.Zone, t.Preferred, t.Unproven, t.Unanswered, t.Capacity, t.Random)
		} else {
			fmt.Fprintf(w, "%s", strings.Repeat("-\t", 8))
		}
		fmt.Fprintf(w, "%.2f\t%d/%d\t%.2f\t%d ms\n", x.Share, x.InUse, x.Slots, x.Average, x.AgeMS)
	}
	_ = w.Flush()
}

func printLeftOut(out io.Writer, e *entry.Explanation) error {
	if len(e.LeftOutCounts) == 0 {
		return nil
	}
	var counts []string
	for _, x := range slices.Sorted(maps.Keys(e.LeftOutCounts)) {
		counts = append(counts, fmt.Sprintf("%s %d", x, e.LeftOutCounts[x]))
	}
	fmt.Fprintf(out, "\nleft out: %s\n", strings.Join(counts, ", "))
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ENDPOINT\tZONE\tWHY\tSTATE\tREFUSALS\tCOST\tIN USE\tAGE")
	for i := range e.LeftOut {
		x := &e.LeftOut[i]
		cost := "-"
		if x.Terms != nil {
			cost = fmt.Sprintf("%.3f", x.Cost)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%d/%d\t%d ms\n", x.Address, x.Zone, x.Exclusion, x.State, x.Refused, cost, x.InUse, x.Slots, x.AgeMS)
	}
	return w.Flush()
}
