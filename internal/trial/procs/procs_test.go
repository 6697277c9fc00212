// Package procs tests what callers observe while real processes of the system are
// killed, frozen and stopped.
package procs_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

func TestProcs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "procs")
}

var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL,
	"TERM": syscall.SIGTERM,
	"STOP": syscall.SIGSTOP,
	"CONT": syscall.SIGCONT,
}

var program, fake string

var _ = BeforeSuite(func() {
	var err error
	program, err = gexec.Build("github.com/clementinewing/clementinewing/cmd/clementinewing")
	Expect(err).NotTo(HaveOccurred())
	fake, err = gexec.Build("github.com/clementinewing/clementinewing/cmd/cwfake")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gexec.CleanupBuildArtifacts)
})

var _ = Describe("callers see no broken flow when", func() {
	script, err := os.ReadFile("testdata/faults.txt")
	if err != nil {
		panic(err)
	}
	for _, block := range strings.Split(string(script), "\n== ")[1:] {
		name, steps, _ := strings.Cut(block, "\n")
		It(name, func() {
			f := newFleet(program, fake)
			f.startLoad()
			time.Sleep(time.Second)
			for line := range strings.Lines(steps) {
				f.runStep(strings.Fields(line))
			}
		})
	}
})

func (f *fleet) runStep(step []string) {
	switch step[0] {
	case "signal":
		f.sessions[step[1]].Signal(signals[step[2]])
	case "wait":
		millis, err := strconv.Atoi(step[1])
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Duration(millis) * time.Millisecond)
	case "unplug":
		delete(f.fabrics, step[1])
		f.updateFabric()
	case "await":
		Eventually(f.sessions[step[1]].Exited).WithTimeout(eventTimeout).Should(BeClosed())
	case "died":
		f.dead.Store(step[1], true)
		f.killedAt.Store(time.Now().UnixNano())
	case "keys":
		f.setKeys(map[string]string{
			"both_seal_first":  firstKey + secondKey + "seal = 1\n",
			"both_seal_second": firstKey + secondKey + "seal = 2\n",
			"second":           secondKey,
		}[step[1]])
	case "restart":
		f.restart(step[1])
	case "broken":
		f.checkScore(step[1])
	default:
		Fail(fmt.Sprintf("no step called %q", step[0]))
	}
}

// restart replaces a balancer by a new process without any state.
func (f *fleet) restart(name string) {
	address := f.fabrics[name]
	delete(f.fabrics, name)
	f.updateFabric()
	f.sessions[name].Terminate().Wait(eventTimeout)
	f.start(name, f.commands[name]...)
	f.awaitBalancer(name)
	f.fabrics[name] = address
	f.updateFabric()
}

func (f *fleet) checkScore(broken string) {
	f.endLoad()
	f.load.Wait()
	l := f.score.Line()
	Expect(l.FlowsFinished).To(BeNumerically(">", 100))
	Expect(l.Examples).To(BeEmpty())
	Expect([]int{l.BrokenPlanned, l.Doubled, l.Misrouted, l.FalseNotRun, l.Lost}).To(Equal([]int{0, 0, 0, 0, 0}))
	if broken == "none" {
		Expect(l.BrokenByDeath).To(BeZero())
	}
}
