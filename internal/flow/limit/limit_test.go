package limit_test

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/clementinewing/clementinewing/internal/flow/limit"
)

// init fixes the seed of rapid, so that every run draws the same histories.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func TestAdaptiveStaysBetweenOneSlotAndItsCeiling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		ceiling := rapid.IntRange(1, 50).Draw(t, "ceiling")
		a := limit.NewAdaptive(ceiling)
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			before := a.Slots(now)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				a.RecordRefusal(now, rapid.IntRange(0, ceiling).Draw(t, "busy"))
			case 1:
				a.RecordAnswer(now, now.Add(-time.Duration(rapid.IntRange(0, 500).Draw(t, "latency"))*time.Millisecond))
			case 2:
				hard := a.HardLimit(now)
				a.RecordReport(now, rapid.IntRange(0, 100).Draw(t, "reported"))
				if a.HardLimit(now) != hard || a.Slots(now) > max(before, hard) {
					t.Fatalf("a report raised the limit from %d to %d", before, a.Slots(now))
				}
			case 3:
				ceiling = rapid.IntRange(1, 50).Draw(t, "ceiling")
				a.SetCeiling(ceiling)
			}
			slots, hard := a.Slots(now), a.HardLimit(now)
			if slots < 1 || slots > hard || hard > ceiling {
				t.Fatalf("%d slots, hard limit %d, ceiling %d", slots, hard, ceiling)
			}
		}
		now = now.Add(time.Minute)
		if a.HardLimit(now) != ceiling {
			t.Fatalf("%d slots of %d one minute after the last refusal", a.HardLimit(now), ceiling)
		}
	})
}

func TestBudgetLimitsForwards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		burst := rapid.IntRange(0, 20).Draw(t, "burst")
		ratio := rapid.IntRange(0, 4).Draw(t, "ratio")
		b := limit.NewBudget(float64(ratio), float64(burst))
		newFlows, spent := 0, 0
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				b.AddTokens()
				newFlows++
			case 1:
				if b.Spend() {
					spent++
				}
			case 2:
				if b.SpendAfterWait() {
					spent++
				}
			}
			if spent > burst+ratio*newFlows {
				t.Fatalf("%d forwards for %d new flows", spent, newFlows)
			}
		}
	})
}

func TestRampAddsOneSlotAtATime(t *testing.T) {
	begin := time.Unix(0, 0)
	r := limit.Ramp{
		StartAt: begin,
		WarmAt:  begin.Add(time.Second),
	}
	last := 0
	for ms := -10; ms < 1100; ms++ {
		got := r.Slots(begin.Add(time.Duration(ms)*time.Millisecond), 7)
		if got < last || got < 1 || got > last+1 {
			t.Fatalf("%d slots after %d at %d ms", got, last, ms)
		}
		last = got
	}
	if last != 7 {
		t.Fatalf("%d slots at the end", last)
	}
}
