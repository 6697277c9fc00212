package admit_test

import (
	"testing"
	"time"

	"github.com/clementinewing/clementinewing/internal/flow/admit"
)

func BenchmarkDecideAdmitRelease(b *testing.B) {
	c := admit.New(admit.Limits{
		Slots:       7,
		Connections: 2000,
	})
	now := time.Unix(0, 0)
	request := admit.Request{
		Candidates: 7,
		Deadline:   now.Add(time.Second),
	}
	served := admit.Outcome{
		Result:    admit.Served,
		HoldsSlot: true,
	}
	b.ReportAllocs()
	for b.Loop() {
		if c.Decide(now, request).Admitted {
			c.Admit(now)
			c.Release(now, served)
		}
	}
}
