// Command standin-3 plays the cases of review/REPORT-3.md that are scripts: it runs the programs of
// the deploy file as separate processes on loopback, with the stand-ins of platform/fake for the
// store, the endpoints and the callers.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// errBroken reports that the rule of the case was broken.
var errBroken = errors.New("rule broken")

// run holds what every case needs.
type run struct {
	binary  string
	folder  string
	record  *record
	trouble bool
}

var cases = map[string]func(r run) error{
	"endpoints-back-at-once":       endpointsBackAtOnce,
	"endpoints-crash":              endpointsCrash,
	"endpoints-restarted-in-place": endpointsRestartedInPlace,
}

func main() {
	name := flag.String("case", "", "the case to play")
	binary := flag.String("binary", "target/cwnode", "program of the system")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	os.Exit(play(*name, *binary, *path, *trouble))
}

func play(name, binary, path string, trouble bool) (code int) {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitFailed
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	err = c(run{
		binary:  binary,
		folder:  folder,
		record:  r,
		trouble: trouble,
	})
	if err == nil {
		err = os.RemoveAll(folder)
	}
	switch failed := r.close(); {
	case errors.Is(err, errBroken):
		fmt.Println(err, "- logs in", folder)
		return exitBroken
	case err != nil || failed != nil:
		fmt.Fprintln(os.Stderr, errors.Join(err, failed))
		return exitFailed
	default:
		return exitHeld
	}
}
