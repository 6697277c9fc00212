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

// giveUp is when a caller without an answer stops waiting for it.
const callTimeout = 2 * time.Second

// never marks an effect or an answer that does not come.
const never = time.Duration(-1)

type machine interface {
	Step(now time.Time, e head.Event) []head.Action
}

// fault is what happens to one call.
type fault struct {
	name   string
	effect time.Duration
	answer time.Duration
	rival  bool
	pair   bool
}

// quick is the fate of a call without a fault.
var noFault = fault{
	name:   "quick",
	effect: time.Millisecond,
	answer: 2 * time.Millisecond,
}

// desk runs machines against the store's memory on a fake clock and keeps every
// head that was written.
type harness struct {
	clock      *clock.Clock
	memory     *fake.Memory
	heads      []head.Head
	rivalCount uint32
	violations []string
}

func newHarness() *harness {
	return &harness{
		clock:  clock.New(),
		memory: fake.NewMemory(),
	}
}

// clone starts another desk from what this one came to.
func (d *harness) clone() *harness {
	return &harness{
		clock:      clock.New(),
		memory:     d.memory.Clone(),
		heads:      slices.Clone(d.heads),
		rivalCount: d.rivalCount,
		violations: slices.Clone(d.violations),
	}
}

// run starts a machine; plan gives the fault of its n-th call.
func (d *harness) run(m machine, plan func(call int) fault, done func(head.Result)) {
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
			d.clock.At(a.Until, func() { step(head.Woke{}) })
		default:
			f := plan(call)
			call++
			d.call(a, f, step)
		}
	}
	step(head.Begin{})
}

// finish runs a machine alone to its end and gives what it came to.
func (d *harness) runToEnd(m machine, plan func(call int) fault) (result head.Result, calls int) {
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
		d.fail("the machine never ended")
	}
	return result, calls
}

func (d *harness) call(a head.Action, f fault, step func(head.Event)) {
	var answer head.Event
	if f.effect != never {
		d.clock.After(f.effect, func() {
			if f.rival {
				d.applyRivalFile()
			}
			answer = d.execute(a)
		})
	}
	if f.answer != never && (f.answer <= callTimeout || f.rival) {
		d.clock.After(f.answer, func() { step(answer) })
		return
	}
	d.clock.After(callTimeout, func() { step(head.Away{}) })
}

func (d *harness) execute(a head.Action) head.Event {
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
	return head.Away{}
}

// rival puts another operator's file in force at once.
func (d *harness) applyRivalFile() {
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
		d.fail("the rival was refused: %v", r.Refusal)
		return
	}
	value, err := r.Head.Encode()
	if err != nil {
		d.fail("%v", err)
	}
	d.memory.Swap(head.Key, entry.Version, value)
	d.recordHead(value)
}

func (d *harness) head() head.Head {
	h, err := head.Decode(d.memory.Get(head.Key).Value)
	if err != nil {
		d.fail("%v", err)
	}
	return h
}

// record checks a head that was just written against the one before.
func (d *harness) recordHead(value []byte) {
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
			d.fail("file %s came in force twice", h.Record.Proposal.ID())
		}
	default:
		d.fail("revision %d follows %d", h.Record.Revision, before.Record.Revision)
	}
}

// whole checks that the store holds the whole file that came in force.
func (d *harness) checkStoredFile(h head.Head) {
	a := file.NewAssembly(h.Record.Proposal.Content, nil)
	for {
		need, ok := a.NextMissing()
		if !ok {
			break
		}
		if !a.Add(d.memory.Get(head.ContentKey(need)).Value) {
			d.fail("revision %d came in force without its part %s", h.Record.Revision, need)
			return
		}
	}
	f, err := a.File()
	if err != nil {
		d.fail("revision %d: %v", h.Record.Revision, err)
		return
	}
	if f.Base != h.Record.Proposal.Base || f.Name != h.Roster.Name || f.Chair != h.Roster.Chair {
		d.fail("revision %d does not match its own file", h.Record.Revision)
	}
}

// inForce tells whether a proposal was ever in force in a trail of heads.
func (d *harness) wasInForce(trail []head.Head, id sign.ID) bool {
	for i := range trail {
		if trail[i].Record.Revision > 0 && trail[i].Record.Proposal.ID() == id {
			return true
		}
	}
	return false
}

// truthful checks what a command said about a proposal.
func (d *harness) checkAnswer(r head.Result, id sign.ID) {
	force := d.wasInForce(d.heads, id)
	switch {
	case r.Refusal == nil:
		if !force {
			d.fail("told in force, but it never was")
		}
	case r.Refusal.Reason == head.WaitingForChair:
		if _, ok := d.head().FindWaiting(id); !ok {
			d.fail("told to wait for the chair, but it does not wait")
		}
	case r.Refusal.Reason == head.StoreAway:
	case force:
		d.fail("told %v, but it came in force", r.Refusal)
	}
}

func (d *harness) fail(format string, arguments ...any) {
	d.violations = append(d.violations, fmt.Sprintf(format, arguments...))
}
