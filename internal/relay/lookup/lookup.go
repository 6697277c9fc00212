// Package lookup asks agents which of them owns flows whose owner a balancer does not know.
// It is a pure state machine.
//
// The load that it addresses is a loss of power in a large deployment: thousands of callers
// send packets of flows that no endpoint holds any more, and each flow has to be denied by
// every agent before its caller may be told. One question for each flow and agent exceeds the
// link and the processor of a small balancer, and the new flows of the same callers are lost.
// So the questions about many flows are sent in batches, within a budget of bytes, and an
// agent that has denied a flow is not asked about it again. An agent whose table has every flow
// of its endpoint answers with a summary of the table where that is shorter than the question;
// it denies every flow that is not in the summary.
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
	// directions together. With what may be sent ahead of it, which is a round of maxRoundBytes,
	// packets of maxPacketDebt, or packets that pass all candidates of maxPassDebt, the bytes
	// of any second stay below 30 % of a link of 10 Mbit/s, which is 375 KB. The rest is for
	// new flows and for packets with a known owner.
	bytesPerSecond = 265_000
	maxRoundBytes  = 70_000
	maxPacketDebt  = 100 * time.Millisecond
	maxPassDebt    = 200 * time.Millisecond
	// datagramBytes are the headers of a datagram (IPv4 and UDP).
	datagramBytes = 28
	// questionBytes and answerBytes are the sizes of a question and its answer without the
	// flows, flowBytes the size of a flow in a question, groupBytes that of a target.
	questionBytes = datagramBytes + 12
	answerBytes   = datagramBytes + 24
	flowBytes     = 10
	groupBytes    = 9
	hashBytes     = 4
	// maxQuestionBytes limits the flows of a question, so that it fits into one datagram.
	maxQuestionBytes = 1200 - 12
	// singleBytes is the size of an OwnerQuery and a Denial.
	singleBytes = 2*datagramBytes + 34 + 25
	// answerTTL is how long an answer is accepted: datagrams that are queued behind others on
	// a busy link come late, and a late denial is as good as one in time.
	answerTTL = 2 * time.Second
	// undecidedTTL is how long an agent that could not tell counts as such: its table gets
	// complete only when its endpoint starts anew.
	undecidedTTL = 5 * time.Second
	// maxRoundFlows limits the flows of a round, and so the memory of the batches.
	maxRoundFlows = 2048
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

// Asker sends the questions of one balancer. It is not safe for concurrent use.
type Asker struct {
	balancer frame.Host
	// waiting are the flows whose questions have not been sent, oldest first.
	waiting []request
	// tableSizes are the sizes of the summaries of the agents that can send one.
	tableSizes map[frame.Host]int
	// undecidedUntil is until when agents count as such that cannot tell without a packet.
	undecidedUntil map[frame.Host]time.Time
	// collectUntil is when the next round may be sent, paidUntil when the bytes sent so far are
	// within the budget.
	collectUntil time.Time
	paidUntil    time.Time
	batchCount   uint32
	batches      map[uint32]*batch
	// batchOrder are the batches that are still awaited, oldest first.
	batchOrder []*batch
}

// request is a flow to ask some agents about.
type request struct {
	flow  *Flow
	hosts []frame.Host
	// exact is set if the flow may be in the summary of these agents.
	exact bool
}

// NewAsker returns the Asker of a balancer.
func NewAsker(balancer frame.Host) *Asker {
	return &Asker{
		balancer:   balancer,
		batches:    map[uint32]*batch{},
		tableSizes: map[frame.Host]int{},

		undecidedUntil: map[frame.Host]time.Time{},
	}
}

// Waiting returns the number of flows whose questions have not been sent.
func (a *Asker) Waiting() int {
	return len(a.waiting)
}

// Ask adds a flow. Its questions are sent by one of the next calls of Send.
func (a *Asker) Ask(f *Flow) {
	a.waiting = append(a.waiting, request{
		flow:  f,
		hosts: f.Hosts,
	})
}

