package chair_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/board/file"
	"github.com/clementinewing/clementinewing/internal/board/head"
	"github.com/clementinewing/clementinewing/internal/board/sign"
	"github.com/clementinewing/clementinewing/internal/fake/clock"
	fake "github.com/clementinewing/clementinewing/internal/fake/store"
)

// callTimeout is how long a caller waits for an answer.
const callTimeout = 2 * time.Second

// never marks an effect that does not happen or an answer that does not arrive.
const never = time.Duration(-1)

type machine interface {
	Step(now time.Time, e head.Event) []head.Action
}

// fault describes when a call takes effect and when its answer arrives. With rival, another
// operator's file comes into force before the effect.
type fault struct {
	name        string
	effectDelay time.Duration
	answerDelay time.Duration
	rival       bool
	inPairs     bool
}

// noFault describes a call without a fault.
var noFault = fault{
	name:        "quick",
	effectDelay: time.Millisecond,
	answerDelay: 2 * time.Millisecond,
}

// driver runs machines against an in-memory store on a fake clock. It keeps every head
// that was written and collects violations of the invariants.
type driver struct {
	clock      *clock.Clock
	memory     *fake.Memory
	heads      []head.Head
	rivalCount uint32
	violations []string
}

func newDriver() *driver {
	return &driver{
		clock:  clock.New(),
		memory: fake.NewMemory(),
	}
}

// clone returns a driver with a copy of the state and a new clock.
func (d *driver) clone() *driver {
	return &driver{
		clock:      clock.New(),
		memory:     d.memory.Clone(),
		heads:      slices.Clone(d.heads),
		rivalCount: d.rivalCount,
		violations: slices.Clone(d.violations),
	}
}

// run starts a machine. plan returns the fault of each call, done receives the result.
func (d *driver) run(m machine, plan func(call int) fault, done func(head.Result)) {
	call := 0
	var step func(e head.Event)
	step = func(e head.Event) {
		actions := m.Step(d.clock.Now(), e)
		if len(actions) != 1 {
			d.fail("%d actions after %T", len(actions), e)
			return
		}
		switch a := actions[0].(type) {
		case head.Finish:
			done(a.Result)
		case head.Sleep:
			d.clock.At(a.Until, func() { step(head.SleepEnded{}) })
		default:
			f := plan(call)
			call++
			d.call(a, f, step)
		}
	}
	step(head.Begin{})
}

// runToEnd runs a machine until it finishes, and returns its result and the number of
// calls.
func (d *driver) runToEnd(m machine, plan func(call int) fault) (result head.Result, calls int) {
	ended := false
	counted := func(call int) fault {
		calls = call + 1
		return plan(call)
	}
	d.run(m, counted, func(r head.Result) {
		result = r
		ended = true
	})
	for !ended && d.clock.Next() {
		continue
	}
	if !ended {
		d.fail("the machine did not finish")
	}
	return result, calls
}

func (d *driver) call(a head.Action, f fault, step func(head.Event)) {
	var answer head.Event
	if f.effectDelay != never {
		d.clock.After(f.effectDelay, func() {
			if f.rival {
				d.applyRivalFile()
			}
			answer = d.execute(a)
		})
	}
	if f.answerDelay != never && (f.answerDelay <= callTimeout || f.rival) {
		d.clock.After(f.answerDelay, func() { step(answer) })
		return
	}
	d.clock.After(callTimeout, func() { step(head.NoAnswer{}) })
}

func (d *driver) execute(a head.Action) head.Event {
	switch a := a.(type) {
	case head.Get:
		e := d.memory.Get(a.Key)
		return head.Got{
			Key:     e.Key,
			Value:   e.Value,
			Version: e.Version,
		}
	case head.Swap:
		e, ok := d.memory.Swap(a.Key, a.Version, a.Value)
		if !ok {
			return head.Conflicted{
				Key:     e.Key,
				Value:   e.Value,
				Version: e.Version,
			}
		}
		if a.Key == head.Key {
			d.recordHead(e.Value)
		}
		return head.Swapped{
			Key: a.Key,
		}
	}
	return head.NoAnswer{}
}

