// Package lookup asks agents which of them owns flows whose owner a balancer does not know.
// It is a pure state machine.
//
// The load that it addresses is a loss of power in a large deployment: thousands of callers
// send packets of flows that no endpoint holds any more, and each flow has to be denied by
// every agent before its caller may be told. One question for each flow and agent exceeds the
// link and the processor of a small balancer, and the new flows of the same callers are lost.
// So the questions about many flows are sent in batches, within a budget of bytes, and an
// agent that has denied a flow is not asked about it again.
package lookup

import (
	"cmp"
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
)

const (
	// collectInterval is the least time between two rounds of questions. A lookup that is alone
	// does not wait for it.
	collectInterval = 50 * time.Millisecond
	// bytesPerSecond is the rate at which lookups may use the balancer's link, in both
	// directions together. With one round of maxRoundBytes and the packets of maxPacketDebt
	// beyond it, the bytes of any second stay below 30 % of a link of 10 Mbit/s, which is
	// 375 KB. The rest is for new flows and for packets with a known owner.
	bytesPerSecond = 270_000
	maxRoundBytes  = 70_000
	maxPacketDebt  = 100 * time.Millisecond
	// datagramBytes are the headers of a datagram (IPv4 and UDP).
	datagramBytes = 28
	// questionBytes and answerBytes are the sizes of a question and its answer without the
	// flows, flowBytes the size of a flow in a question, groupBytes that of a target.
	questionBytes = datagramBytes + 12
	answerBytes   = datagramBytes + 20
	flowBytes     = 10
	groupBytes    = 9
	// maxQuestionBytes limits the flows of a question, so that it fits into one datagram.
	maxQuestionBytes = 1200 - 12
	// singleBytes is the size of an OwnerQuery and a Denial.
	singleBytes = 2*datagramBytes + 34 + 25
	// answerTTL is how long an answer is accepted: datagrams that are queued behind others on
	// a busy link come late, and a late denial is as good as one in time.
	answerTTL = 2 * time.Second
)

// Flow is a flow to ask about.
type Flow struct {
	frame.FlowQuery
	// Hosts are the agents to ask.
	Hosts []frame.Host
	// Denials holds the agents that have denied the flow.
	Denials *Denials
}

// Round is what is sent at one time: the questions about some flows.
type Round struct {
	Flows     []*Flow
	Questions []Question
}

// Question is a batch for one agent.
type Question struct {
	To    frame.Host
	Batch frame.OwnerBatch
}

// Answer is what one agent has answered about one flow.
type Answer struct {
	Host    frame.Host
	Flow    *Flow
	Verdict frame.Verdict
}

// Asker sends the questions of one balancer. It is not safe for concurrent use.
type Asker struct {
	balancer frame.Host
	// waiting are the flows whose questions have not been sent, oldest first.
	waiting []*Flow
	// collectUntil is when the next round may be sent, paidUntil when the bytes sent so far are
	// within the budget.
	collectUntil time.Time
	paidUntil    time.Time
	batchCount   uint32
	batches      map[uint32]*batch
	// batchOrder are the batches that are still awaited, oldest first.
	batchOrder []*batch
}

// batch is a question whose answer is awaited.
type batch struct {
	id        uint32
	to        frame.Host
	digest    uint64
	flows     []*Flow
	expiresAt time.Time
}

// NewAsker returns the Asker of a balancer.
func NewAsker(balancer frame.Host) *Asker {
	return &Asker{
		balancer: balancer,
		batches:  map[uint32]*batch{},
	}
}

// Waiting returns the number of flows whose questions have not been sent.
func (a *Asker) Waiting() int {
	return len(a.waiting)
}

// Ask adds a flow. Its questions are sent by one of the next calls of Send.
func (a *Asker) Ask(f *Flow) {
	a.waiting = append(a.waiting, f)
}

// Cancel removes a flow whose questions have not been sent.
func (a *Asker) Cancel(f *Flow) {
	if at := slices.Index(a.waiting, f); at >= 0 {
		a.waiting = slices.Delete(a.waiting, at, at+1)
	}
}

// Ready reports whether the budget allows a packet of a flow to be sent to agents. A lookup that
// is alone need not wait after its questions.
func (a *Asker) Ready(now time.Time) bool {
	return !now.Add(maxPacketDebt).Before(a.paidUntil)
}

// Charge takes the bytes of datagrams that belong to lookups and are sent or expected by others.
func (a *Asker) Charge(now time.Time, datagrams, bytes int) {
	if now.After(a.paidUntil) {
		a.paidUntil = now
	}
	total := datagrams*datagramBytes + bytes
	a.paidUntil = a.paidUntil.Add(time.Duration(total) * time.Second / bytesPerSecond)
}

// ChargeSingles takes the bytes of questions about single flows and of their answers.
func (a *Asker) ChargeSingles(now time.Time, count int) {
	a.Charge(now, 0, count*singleBytes)
}

