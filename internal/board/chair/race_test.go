package chair_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/board/head"
	"github.com/clementinewing/clementinewing/internal/board/sign"
)

const (
	// raceCount is the number of random histories to check.
	raceCount = 30
	// commandsPerOperator is the number of commands of each operator in a history.
	commandsPerOperator = 4
)

// headInput is one operation on the head: a proposal, a decision, or, if both are nil, a
// read.
type headInput struct {
	proposal *sign.Proposal
	decision *sign.Decision
}

// headOutput is the answer to an operation.
type headOutput struct {
	revision uint64
	reason   head.Reason
	// inForce is the proposal that a read returned.
	inForce sign.ID
}

// headModel is the sequential model of the head, which always answers: the IDs of the
// proposals that came into force, in order, and of those that are waiting.
type headModel struct {
	inForce []sign.ID
	waiting []sign.ID
}

// apply returns the expected answer to a proposal and the next state.
func (m headModel) apply(p sign.Proposal) (headOutput, headModel) {
	id := p.ID()
	if at := slices.Index(m.inForce, id); at >= 0 {
		return headOutput{revision: uint64(at + 1)}, m
	}
	if slices.Index(m.waiting, id) >= 0 {
		return headOutput{reason: head.WaitingForChair}, m
	}
	if p.Base == uint64(len(m.inForce)) {
		m.inForce = append(m.inForce[:len(m.inForce):len(m.inForce)], id)
		return headOutput{revision: uint64(len(m.inForce))}, m
	}
	m.waiting = append(m.waiting[:len(m.waiting):len(m.waiting)], id)
	return headOutput{reason: head.WaitingForChair}, m
}

// decide returns the expected answer to a decision and the next state. An earlier
// decision is recognized by the revision that resulted from it.
func (m headModel) decide(d sign.Decision) (headOutput, headModel) {
	if at := slices.Index(m.inForce, d.Chosen); d.Verdict == sign.Take && at >= 0 && uint64(at) == d.Revision {
		return headOutput{revision: uint64(at + 1)}, m
	}
	if d.Revision != uint64(len(m.inForce)) {
		return headOutput{reason: head.PassedBase}, m
	}
	if slices.Index(m.waiting, d.Chosen) < 0 {
		return headOutput{reason: head.NoSuchFile}, m
	}
	var remaining []sign.ID
	for _, id := range m.waiting {
		if id != d.Chosen {
			remaining = append(remaining, id)
		}
	}
	m.waiting = remaining
	m.inForce = append(m.inForce[:len(m.inForce):len(m.inForce)], d.Chosen)
	return headOutput{revision: uint64(len(m.inForce))}, m
}

func (m headModel) perform(a headInput) (headOutput, headModel) {
	switch {
	case a.proposal != nil:
		return m.apply(*a.proposal)
	case a.decision != nil:
		return m.decide(*a.decision)
	case len(m.inForce) == 0:
		return headOutput{}, m
	default:
		return headOutput{
			revision: uint64(len(m.inForce)),
			inForce:  m.inForce[len(m.inForce)-1],
		}, m
	}
}

// porcupineModel is the model for porcupine. An operation answered with store_away may
// have taken effect at any time since the call, or never: returnTime lets it return after
// all others.
var porcupineModel = porcupine.Model{
	Init: func() any { return headModel{} },
	Step: func(state, input, output any) (bool, any) {
		got := output.(headOutput)
		want, after := state.(headModel).perform(input.(headInput))
		if got.reason == head.StoreAway {
			return true, after
		}
		return got == want, after
	},
	Equal: func(a, b any) bool {
		x, y := a.(headModel), b.(headModel)
		return slices.Equal(x.inForce, y.inForce) && slices.Equal(x.waiting, y.waiting)
	},
}

