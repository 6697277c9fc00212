package warm_test

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/fake/script"
	"github.com/clementinewing/clementinewing/internal/relay/warm"
)

func TestWarm(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "warm")
}

// capacity is the requests per second of a warm endpoint in the scripts.
const capacity = 100

var _ = Describe("Limiter", func() {
	cases, err := script.Read("testdata/warm.txt")
	if err != nil {
		panic(err)
	}
	for _, c := range cases {
		It(c.Name, func() {
			l := warm.Limits{
				Overage: 1.5,
				Slack:   5,
			}
			if strings.Contains(c.Name, "[overage 0.5]") {
				l = warm.Limits{
					Overage: 0.5,
				}
			}
			w := warm.New(l)
			if strings.Contains(c.Name, "[started]") {
				w.Run(time.UnixMilli(-10_000))
			}
			for i := range c.Lines {
				l := &c.Lines[i]
				w.Run(l.At)
				Expect(step(w, l)).To(Equal(l.Want), "line %d", l.Number)
			}
		})
	}

	// The count that operators make: SYNs in any sliding second of a cold endpoint, whatever
	// order reports, suspicions and SYNs come in.
	It("never lets a cold endpoint have more in any second than operators allow", func() {
		for seed := range uint64(200) {
			random := rand.New(rand.NewPCG(seed, 1))
			rate := 1 + 30*random.Float64()
			w := warm.New(warm.Limits{
				Overage: 1.5,
				Slack:   5,
			})
			w.SetRate(rate)
			now := time.UnixMilli(0)
			coldUntil := now.Add(8 * time.Second)
			var given []time.Time
			for now.Before(coldUntil) {
				now = now.Add(time.Duration(random.IntN(20)) * time.Millisecond)
				w.Run(now)
				switch random.IntN(20) {
				case 0:
					w.Report(now, coldUntil)
				case 1:
					w.Suspect()
				default:
					if !w.Full(now) {
						w.Deliver(now)
						given = append(given, now)
					}
				}
			}
			Expect(mostInASecond(given)).To(BeNumerically("<=", rate*1.5+5))
			Expect(len(given)).To(BeNumerically(">=", int(rate)*6), "the limit leaves the endpoint its rate")
		}
	})
})

func mostInASecond(at []time.Time) (most int) {
	for i := range at {
		count := 0
		for _, t := range at[i:] {
			if t.Sub(at[i]) <= time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

func step(w *warm.Limiter, l *script.Line) string {
	switch l.Event {
	case "rate":
		rate := float64(l.Int("n", 0))
		if l.Has("tenths") {
			rate /= 10
		}
		w.SetRate(rate)
		return ""
	case "report":
		w.Report(l.At, l.At.Add(time.Duration(l.Int("cold", 0))*time.Millisecond))
		return ""
	case "suspect":
		w.Suspect()
		return ""
	case "alive":
		w.Alive(l.At)
		return ""
	case "syns":
		got := 0
		for range l.Int("n", 0) {
			if !w.Full(l.At) && !w.Ramping(l.At, capacity) {
				w.Deliver(l.At)
				got++
			}
		}
		return strconv.Itoa(got)
	default:
		if w.Full(l.At) {
			return "no"
		}
		w.Deliver(l.At)
		return "yes"
	}
}