// applyRivalFile puts a file of another operator in force immediately.
func (d *driver) applyRivalFile() {
	d.rivalCount++
	entry := d.memory.Get(head.Key)
	h := d.head()
	f := draft(h.Record.Revision, 10_000+d.rivalCount)
	manifest, pieces := f.Split()
	for i := range pieces {
		d.memory.Swap(head.ContentKey(manifest[i]), 0, pieces[i])
	}
	d.memory.Swap(head.ContentKey(manifest.Hash()), 0, manifest.Bytes())
	r := h.ApplyProposal(d.clock.Now(), signedProposal(f, "cilli"), head.RosterOf(f))
	if r.Refusal != nil {
		d.fail("the rival file was refused: %v", r.Refusal)
		return
	}
	value, err := r.Head.Encode()
	if err != nil {
		d.fail("%v", err)
	}
	d.memory.Swap(head.Key, entry.Version, value)
	d.recordHead(value)
}

func (d *driver) head() head.Head {
	h, err := head.Decode(d.memory.Get(head.Key).Value)
	if err != nil {
		d.fail("%v", err)
	}
	return h
}

// recordHead checks a newly written head against the previous one: the revision grows by
// at most one, the file of a revision never changes, and a file comes into force at most
// once.
func (d *driver) recordHead(value []byte) {
	h, err := head.Decode(value)
	if err != nil {
		d.fail("%v", err)
		return
	}
	before := head.Head{}
	if len(d.heads) > 0 {
		before = d.heads[len(d.heads)-1]
	}
	d.heads = append(d.heads, h)
	switch h.Record.Revision {
	case before.Record.Revision:
		if h.Record.Proposal.ID() != before.Record.Proposal.ID() {
			d.fail("revision %d changed its file", h.Record.Revision)
		}
	case before.Record.Revision + 1:
		d.checkStoredFile(h)
		if d.wasInForce(d.heads[:len(d.heads)-1], h.Record.Proposal.ID()) {
			d.fail("file %s came into force twice", h.Record.Proposal.ID())
		}
	default:
		d.fail("revision %d follows %d", h.Record.Revision, before.Record.Revision)
	}
}

// checkStoredFile checks that the store holds all parts of the file in force.
func (d *driver) checkStoredFile(h head.Head) {
	a := file.NewAssembly(h.Record.Proposal.Content, nil)
	for {
		missing, ok := a.NextMissing()
		if !ok {
			break
		}
		if !a.Add(d.memory.Get(head.ContentKey(missing)).Value) {
			d.fail("revision %d came into force, but part %s is not in the store", h.Record.Revision, missing)
			return
		}
	}
	f, err := a.File()
	if err != nil {
		d.fail("revision %d: %v", h.Record.Revision, err)
		return
	}
	if f.Base != h.Record.Proposal.Base || f.Name != h.Roster.Name || f.Chair != h.Roster.Chair {
		d.fail("revision %d does not match its file", h.Record.Revision)
	}
}

// wasInForce reports whether a proposal was in force in one of the heads.
func (d *driver) wasInForce(heads []head.Head, id sign.ID) bool {
	for i := range heads {
		if heads[i].Record.Revision > 0 && heads[i].Record.Proposal.ID() == id {
			return true
		}
	}
	return false
}

// checkAnswer checks the answer to a command against what happened to the proposal.
func (d *driver) checkAnswer(r head.Result, id sign.ID) {
	inForce := d.wasInForce(d.heads, id)
	switch {
	case r.Refusal == nil:
		if !inForce {
			d.fail("reported as in force, but it never was")
		}
	case r.Refusal.Reason == head.WaitingForChair:
		if _, ok := d.head().FindWaiting(id); !ok {
			d.fail("reported as waiting for the chair, but it is not waiting")
		}
	case r.Refusal.Reason == head.StoreAway:
	case inForce:
		d.fail("reported as %v, but it came into force", r.Refusal)
	}
}

func (d *driver) fail(format string, arguments ...any) {
	d.violations = append(d.violations, fmt.Sprintf(format, arguments...))
}
