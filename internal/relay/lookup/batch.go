package lookup

import (
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
)

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

// batch is a question whose answer is awaited.
type batch struct {
	id        uint32
	to        frame.Host
	digest    uint64
	flows     []*Flow
	summary   bool
	expiresAt time.Time
}

// newQuestions returns the questions to an agent about flows that are sorted by target.
func (a *Asker) newQuestions(now time.Time, to frame.Host, flows []*Flow, exact bool) (list []Question) {
	if !exact && a.prefersSummary(to, len(flows)) {
		a.Charge(now, 0, a.cost(to, len(flows)))
		return []Question{a.newQuestion(now, to, nil, flows)}
	}
	for len(flows) > 0 {
		size, n := 0, 0
		for n < min(len(flows), frame.MaxBatchFlows) && size <= maxQuestionBytes-flowBytes-groupBytes {
			size += flowBytes
			if n == 0 || compareTargets(flows[n-1], flows[n]) != 0 {
				size += groupBytes
			}
			n++
		}
		a.Charge(now, 0, questionBytes+size+answerBytes+n/4)
		list = append(list, a.newQuestion(now, to, flows[:n], flows[:n]))
		flows = flows[n:]
	}
	return list
}

// newQuestion returns a question that names some flows, or none for a summary, and records the
// flows that the answer is about.
func (a *Asker) newQuestion(now time.Time, to frame.Host, named, flows []*Flow) Question {
	a.batchCount++
	q := Question{
		To: to,
		Batch: frame.OwnerBatch{
			BatchID:  a.batchCount,
			Balancer: a.balancer,
		},
	}
	for _, f := range named {
		q.Batch.Flows = append(q.Batch.Flows, f.FlowQuery)
	}
	b := &batch{
		id:        q.Batch.BatchID,
		to:        to,
		digest:    frame.FlowsDigest(q.Batch.Flows),
		flows:     flows,
		summary:   len(named) == 0,
		expiresAt: now.Add(answerTTL),
	}
	a.batches[b.id] = b
	a.batchOrder = append(a.batchOrder, b)
	return q
}

// Receive returns what an agent has answered about each flow of a batch, and records its
// denials. It returns nothing if the answer belongs to no batch of this process.
func (a *Asker) Receive(now time.Time, m frame.OwnerAnswers) (list []Answer) {
	b, ok := a.batches[m.BatchID]
	if !ok || b.to != m.Host || b.digest != m.Digest || !b.summary && len(b.flows) != len(m.Verdicts) {
		return nil
	}
	delete(a.batches, m.BatchID)
	flows := b.flows
	b.flows = nil
	delete(a.tableSizes, m.Host)
	delete(a.undecidedUntil, m.Host)
	if m.TableSize != frame.NoSummary {
		a.tableSizes[m.Host] = int(m.TableSize)
	}
	if b.summary && m.TableSize == frame.NoSummary || slices.Contains(m.Verdicts, frame.CannotTell) {
		a.undecidedUntil[m.Host] = now.Add(undecidedTTL)
	}
	if b.summary {
		return a.readSummary(flows, m)
	}
	for i, f := range flows {
		list = append(list, newAnswer(m.Host, f, m.Verdicts[i]))
	}
	return list
}

func newAnswer(h frame.Host, f *Flow, verdict frame.Verdict) Answer {
	if verdict == frame.Denied {
		f.Denials.Add(h)
	}
	return Answer{
		Host:    h,
		Flow:    f,
		Verdict: verdict,
	}
}

// readSummary takes the flows that are not in a summary as denied. The agent is asked about the
// others, and about all if it has sent no summary.
func (a *Asker) readSummary(flows []*Flow, m frame.OwnerAnswers) (list []Answer) {
	hashes := map[uint32]struct{}{}
	for _, x := range m.Hashes {
		hashes[x] = struct{}{}
	}
	complete := m.TableSize != frame.NoSummary && len(m.Hashes) == int(m.TableSize)
	for _, f := range flows {
		if _, found := hashes[frame.FlowHash(f.Key)]; complete && !found {
			list = append(list, newAnswer(m.Host, f, frame.Denied))
			continue
		}
		a.waiting = append(a.waiting, request{
			flow:  f,
			hosts: []frame.Host{m.Host},
			exact: true,
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
