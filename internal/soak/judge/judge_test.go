package judge_test

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/soak/judge"
	"github.com/clementinewing/clementinewing/platform/fake"
)

func TestJudge(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "judge")
}

func at(seconds float64) time.Time {
	return time.Unix(0, int64(seconds*1e9))
}

var _ = Describe("the judge", func() {
	flow := judge.Flow{
		Opened:   at(1),
		Ended:    at(20),
		Endpoint: "a",
		Side:     3,
		Err:      fake.ErrReset,
	}

	It("catches a flow that is cut while its endpoint lives", func() {
		Expect((&judge.Record{}).Reset(flow)).NotTo(Succeed())
	})

	It("lets a flow end with its endpoint, or after harm to its machine", func() {
		Expect((&judge.Record{Ended: map[string]time.Time{"a": at(19)}}).Reset(flow)).To(Succeed())
		Expect((&judge.Record{Ended: map[string]time.Time{"a": at(21)}}).Reset(flow)).NotTo(Succeed())
		harm := []judge.Harm{{From: at(16), Until: at(17)}}
		Expect((&judge.Record{Sides: map[int][]judge.Harm{3: harm}}).Reset(flow)).To(Succeed())
		Expect((&judge.Record{Sides: map[int][]judge.Harm{2: harm}}).Reset(flow)).NotTo(Succeed())
		old := []judge.Harm{{From: at(14), Until: at(15)}}
		Expect((&judge.Record{Sides: map[int][]judge.Harm{3: old}}).Reset(flow)).NotTo(Succeed())
	})

	It("catches an old plan in force, both ways", func() {
		r := &judge.Record{}
		Expect(r.Route(true, at(1), at(5), fake.ErrRefused)).NotTo(Succeed())
		Expect(r.Route(false, at(1), at(5), nil)).NotTo(Succeed())
		Expect(r.Route(true, at(1), at(3), fake.ErrRefused)).To(Succeed())
		Expect(r.Route(true, at(1), at(5), errors.New("no answer"))).To(Succeed())
		r.Store = []judge.Harm{{From: at(0), Until: at(2)}}
		Expect(r.Route(false, at(1), at(5), nil)).To(Succeed())
	})

	It("catches a doubled run and a system that does not recover", func() {
		Expect(judge.Runs("x", 1)).To(Succeed())
		Expect(judge.Runs("x", 2)).NotTo(Succeed())
		Expect(judge.Recovered(90, 100)).To(Succeed())
		Expect(judge.Recovered(89, 100)).NotTo(Succeed())
	})
})
