package verify_test

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/soak/verify"
	"github.com/clementinewing/clementinewing/platform/fake"
)

func TestJudge(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "judge")
}

func at(seconds float64) time.Time {
	return time.Unix(0, int64(seconds*1e9))
}

var _ = Describe("the checks of a soak run", func() {
	flow := verify.Flow{
		Opened:   at(1),
		Ended:    at(20),
		Endpoint: "a",
		Agent:    3,
		Err:      fake.ErrReset,
	}

	It("report a flow that is reset while its endpoint is alive", func() {
		Expect((&verify.Record{}).CheckReset(flow)).NotTo(Succeed())
	})

	It("allow a flow to end with its endpoint, or after a fault on its machine", func() {
		Expect((&verify.Record{EndedAt: map[string]time.Time{"a": at(19)}}).CheckReset(flow)).To(Succeed())
		Expect((&verify.Record{EndedAt: map[string]time.Time{"a": at(21)}}).CheckReset(flow)).NotTo(Succeed())
		faults := []verify.FaultWindow{{From: at(16), Until: at(17)}}
		Expect((&verify.Record{Agents: map[int][]verify.FaultWindow{3: faults}}).CheckReset(flow)).To(Succeed())
		Expect((&verify.Record{Agents: map[int][]verify.FaultWindow{2: faults}}).CheckReset(flow)).NotTo(Succeed())
		old := []verify.FaultWindow{{From: at(14), Until: at(15)}}
		Expect((&verify.Record{Agents: map[int][]verify.FaultWindow{3: old}}).CheckReset(flow)).NotTo(Succeed())
	})

	It("report an outdated plan, for added and for dropped routes", func() {
		r := &verify.Record{}
		Expect(r.CheckRoute(true, at(1), at(5), fake.ErrRefused)).NotTo(Succeed())
		Expect(r.CheckRoute(false, at(1), at(5), nil)).NotTo(Succeed())
		Expect(r.CheckRoute(true, at(1), at(3), fake.ErrRefused)).To(Succeed())
		Expect(r.CheckRoute(true, at(1), at(5), errors.New("no answer"))).To(Succeed())
		r.Store = []verify.FaultWindow{{From: at(0), Until: at(2)}}
		Expect(r.CheckRoute(false, at(1), at(5), nil)).To(Succeed())
	})

	It("allow a refusal only while every failure domain may be evacuated", func() {
		r := &verify.Record{}
		for _, zone := range []string{"nord", "sued"} {
			Expect(r.CheckRoute(true, at(1), at(12), fake.ErrRefused)).NotTo(Succeed())
			r.Evacuations = append(r.Evacuations, verify.Evacuation{
				Zone: zone,
				FaultWindow: verify.FaultWindow{
					From:  at(3),
					Until: at(9),
				},
			})
		}
		Expect(r.CheckRoute(true, at(1), at(12), fake.ErrRefused)).To(Succeed())
		Expect(r.CheckRoute(true, at(1), at(14), fake.ErrRefused)).NotTo(Succeed())
		r.Restores = append(r.Restores, at(8))
		Expect(r.CheckRoute(true, at(1), at(14), fake.ErrRefused)).To(Succeed())
	})

	It("report a request that ran twice and a system that does not recover", func() {
		Expect(verify.CheckRunCount("x", 1)).To(Succeed())
		Expect(verify.CheckRunCount("x", 2)).NotTo(Succeed())
		Expect(verify.CheckRecovery(90, 100)).To(Succeed())
		Expect(verify.CheckRecovery(89, 100)).NotTo(Succeed())
	})
})
