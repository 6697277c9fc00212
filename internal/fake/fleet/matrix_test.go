package fleet_test

import (
	"fmt"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// fault is one fault of the matrix: its name and its operations.
type fault struct {
	name       string
	operations []string
}

// injection is a fault at a step of the observed flow.
type injection struct {
	fault fault
	step  string
}

func (s injection) String() string { return s.fault.name + "@" + s.step }

func readMatrix() (steps []string, faults []fault) {
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
				name:       fields[1],
				operations: fields[3:],
			})
		}
	}
	return steps, faults
}

// In the roomy variant the first candidate admits a SYN. In the tight variant, agents
// forward most SYNs to another candidate.
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
	steps, faults := readMatrix()

	It("keeps every guarantee under each fault at each step", func() {
		var failed []string
		fmt.Fprintf(GinkgoWriter, "%-30s", "")
		for _, s := range steps {
			fmt.Fprintf(GinkgoWriter, " %-20s", s)
		}
		for _, f := range faults {
			fmt.Fprintf(GinkgoWriter, "\n%-30s", f.name)
			for _, s := range steps {
				text, broken := runCell(f, s)
				failed = append(failed, broken...)
				fmt.Fprintf(GinkgoWriter, " %-20s", text)
			}
		}
		fmt.Fprintln(GinkgoWriter)
		Expect(failed).To(BeEmpty())
	})

	It("keeps every guarantee under each pair of faults", func() {
		var failed []string
		cells, ran, injected := 0, 0, 0
		for i, a := range faults {
			for j, b := range faults {
				for k, step := range steps {
					cells++
					if cells%pairStride() != 0 {
						continue
					}
					ran++
					second := steps[(k+(i+j)%len(steps))%len(steps)]
					w := simulate(uint64(cells), variants[cells%2].slots, injection{
						fault: a,
						step:  step,
					}, injection{
						fault: b,
						step:  second,
					})
					injected += w.injected
					for _, f := range w.failures() {
						failed = append(failed, fmt.Sprintf("%s@%s + %s@%s (%d): %s", a.name, step, b.name, second, cells, f))
					}
				}
			}
		}
		fmt.Fprintf(GinkgoWriter, "%d of %d pairs run, %d of %d faults injected, %d failures\n", ran, cells, injected, 2*ran, len(failed))
		Expect(failed).To(BeEmpty())
	})
})

// runAll reports whether to run every pair and more seeds. By default, as in CI, one
// pair in pairStride runs.
func runAll() bool {
	return os.Getenv("MATRIX") == "all"
}

func pairStride() int {
	if runAll() {
		return 1
	}
	return 61
}

func seedCount() uint64 {
	if runAll() {
		return 20
	}
	return 1
}

// runCell runs one fault at one step with several seeds. The text says in how many runs
// the observed flow finished and, if not in all, in how many the fault was injected.
func runCell(f fault, step string) (text string, failed []string) {
	runs, injected, finished := 0, 0, 0
	for _, v := range variants {
		for seed := range seedCount() {
			w := simulate(seed+1, v.slots, injection{
				fault: f,
				step:  step,
			})
			runs++
			injected += w.injected
			if w.finished() {
				finished++
			}
			for _, x := range w.failures() {
				failed = append(failed, fmt.Sprintf("%s@%s %s seed %d: %s", f.name, step, v.name, seed+1, x))
			}
		}
	}
	text = fmt.Sprintf("%d/%d finished", finished, runs)
	if injected < runs {
		text += fmt.Sprintf(", %d injected", injected)
	}
	if len(failed) > 0 {
		text = "FAILED"
	}
	return text, failed
}

const maxRunTime = 240 * time.Second
