package main

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/clementinewing/clementinewing/internal/board/sign"
	fake "github.com/clementinewing/clementinewing/internal/fake/store"
)

// scriptRunner runs the commands of a script against one store on loopback.
type scriptRunner struct {
	t       *testing.T
	dir     string
	address string
	service *fake.Service
	ids     map[string]string
}

func TestOperatorsCommands(t *testing.T) {
	r := newScriptRunner(t)
	script, err := os.ReadFile("testdata/operators.txt")
	if err != nil {
		t.Fatal(err)
	}
	count := 0
	for line := range strings.Lines(string(script)) {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		count++
		r.runLine(line)
	}
	if count == 0 {
		t.Fatal("the script is empty")
	}
}

func newScriptRunner(t *testing.T) *scriptRunner {
	r := &scriptRunner{
		t:       t,
		dir:     t.TempDir(),
		service: fake.New(),
		ids:     map[string]string{},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- fake.Serve(ctx, listener, r.service) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	for _, n := range []string{"alma", "bero", "cilli", "stranger"} {
		r.writeFile(n, sign.FormatPrivateKey(r.key(n)))
	}
	r.writeFile("faulty.ini", "[file]\nname = A\n")
	r.writeFile("foreign.ini", strings.Replace(r.fileText("3", "alma"), "suedhang", "nileroll", 1))
	return r
}

func (r *scriptRunner) key(name string) ed25519.PrivateKey {
	seed := make([]byte, ed25519.SeedSize)
	copy(seed, name)
	return ed25519.NewKeyFromSeed(seed)
}

// fileText returns an operators' file with the given base and a service that is
// called mark.
func (r *scriptRunner) fileText(base, mark string) string {
	text := fmt.Sprintf("[file]\nname = suedhang\nbase = %s\nchair = alma\n", base)
	for _, n := range []string{"alma", "bero", "cilli"} {
		text += fmt.Sprintf("[operator %s]\nkey = %s\n", n, sign.FormatPublicKey(r.key(n)))
	}
	return text + fmt.Sprintf("[service %s]\naddress = 10.7.0.1:443\ncontract = once\n", mark)
}

func (r *scriptRunner) writeFile(name, text string) string {
	path := filepath.Join(r.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		r.t.Fatal(err)
	}
	return path
}

func (r *scriptRunner) runLine(line string) {
	command, want, _ := strings.Cut(line, " => ")
	command, keep, _ := strings.Cut(command, " id ")
	words := strings.Fields(command)
	arguments := []string{"clementinewing"}
	for _, w := range words[1:] {
		arguments = append(arguments, r.expandWord(w)...)
	}
	if words[1] != "check" {
		arguments = append(arguments, "--store", r.address, "--insecure")
	}
	out, code := r.runCommand(arguments)
	r.service.SetFaults(fake.Faults{})
	if fmt.Sprint(code) != words[0] {
		r.t.Fatalf("%s\ngave exit code %d:\n%s", line, code, out)
	}
	if !strings.Contains(strings.ReplaceAll(out, " ", "_"), want) {
		r.t.Fatalf("%s\ngave:\n%s", line, out)
	}
	if keep != "" {
		var printed outcome
		if err := json.Unmarshal([]byte(out), &printed); err != nil {
			r.t.Fatal(err)
		}
		r.ids[keep] = printed.ID.String()
	}
}

// expandWord returns the arguments that a word of the script stands for.
func (r *scriptRunner) expandWord(w string) []string {
	name, isFile := strings.CutPrefix(w, "@")
	base, mark, marked := strings.Cut(name, "-")
	id, isID := strings.CutPrefix(w, "$")
	switch {
	case w == "down":
		r.service.SetFaults(fake.Faults{
			Down: true,
		})
		return nil
	case w == "lost":
		r.service.SetFaults(fake.Faults{
			LostWrites: 1,
		})
		return nil
	case isFile && marked:
		return []string{r.writeFile(name+".ini", r.fileText(base, mark))}
	case isFile && (name == "faulty" || name == "foreign"):
		return []string{filepath.Join(r.dir, name+".ini")}
	case isFile:
		return []string{filepath.Join(r.dir, name)}
	case isID:
		return []string{r.ids[id]}
	default:
		return []string{w}
	}
}

// runCommand returns what a command printed and its exit code.
func (r *scriptRunner) runCommand(arguments []string) (out string, code int) {
	read, write, err := os.Pipe()
	if err != nil {
		r.t.Fatal(err)
	}
	stdout, stderr := os.Stdout, os.Stderr
	os.Stdout, os.Stderr = write, write
	printed := make(chan string, 1)
	go func() {
		text, _ := io.ReadAll(read)
		printed <- string(text)
	}()
	app := &cli.Command{
		Name:           "clementinewing",
		Commands:       allCommands(),
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	err = app.Run(ctx, arguments)
	var exit cli.ExitCoder
	switch {
	case errors.As(err, &exit):
		code = exit.ExitCode()
		fmt.Fprintln(write, err)
	case err != nil:
		code = 1
		fmt.Fprintln(write, err)
	}
	os.Stdout, os.Stderr = stdout, stderr
	_ = write.Close()
	return <-printed, code
}