// Undecided returns how many agents could lately not tell about a flow without a packet of it.
func (a *Asker) Undecided(now time.Time, hosts []frame.Host) (count int) {
	for _, h := range hosts {
		if now.Before(a.undecidedUntil[h]) {
			count++
		}
	}
	return count
}

// Cancel removes a flow whose questions have not been sent.
func (a *Asker) Cancel(f *Flow) {
	a.waiting = slices.DeleteFunc(a.waiting, func(r request) bool { return r.flow == f })
}

// Ready reports whether the budget allows a packet of a flow to be sent to agents. A lookup that
// is alone need not wait after its questions.
func (a *Asker) Ready(now time.Time) bool {
	return !now.Add(maxPacketDebt).Before(a.paidUntil)
}

// MayPass reports whether a packet may pass all candidates. It leaves the balancer once and
// replaces questions to all of them, so it may go further beyond the budget.
func (a *Asker) MayPass(now time.Time) bool {
	return !now.Add(maxPassDebt).Before(a.paidUntil)
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
	round := a.takeRound()
	flows := map[frame.Host][]*Flow{}
	exact := map[frame.Host]bool{}
	var hosts []frame.Host
	for _, x := range round {
		r.Flows = append(r.Flows, x.flow)
		for _, h := range x.hosts {
			if flows[h] == nil {
				hosts = append(hosts, h)
			}
			flows[h] = append(flows[h], x.flow)
			exact[h] = exact[h] || x.exact
		}
	}
	slices.Sort(hosts)
	for _, h := range hosts {
		if len(flows[h]) == len(r.Flows) {
			// Most agents are asked about the same flows, which their batches share.
			flows[h] = r.Flows
		}
		r.Questions = append(r.Questions, a.newQuestions(now, h, flows[h], exact[h])...)
	}
	a.collectUntil = now.Add(collectInterval)
	return r
}

// takeRound removes the requests of the next round from those that wait: as many as fit into
// maxRoundBytes, but at least one. Flows with the same target follow each other.
func (a *Asker) takeRound() (round []request) {
	counts := map[frame.Host]int{}
	total := 0
	for _, x := range a.waiting[:min(len(a.waiting), maxRoundFlows)] {
		for _, h := range x.hosts {
			total -= a.cost(h, counts[h])
			counts[h]++
			total += a.cost(h, counts[h])
		}
		if len(round) > 0 && total > maxRoundBytes {
			break
		}
		round = append(round, x)
	}
	a.waiting = slices.Clone(a.waiting[len(round):])
	slices.SortStableFunc(round, func(x, y request) int { return compareTargets(x.flow, y.flow) })
	return round
}

// cost returns the bytes of questions to an agent about a number of flows and of the answers,
// as long as the flows have the same target.
func (a *Asker) cost(h frame.Host, flows int) (size int) {
	if flows == 0 {
		return 0
	}
	if a.prefersSummary(h, flows) {
		return questionBytes + answerBytes + hashBytes*a.tableSizes[h]
	}
	messages := 1 + (flows-1)/frame.MaxBatchFlows
	return messages*(questionBytes+groupBytes+answerBytes) + flows*flowBytes + flows/4
}

// prefersSummary reports whether a summary is shorter than a question about a number of flows.
func (a *Asker) prefersSummary(h frame.Host, flows int) bool {
	size, ok := a.tableSizes[h]
	return ok && hashBytes*size < flowBytes*flows
}

func compareTargets(a, b *Flow) int {
	return cmp.Or(
		cmp.Compare(a.Key.Target, b.Key.Target),
		cmp.Compare(a.Key.TargetPort, b.Key.TargetPort),
		cmp.Compare(a.Key.Protocol, b.Key.Protocol),
		cmp.Compare(rankOf(a.Acknowledges), rankOf(b.Acknowledges)),
	)
}

func rankOf(b bool) int {
	if b {
		return 1
	}
	return 0
}
