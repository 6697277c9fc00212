package lookup_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/lookup"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

func TestLookup(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lookup")
}

const (
	balancer = frame.Host(90)
	flagAck  = 0x10
)

func packet(port int, acknowledgment uint32) link.Packet {
	return link.Packet{
		Key: link.Key{
			Caller:     7,
			CallerPort: uint16(port),
			Target:     8,
			TargetPort: 443,
			Protocol:   6,
		},
		Sequence:       1000,
		Acknowledgment: acknowledgment,
		Flags:          flagAck,
	}
}

func newFlow(port int, hosts ...frame.Host) *lookup.Flow {
	p := packet(port, 501)
	return &lookup.Flow{
		FlowQuery: frame.FlowQuery{
			Key:            p.Key,
			Acknowledgment: p.Acknowledgment,
			Acknowledges:   true,
		},
		Hosts:   hosts,
		Denials: lookup.NewDenials(p),
	}
}

// answer returns an agent's answer to a question with the same verdict for each flow.
func answer(q lookup.Question, verdict frame.Verdict) frame.OwnerAnswers {
	m := frame.OwnerAnswers{
		BatchID:   q.Batch.BatchID,
		Digest:    frame.FlowsDigest(q.Batch.Flows),
		Host:      q.To,
		TableSize: frame.NoSummary,
	}
	for range q.Batch.Flows {
		m.Verdicts = append(m.Verdicts, verdict)
	}
	return m
}

var _ = Describe("Questions", func() {
	start := time.UnixMilli(1000)

	It("are sent at once for the first flow and collected for the next ones", func() {
		a := lookup.NewAsker(balancer)
		a.Ask(newFlow(1, 1, 2))
		Expect(a.Send(start).Questions).To(HaveLen(2))
		a.Ask(newFlow(2, 1, 2))
		Expect(a.Send(start.Add(10 * time.Millisecond)).Questions).To(BeEmpty())
		a.Ask(newFlow(3, 1))
		r := a.Send(start.Add(50 * time.Millisecond))
		Expect(r.Questions).To(HaveLen(2))
		Expect(r.Questions[0].Batch.Flows).To(HaveLen(2))
		Expect(a.Waiting()).To(BeZero())
	})

	// Guards against lookups that take the link from new flows.
	It("stay within 375 KB in any second", func() {
		a := lookup.NewAsker(balancer)
		hosts := make([]frame.Host, 65)
		for i := range hosts {
			hosts[i] = frame.Host(i + 1)
		}
		var sent []int
		for step := range 100 {
			for i := range 100 {
				a.Ask(newFlow(100*step+i, hosts...))
			}
			bytes := 0
			for _, q := range a.Send(start.Add(time.Duration(step) * 20 * time.Millisecond)).Questions {
				bytes += 2*28 + len(frame.Append(nil, q.Batch)) + len(frame.Append(nil, answer(q, frame.Denied)))
			}
			sent = append(sent, bytes)
			second := 0
			for _, n := range sent[max(0, len(sent)-50):] {
				second += n
			}
			Expect(second).To(BeNumerically("<=", 375_000))
		}
	})

	// Guards against denials of other flows that are taken for those of a batch with the same
	// number, after a balancer has restarted.
	It("accept no answer to a batch of an earlier process", func() {
		earlier, a := lookup.NewAsker(balancer), lookup.NewAsker(balancer)
		earlier.Ask(newFlow(1, 1))
		late := answer(earlier.Send(start).Questions[0], frame.Denied)
		f := newFlow(2, 1)
		a.Ask(f)
		q := a.Send(start).Questions[0]
		Expect(q.Batch.BatchID).To(Equal(late.BatchID))
		Expect(a.Receive(start, late)).To(BeEmpty())
		Expect(f.Denials.Missing(f.Hosts)).To(Equal(f.Hosts))
		Expect(a.Receive(start, answer(q, frame.Denied))).To(HaveLen(1))
		Expect(f.Denials.Missing(f.Hosts)).To(BeEmpty())
	})

	// Guards against summaries that deny flows that are in them, and summaries of an agent that
	// has restarted and no longer has a complete table.
	It("use a summary as a denial of the flows that are not in it", func() {
		a := lookup.NewAsker(balancer)
		a.Ask(newFlow(1, 1))
		m := answer(a.Send(start).Questions[0], frame.Denied)
		m.TableSize = 1
		a.Receive(start, m)
		x, y := newFlow(2, 1), newFlow(3, 1)
		a.Ask(x)
		a.Ask(y)
		q := a.Send(start.Add(time.Second)).Questions[0]
		Expect(q.Batch.Flows).To(BeEmpty())
		m = answer(q, frame.Denied)
		m.TableSize = 1
		m.Hashes = []uint32{frame.FlowHash(y.Key)}
		Expect(a.Receive(start, m)).To(HaveLen(1))
		Expect(x.Denials.Missing(x.Hosts)).To(BeEmpty())
		Expect(y.Denials.Missing(y.Hosts)).To(Equal(y.Hosts))
		Expect(a.Send(start.Add(2 * time.Second)).Questions[0].Batch.Flows).To(Equal([]frame.FlowQuery{y.FlowQuery}))

		z := newFlow(4, 1)
		a.Ask(z)
		a.Ask(newFlow(5, 1))
		q = a.Send(start.Add(3 * time.Second)).Questions[0]
		Expect(q.Batch.Flows).To(BeEmpty())
		Expect(a.Receive(start, answer(q, frame.Denied))).To(BeEmpty())
		Expect(a.Send(start.Add(4 * time.Second)).Questions[0].Batch.Flows).To(HaveLen(2))
	})
})

var _ = Describe("Denials", func() {
	// Guards against denials of a dead flow that count for another flow of the same port whose
	// SYN has passed through another balancer.
	It("hold for packets of the same flow only", func() {
		d := lookup.NewDenials(packet(1, 501))
		Expect(d.Covers(packet(1, 501))).To(BeTrue())
		Expect(d.Covers(packet(1, 2000))).To(BeTrue())
		Expect(d.Covers(packet(1, 90_000_000))).To(BeFalse())
	})
})
