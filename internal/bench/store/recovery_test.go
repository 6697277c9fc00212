package store

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// scenario runs one scenario of the script.
type scenario struct {
	t        *testing.T
	fleet    *fleet
	operator *operator
	highest  map[string]uint64
}

func TestRecovery(t *testing.T) {
	text, err := os.ReadFile("testdata/recovery.txt")
	if err != nil {
		t.Fatal(err)
	}
	blocks := strings.Split(string(text), "\nscenario ")[1:]
	if len(blocks) == 0 {
		t.Fatal("the script is empty")
	}
	for _, b := range blocks {
		name, steps, _ := strings.Cut(b, "\n")
		t.Run(name, func(t *testing.T) {
			s := &scenario{
				t:        t,
				operator: newOperator(),
				highest:  map[string]uint64{},
			}
			for line := range strings.Lines(steps) {
				if words := strings.Fields(line); len(words) > 0 {
					s.runStep(words)
				}
			}
		})
	}
}

func (s *scenario) runStep(words []string) {
	switch words[0] {
	case "start":
		s.fleet = newFleet(1, s.number(words[1]), s.number(words[2]))
		for place := range s.fleet.nodes {
			s.fleet.startNode(place)
		}
	case "apply":
		if err := s.operator.applyNext(s.fleet); err != nil {
			s.t.Fatal(err)
		}
	case "run":
		s.run(s.number(words[1]))
	case "replace":
		s.replace(words[1:])
	case "down", "up":
		s.fleet.setDown(words[0] == "down")
	case "cut", "heal":
		s.fleet.setCut(s.number(words[1]), words[0] == "cut")
	case "drop":
		s.fleet.memory.DropWatches()
	case "all":
		s.expect(s.fleet.nodes, words[1])
	case "domain":
		s.expect(s.fleet.domains[s.number(words[1])], words[2])
	default:
		s.t.Fatalf("unknown step %q", words[0])
	}
}

// run advances the clock and checks after each second that no node has gone back to
// an earlier revision.
func (s *scenario) run(seconds int) {
	for range seconds {
		s.fleet.clock.Run(s.fleet.clock.Now().Add(time.Second))
		for _, n := range s.fleet.nodes {
			revision := n.machine.ActiveFile().Revision()
			if revision < s.highest[n.name] {
				s.t.Fatalf("%s went back from revision %d to %d", n.name, s.highest[n.name], revision)
			}
			s.highest[n.name] = revision
		}
	}
}

func (s *scenario) replace(words []string) {
	for place, n := range s.fleet.nodes {
		switch {
		case words[0] == "half" && place%2 == 0,
			words[0] == "domain1" && n.domain != 1:
			continue
		}
		s.fleet.startNode(place)
		if words[0] == "one_by_one" {
			s.run(s.number(words[1]) / len(s.fleet.nodes))
		}
	}
}

func (s *scenario) expect(nodes []*node, revision string) {
	for _, n := range nodes {
		if got := n.machine.ActiveFile().Revision(); got != uint64(s.number(revision)) {
			s.t.Errorf("%s of domain %d has revision %d, want %s", n.name, n.domain, got, revision)
		}
	}
}

func (s *scenario) number(word string) int {
	n, err := strconv.Atoi(word)
	if err != nil {
		s.t.Fatal(err)
	}
	return n
}
