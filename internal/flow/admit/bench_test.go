package admit_test

import (
	"testing"
	"time"

	"github.com/clementinewing/clementinewing/internal/flow/admit"
)

func BenchmarkAskTakeRelease(b *testing.B) {
	c := admit.New(admit.Limits{
		Slots:       7,
		Connections: 2000,
	})
	now := time.Unix(0, 0)
	ask := admit.Ask{
		Candidates: 7,
		Deadline:   now.Add(time.Second),
	}
	served := admit.Outcome{
		Result:  admit.Served,
		Working: true,
	}
	b.ReportAllocs()
	for b.Loop() {
		if c.Ask(now, ask).Take {
			c.Take(now)
			c.Release(now, served)
		}
	}
}