// Send returns the round that is due: one question to each agent that is asked about any of the
// flows that have waited longest.
func (a *Asker) Send(now time.Time) (r Round) {
	if len(a.waiting) == 0 || now.Before(a.collectUntil) || now.Before(a.paidUntil) {
		return r
	}
	r.Flows = a.takeRound()
	flows := map[frame.Host][]*Flow{}
	var hosts []frame.Host
	for _, f := range r.Flows {
		for _, h := range f.Hosts {
			if flows[h] == nil {
				hosts = append(hosts, h)
			}
			flows[h] = append(flows[h], f)
		}
	}
	slices.Sort(hosts)
	for _, h := range hosts {
		q := a.newQuestion(now, h, flows[h])
		a.Charge(now, 0, questionSize(q.Batch.Flows)+answerBytes+len(q.Batch.Flows)/4)
		r.Questions = append(r.Questions, q)
	}
	a.collectUntil = now.Add(collectInterval)
	return r
}

// takeRound removes the flows of the next round from those that wait: as many as fit into one
// question for each agent and into maxRoundBytes, but at least one. Flows with the same target
// follow each other.
func (a *Asker) takeRound() (round []*Flow) {
	questions := map[frame.Host]struct{}{}
	total, question := 0, 0
	for _, f := range a.waiting[:min(len(a.waiting), frame.MaxBatchFlows)] {
		question += flowBytes
		if len(round) == 0 || !sameTarget(round[len(round)-1], f) {
			question += groupBytes
		}
		for _, h := range f.Hosts {
			if _, ok := questions[h]; !ok {
				questions[h] = struct{}{}
				total += questionBytes + answerBytes + groupBytes
			}
		}
		total += len(f.Hosts) * (flowBytes + 1)
		if len(round) > 0 && (total > maxRoundBytes || question > maxQuestionBytes) {
			break
		}
		round = append(round, f)
	}
	a.waiting = a.waiting[len(round):]
	slices.SortStableFunc(round, compareTargets)
	return round
}

func compareTargets(a, b *Flow) int {
	return cmp.Or(
		cmp.Compare(a.Key.Target, b.Key.Target),
		cmp.Compare(a.Key.TargetPort, b.Key.TargetPort),
		cmp.Compare(a.Key.Protocol, b.Key.Protocol),
		cmp.Compare(rankOf(a.Acknowledges), rankOf(b.Acknowledges)),
	)
}

func sameTarget(a, b *Flow) bool {
	return compareTargets(a, b) == 0
}

func rankOf(b bool) int {
	if b {
		return 1
	}
	return 0
}

// questionSize returns the size of a question about flows that are sorted by target.
func questionSize(flows []frame.FlowQuery) (size int) {
	size = questionBytes + groupBytes + flowBytes*len(flows)
	for i := range flows[1:] {
		if a, b := flows[i], flows[i+1]; a.Key.Target != b.Key.Target || a.Key.TargetPort != b.Key.TargetPort {
			size += groupBytes
		}
	}
	return size
}

func (a *Asker) newQuestion(now time.Time, to frame.Host, flows []*Flow) Question {
	a.batchCount++
	q := Question{
		To: to,
		Batch: frame.OwnerBatch{
			BatchID:  a.batchCount,
			Balancer: a.balancer,
		},
	}
	for _, f := range flows {
		q.Batch.Flows = append(q.Batch.Flows, f.FlowQuery)
	}
	b := &batch{
		id:        q.Batch.BatchID,
		to:        to,
		digest:    frame.FlowsDigest(q.Batch.Flows),
		flows:     flows,
		expiresAt: now.Add(answerTTL),
	}
	a.batches[b.id] = b
	a.batchOrder = append(a.batchOrder, b)
	return q
}

// Receive returns what an agent has answered about each flow of a batch, and records its
// denials. It returns nothing if the answer belongs to no batch of this process.
func (a *Asker) Receive(m frame.OwnerAnswers) (list []Answer) {
	b, ok := a.batches[m.BatchID]
	if !ok || b.to != m.Host || b.digest != m.Digest || len(b.flows) != len(m.Verdicts) {
		return nil
	}
	delete(a.batches, m.BatchID)
	for i, f := range b.flows {
		if m.Verdicts[i] == frame.Denied {
			f.Denials.Add(m.Host)
		}
		list = append(list, Answer{
			Host:    m.Host,
			Flow:    f,
			Verdict: m.Verdicts[i],
		})
	}
	return list
}

// Expire removes the batches whose answers are no longer accepted.
func (a *Asker) Expire(now time.Time) {
	expired := 0
	for expired < len(a.batchOrder) && !now.Before(a.batchOrder[expired].expiresAt) {
		delete(a.batches, a.batchOrder[expired].id)
		expired++
	}
	a.batchOrder = slices.Delete(a.batchOrder, 0, expired)
}
