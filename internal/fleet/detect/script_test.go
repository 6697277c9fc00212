package detect_test

import (
	"os"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/fleet/detect"
	"github.com/clementinewing/clementinewing/internal/fleet/lease"
)

const tickInterval = 50 * time.Millisecond

var (
	endpoint = lease.Key{
		Service:     1,
		Incarnation: 2,
	}
	healths = map[string]lease.Health{
		"live":    lease.Live,
		"suspect": lease.Suspect,
		"absent":  lease.Absent,
	}
)

// scriptRunner runs one script against a detector and collects its actions.
type scriptRunner struct {
	detector    *detect.Detector
	now         time.Time
	actions     []string
	leaseHealth lease.Health
	paused      bool
}

func (p *scriptRunner) step(e detect.Event) {
	for _, a := range p.detector.Step(p.now, e) {
		switch a := a.(type) {
		case detect.Probe:
			p.actions = append(p.actions, map[bool]string{
				false: "probe",
				true:  "fresh",
			}[a.NewLink])
		case detect.SuspicionChanged:
			p.actions = append(p.actions, map[bool]string{
				false: "trust",
				true:  "suspect",
			}[a.Suspect])
		}
	}
}

func (p *scriptRunner) advance(until time.Time) {
	for !p.paused && p.now.Before(until) {
		p.now = p.now.Add(tickInterval)
		p.step(detect.Tick{})
	}
	if p.paused {
		p.now = until
		p.paused = false
		p.step(detect.Tick{})
	}
}

func (p *scriptRunner) runEvent(words []string) {
	switch words[1] {
	case "use":
		p.step(detect.EndpointUsed{
			Key: endpoint,
		})
	case "answer":
		p.step(detect.PacketFromEndpoint{
			Key: endpoint,
		})
	case "judge":
		p.leaseHealth = healths[words[2]]
		p.step(detect.HealthLearned{
			Key:    endpoint,
			Health: p.leaseHealth,
		})
	case "pause":
		p.paused = true
	case "health":
		Expect(p.detector.Health(p.now, endpoint, p.leaseHealth)).To(Equal(healths[words[2]]))
	default:
		panic("unknown event " + words[1])
	}
}

var _ = Describe("the failure detector", func() {
	raw, err := os.ReadFile("testdata/watch.txt")
	if err != nil {
		panic(err)
	}
	for _, part := range strings.Split(string(raw), "\n[")[1:] {
		name, script, _ := strings.Cut(part, "]\n")
		It(name, func() {
			p := &scriptRunner{
				detector:    detect.New(),
				now:         time.Unix(0, 0),
				leaseHealth: lease.Live,
			}
			for text := range strings.Lines(script) {
				event, want, _ := strings.Cut(strings.TrimSpace(text), "->")
				words := strings.Fields(event)
				if len(words) < 2 {
					continue
				}
				ms, err := strconv.Atoi(words[0])
				Expect(err).NotTo(HaveOccurred())
				p.advance(time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond))
				p.runEvent(words)
				Expect(strings.Join(p.actions, ", ")).To(Equal(strings.TrimSpace(want)), text)
				p.actions = nil
			}
		})
	}
})
