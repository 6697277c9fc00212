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
	// raceSeeds is how many random histories are checked.
	raceCount = 30
	// raceTries is how many commands each operator runs in a history.
	commandsPerOperator = 4
)

// asked is one operation on the head: an apply, a decision, or a read.
type headInput struct {
	proposal *sign.Proposal
	decision *sign.Decision
}

// answered is what the operator was told.
type headOutput struct {
	revision uint64
	reason   head.Reason
	// force is the proposal in force that a read saw.
	force sign.ID
}

// model is the naive head, one object that is never away: the ids of the
// proposals that came in force, in order, and of those that wait.
type headModel struct {
	force   []sign.ID
	waiting []sign.ID
}

// apply gives the naive answer to a proposal and the model after it.
func (m headModel) apply(p sign.Proposal) (headOutput, headModel) {
	id := p.ID()
	if at := slices.Index(m.force, id); at >= 0 {
		return headOutput{revision: uint64(at + 1)}, m
	}
	if slices.Index(m.waiting, id) >= 0 {
		return headOutput{reason: head.WaitingForChair}, m
	}
	if p.Base == uint64(len(m.force)) {
		m.force = append(m.force[:len(m.force):len(m.force)], id)
		return headOutput{revision: uint64(len(m.force))}, m
	}
	m.waiting = append(m.waiting[:len(m.waiting):len(m.waiting)], id)
	return headOutput{reason: head.WaitingForChair}, m
}

// decide gives the naive answer to a decision. Told decisions are recalled by
// the revision that they made.
func (m headModel) decide(d sign.Decision) (headOutput, headModel) {
	if at := slices.Index(m.force, d.Chosen); d.Verdict == sign.Take && at >= 0 && uint64(at) == d.Revision {
		return headOutput{revision: uint64(at + 1)}, m
	}
	if d.Revision != uint64(len(m.force)) {
		return headOutput{reason: head.PassedBase}, m
	}
	if slices.Index(m.waiting, d.Chosen) < 0 {
		return headOutput{reason: head.NoSuchFile}, m
	}
	var left []sign.ID
	for _, id := range m.waiting {
		if id != d.Chosen {
			left = append(left, id)
		}
	}
	m.waiting = left
	m.force = append(m.force[:len(m.force):len(m.force)], d.Chosen)
	return headOutput{revision: uint64(len(m.force))}, m
}

func (m headModel) perform(a headInput) (headOutput, headModel) {
	switch {
	case a.proposal != nil:
		return m.apply(*a.proposal)
	case a.decision != nil:
		return m.decide(*a.decision)
	case len(m.force) == 0:
		return headOutput{}, m
	default:
		return headOutput{
			revision: uint64(len(m.force)),
			force:    m.force[len(m.force)-1],
		}, m
	}
}

// linear is the model for porcupine. An operation that was told store_away may
// have taken effect at any time since, or never.
var porcupineModel = porcupine.Model{
	Init: func() any { return headModel{} },
	Step: func(state, input, output any) (bool, any) {
		got := output.(headOutput)
		want, next := state.(headModel).perform(input.(headInput))
		if got.reason == head.StoreAway {
			return true, next
		}
		return got == want, next
	},
	Equal: func(a, b any) bool {
		x, y := a.(headModel), b.(headModel)
		return slices.Equal(x.force, y.force) && slices.Equal(x.waiting, y.waiting)
	},
}

// race runs operators who race each other under random faults and gives the
// history of what they asked and were told.
func runRace(seed uint64) (operations []porcupine.Operation, d *harness) {
	random := rand.New(rand.NewPCG(seed, 0))
	d = newHarness()
	faults := readFaults()
	plan := func(int) fault {
		if random.IntN(3) > 0 {
			return noFault
		}
		f := faults[random.IntN(len(faults))]
		f.rival = false
		return f
	}
	mark := uint32(0)
	for client, name := range operatorNames {
		left := commandsPerOperator
		var again func()
		again = func() {
			if left == 0 {
				return
			}
			left--
			mark++
			a, m := d.drawCommand(random, name, mark)
			call := d.clock.Now()
			d.run(m, plan, func(r head.Result) {
				operations = append(operations, d.attempts(client, a, call, r)...)
				d.clock.After(time.Duration(random.IntN(3000))*time.Millisecond, again)
			})
		}
		d.clock.After(time.Duration(random.IntN(1000))*time.Millisecond, again)
	}
	for d.clock.Next() {
		continue
	}
	return append(operations, d.readOperation()), d
}

// tries splits a command into the try that took effect, whose answer may have
// been lost, and the try that was answered: between the two a waiting file may be
// settled, which the answer then tells.
func (d *harness) attempts(client int, a headInput, call time.Time, r head.Result) []porcupine.Operation {
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

// returned is now, or for an unknown outcome a time after everything else.
func (d *harness) returnTime(r head.Result) time.Time {
	if reason(r) == head.StoreAway {
		return d.clock.Now().Add(24 * time.Hour)
	}
	return d.clock.Now()
}

// ask draws a command on what the operator sees at the moment, which others may
// have passed by the time it takes effect.
func (d *harness) drawCommand(random *rand.Rand, name string, mark uint32) (headInput, machine) {
	h := d.head()
	deadline := d.clock.Now().Add(10 * time.Second)
	if name == h.Roster.Chair && len(h.Waiting) > 0 {
		w := h.Waiting[random.IntN(len(h.Waiting))]
		c := takeDecision(h.Record.Revision, w.Proposal.ID())
		return headInput{
			decision: &c,
		}, newDecide(c, deadline)
	}
	f := draft(h.Record.Revision, mark)
	p := signedProposal(f, name)
	return headInput{
		proposal: &p,
	}, newApply(f, name, deadline)
}

func (d *harness) readOperation() porcupine.Operation {
	h := d.head()
	a := headOutput{
		revision: h.Record.Revision,
	}
	if a.revision > 0 {
		a.force = h.Record.Proposal.ID()
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
	It("is linearizable under lost answers and races", func() {
		told := map[head.Reason]int{}
		for seed := range uint64(raceCount) {
			operations, d := runRace(seed)
			Expect(d.violations).To(BeEmpty(), "seed %d", seed)
			for i := 1; i < len(operations); i += 2 {
				told[operations[i].Output.(headOutput).reason]++
			}
			Expect(porcupine.CheckOperations(porcupineModel, operations)).To(BeTrue(), "seed %d", seed)
		}
		AddReportEntry("answers", fmt.Sprint(told))
		Expect(told[""]).To(BeNumerically(">", raceCount))
		Expect(told[head.WaitingForChair]).To(BeNumerically(">", 0))
		Expect(told[head.PassedBase]).To(BeNumerically(">", 0))
		Expect(told[head.StoreAway]).To(BeNumerically(">", 0))
	})
})