// runRace runs the commands of concurrent operators under random faults and returns the
// history of operations.
func runRace(seed uint64) (operations []porcupine.Operation, d *driver) {
	random := rand.New(rand.NewPCG(seed, 0))
	d = newDriver()
	faults := readFaults()
	plan := func(int) fault {
		if random.IntN(3) > 0 {
			return noFault
		}
		f := faults[random.IntN(len(faults))]
		f.rival = false
		return f
	}
	variant := uint32(0)
	for client, name := range operatorNames {
		remaining := commandsPerOperator
		var next func()
		next = func() {
			if remaining == 0 {
				return
			}
			remaining--
			variant++
			a, m := d.drawCommand(random, name, variant)
			call := d.clock.Now()
			d.run(m, plan, func(r head.Result) {
				operations = append(operations, d.attempts(client, a, call, r)...)
				d.clock.After(time.Duration(random.IntN(3000))*time.Millisecond, next)
			})
		}
		d.clock.After(time.Duration(random.IntN(1000))*time.Millisecond, next)
	}
	for d.clock.Next() {
		continue
	}
	return append(operations, d.readOperation()), d
}

// attempts splits a command into the attempt that took effect, whose answer may have
// been lost, and the attempt that was answered. A waiting file may be settled between the
// two, and the answer then reports that.
func (d *driver) attempts(client int, a headInput, call time.Time, r head.Result) []porcupine.Operation {
	answer := porcupine.Operation{
		ClientId: client,
		Input:    a,
		Call:     call.UnixNano(),
		Output: headOutput{
			revision: r.Revision,
			reason:   reason(r),
		},
		Return: d.returnTime(r).UnixNano(),
	}
	lost := answer
	lost.Output = headOutput{
		reason: head.StoreAway,
	}
	return []porcupine.Operation{
		lost,
		answer,
	}
}

// returnTime returns the current time, or for an unknown outcome a time after all other
// operations.
func (d *driver) returnTime(r head.Result) time.Time {
	if reason(r) == head.StoreAway {
		return d.clock.Now().Add(24 * time.Hour)
	}
	return d.clock.Now()
}

// drawCommand returns a random command based on the current head. Others may have changed
// the head before the command takes effect.
func (d *driver) drawCommand(random *rand.Rand, name string, variant uint32) (headInput, machine) {
	h := d.head()
	deadline := d.clock.Now().Add(10 * time.Second)
	if name == h.Roster.Chair && len(h.Waiting) > 0 {
		w := h.Waiting[random.IntN(len(h.Waiting))]
		c := takeDecision(h.Record.Revision, w.Proposal.ID())
		return headInput{
			decision: &c,
		}, newDecide(c, deadline)
	}
	f := draft(h.Record.Revision, variant)
	p := signedProposal(f, name)
	return headInput{
		proposal: &p,
	}, newApply(f, name, deadline)
}

func (d *driver) readOperation() porcupine.Operation {
	h := d.head()
	a := headOutput{
		revision: h.Record.Revision,
	}
	if a.revision > 0 {
		a.inForce = h.Record.Proposal.ID()
	}
	return porcupine.Operation{
		ClientId: len(operatorNames),
		Input:    headInput{},
		Call:     d.clock.Now().UnixNano(),
		Output:   a,
		Return:   d.clock.Now().Add(48 * time.Hour).UnixNano(),
	}
}

var _ = Describe("the head", func() {
	It("is linearizable with lost answers and concurrent operators", func() {
		answers := map[head.Reason]int{}
		for seed := range uint64(raceCount) {
			operations, d := runRace(seed)
			Expect(d.violations).To(BeEmpty(), "seed %d", seed)
			for i := 1; i < len(operations); i += 2 {
				answers[operations[i].Output.(headOutput).reason]++
			}
			Expect(porcupine.CheckOperations(porcupineModel, operations)).To(BeTrue(), "seed %d", seed)
		}
		AddReportEntry("answers", fmt.Sprint(answers))
		Expect(answers[""]).To(BeNumerically(">", raceCount))
		Expect(answers[head.WaitingForChair]).To(BeNumerically(">", 0))
		Expect(answers[head.PassedBase]).To(BeNumerically(">", 0))
		Expect(answers[head.StoreAway]).To(BeNumerically(">", 0))
	})
})
