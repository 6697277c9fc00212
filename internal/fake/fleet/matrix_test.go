package fleet_test

import (
	"fmt"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// fault is one line of the matrix: a name and what is done.
type fault struct {
	name string
	does []string
}

// strike is a fault at a step of the watched flow.
type strike struct {
	fault fault
	step  string
}

func (s strike) String() string { return s.fault.name + "@" + s.step }

func matrix() (steps []string, faults []fault) {
	script, err := os.ReadFile("testdata/matrix.txt")
	if err != nil {
		panic(err)
	}
	for line := range strings.Lines(string(script)) {
		fields := strings.Fields(line)
		switch {
		case len(fields) < 2 || fields[0] == "#":
		case fields[0] == "step":
			steps = append(steps, fields[1])
		case fields[0] == "fault":
			faults = append(faults, fault{
				name: fields[1],
				does: fields[3:],
			})
		}
	}
	return steps, faults
}

// roomy services take an opening at its first candidate; tight ones hand most on.
var variants = []struct {
	name  string
	slots int
}{
	{
		name:  "roomy",
		slots: 7,
	},
	{
		name:  "tight",
		slots: 1,
	},
}

var _ = Describe("Fault matrix", func() {
	steps, faults := matrix()

	It("has every fault at every step", func() {
		var failed []string
		fmt.Fprintf(GinkgoWriter, "%-30s", "")
		for _, s := range steps {
			fmt.Fprintf(GinkgoWriter, " %-20s", s)
		}
		for _, f := range faults {
			fmt.Fprintf(GinkgoWriter, "\n%-30s", f.name)
			for _, s := range steps {
				text, broken := cell(f, s)
				failed = append(failed, broken...)
				fmt.Fprintf(GinkgoWriter, " %-20s", text)
			}
		}
		fmt.Fprintln(GinkgoWriter)
		Expect(failed).To(BeEmpty())
	})

	It("has every pair of faults", func() {
		var failed []string
		cells, played, struck := 0, 0, 0
		for i, a := range faults {
			for j, b := range faults {
				for k, step := range steps {
					cells++
					if cells%stride() != 0 {
						continue
					}
					played++
					second := steps[(k+(i+j)%len(steps))%len(steps)]
					w := play(uint64(cells), variants[cells%2].slots, strike{
						fault: a,
						step:  step,
					}, strike{
						fault: b,
						step:  second,
					})
					struck += w.struck
					for _, f := range w.failures() {
						failed = append(failed, fmt.Sprintf("%s@%s + %s@%s (%d): %s", a.name, step, b.name, second, cells, f))
					}
				}
			}
		}
		fmt.Fprintf(GinkgoWriter, "%d of %d pairs, %d of %d faults struck, %d failures\n", played, cells, struck, 2*played, len(failed))
		Expect(failed).To(BeEmpty())
	})
})

// all asks for every pair and more seeds; CI takes one pair in stride.
func all() bool {
	return os.Getenv("MATRIX") == "all"
}

func stride() int {
	if all() {
		return 1
	}
	return 61
}

func seeds() uint64 {
	if all() {
		return 20
	}
	return 1
}

// cell plays one fault at one step over several seeds and tells in how many of
// them it struck and the watched flow finished.
func cell(f fault, step string) (text string, failed []string) {
	plays, struck, finished := 0, 0, 0
	for _, v := range variants {
		for seed := range seeds() {
			w := play(seed+1, v.slots, strike{
				fault: f,
				step:  step,
			})
			plays++
			struck += w.struck
			if w.finished() {
				finished++
			}
			for _, x := range w.failures() {
				failed = append(failed, fmt.Sprintf("%s@%s %s seed %d: %s", f.name, step, v.name, seed+1, x))
			}
		}
	}
	text = fmt.Sprintf("%d/%d finished", finished, plays)
	if struck < plays {
		text += fmt.Sprintf(", %d struck", struck)
	}
	if len(failed) > 0 {
		text = "FAILED"
	}
	return text, failed
}

const longest = 240 * time.Second
