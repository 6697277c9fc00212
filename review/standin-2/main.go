// Command standin-2 plays the cases of the second review that are scripts: it starts the
// project's own processes on loopback addresses with the commands of the deploy file, stands in
// for the platform, the endpoints and the callers, and records what they see.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// scenario plays one case and reports whether the rule was broken.
type scenario func(d *deployment, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"settings": playSettings,
	"slow":     playSlow,
}

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file for what was seen")
	binary := flag.String("binary", "target/cwnode", "program of both roles")
	template := flag.String("template", "platform/node.ini", "template of the settings, as in the deploy file")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	flag.Parse()
	os.Exit(run(*name, *record, *binary, *template, *trouble))
}

func run(name, record, binary, template string, trouble bool) (code int) {
	play, ok := scenarios[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitCannot
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer func() { _ = os.RemoveAll(folder) }()
	out, err := os.Create(filepath.Clean(record))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer func() { _ = out.Close() }()
	d, err := newDeployment(binary, template, folder, out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer d.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stopped
		d.close()
		os.Exit(exitCannot)
	}()
	broken, err := play(d, trouble)
	switch {
	case err != nil:
		d.note("the case could not run: %v", err)
		return exitCannot
	case broken:
		d.note("BROKEN")
		return exitBroken
	default:
		d.note("held")
		return exitHeld
	}
}
