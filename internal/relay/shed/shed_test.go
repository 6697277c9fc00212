package shed_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/relay/shed"
)

func TestShed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "shed")
}

const (
	slots    = 3
	slotTime = 45 * time.Millisecond
	target   = 250 * time.Millisecond
	attempt  = 1340 * time.Millisecond
)

var start = time.Unix(0, 0).UTC()

func newRequest(priority uint8, age time.Duration) shed.Request {
	return shed.Request{
		Priority:  priority,
		ArrivedAt: start.Add(-age),
		StartBy:   start.Add(target - age),
		GiveUpAt:  start.Add(attempt - age),
	}
}

// newQueue returns a busy endpoint with n requests of a priority that wait.
func newQueue(n int, priority uint8) *shed.Queue {
	q := &shed.Queue{
		Slots:    slots,
		Capacity: slots + 1,
		InUse:    slots + 1,
	}
	for i := range n {
		q.Waiting = append(q.Waiting, newRequest(priority, time.Duration(n-i)*time.Millisecond))
	}
	return q
}

var _ = Describe("The order of requests", func() {
	It("is priority and remaining time among those in time, then the latest arrival", func() {
		urgent := newRequest(1, 50*time.Millisecond)
		older := newRequest(2, 100*time.Millisecond)
		newer := newRequest(2, 20*time.Millisecond)
		lateUrgent := newRequest(1, 400*time.Millisecond)
		late := newRequest(2, 300*time.Millisecond)
		list := []shed.Request{lateUrgent, newer, late, older, urgent}
		slices.SortFunc(list, func(a, b shed.Request) int {
			if a.Before(&b, start) {
				return -1
			}
			return 1
		})
		Expect(list).To(Equal([]shed.Request{urgent, older, newer, late, lateUrgent}))
	})
})

var _ = Describe("The slot time", func() {
	It("follows an endpoint that slows down by three within 20 answers", func() {
		e := shed.New(slotTime)
		for range 20 {
			e.RecordAnswer(3*slotTime, slots, slots)
		}
		Expect(e.SlotTime()).To(BeNumerically(">", 3*slotTime*85/100))
	})

	It("does not take a few long requests for a slow endpoint", func() {
		e := shed.New(slotTime)
		for i := range 1000 {
			took := slotTime
			if i%33 == 0 {
				took *= 7
			}
			e.RecordAnswer(took, slots, slots)
			Expect(e.SlotTime()).To(BeNumerically("<", slotTime*3/2))
		}
	})

	It("leaves out the wait for a slot at the endpoint", func() {
		e := shed.New(slotTime)
		for range 100 {
			e.RecordAnswer(slotTime*4/3, slots+1, slots)
		}
		Expect(e.SlotTime()).To(BeNumerically("~", slotTime, time.Millisecond))
	})
})

var _ = Describe("An estimate", func() {
	It("tells requests in time from late ones and from those that cannot be served", func() {
		e := shed.New(slotTime)
		for _, c := range []struct {
			waiting        int
			onTime, served bool
		}{
			{waiting: 0, onTime: true, served: true},
			{waiting: 10, onTime: true, served: true},
			{waiting: 30, onTime: false, served: true},
			{waiting: 95, onTime: false, served: false},
		} {
			r := newRequest(2, 0)
			onTime, served, ahead := e.Serves(start, newQueue(c.waiting, 2), &r, shed.Expected)
			Expect([]any{onTime, served, ahead}).To(Equal([]any{c.onTime, c.served, slots + 1 + c.waiting}))
		}
	})

	It("leaves to lower priorities what higher ones do not need, and to late requests the rest", func() {
		for _, c := range []struct {
			priority       uint8
			perSecond      int
			age            time.Duration
			onTime, served bool
		}{
			{priority: 1, perSecond: 66, onTime: true, served: true},
			{priority: 2, perSecond: 66, onTime: false, served: false},
			{priority: 2, perSecond: 30, onTime: true, served: true},
			{priority: 2, perSecond: 30, age: target, onTime: false, served: true},
			{priority: 1, perSecond: 66, age: target, onTime: false, served: false},
		} {
			e := shed.New(slotTime)
			for i := range 5 * c.perSecond {
				e.RecordArrival(start.Add(time.Duration(i-5*c.perSecond)*time.Second/time.Duration(c.perSecond)), 1, true)
			}
			r := newRequest(c.priority, c.age)
			onTime, served, _ := e.Serves(start, newQueue(3, 1), &r, shed.Expected)
			Expect([]bool{onTime, served}).To(Equal([]bool{c.onTime, c.served}), "%+v", c)
		}
	})

	It("gives up only what cannot be served, and never a request on an open flow", func() {
		e := shed.New(slotTime)
		q := newQueue(0, 2)
		for i := range 200 {
			r := newRequest(2, target+time.Duration(i)*time.Millisecond)
			r.Held = i%2 == 0
			q.Waiting = append(q.Waiting, r)
		}
		list := e.Futile(start, q)
		Expect(list).NotTo(BeEmpty())
		for _, i := range list {
			Expect(q.Waiting[i].Held).To(BeFalse())
		}
		// What is kept fits into the longest attempt that is left, and nothing less is kept.
		kept := list[0]
		Expect(time.Duration(kept+1) * slotTime / slots).To(BeNumerically(">", q.Waiting[kept].GiveUpAt.Sub(start)))
		Expect(e.Futile(start, newQueue(10, 2))).To(BeEmpty())
	})
})
