package chair

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/board/file"
	"github.com/clementinewing/clementinewing/internal/board/head"
	"github.com/clementinewing/clementinewing/internal/board/sign"
)

// Machine is the state machine of one decision. It reads the head and, to take
// a file, the whole file, and moves the head.
type Machine struct {
	mover    head.Mover
	decision sign.Decision
	chosen   *file.Assembly
	roster   head.Roster
	ready    bool
}

// New prepares a signed decision.
func New(d sign.Decision, deadline time.Time, seed uint64) *Machine {
	return &Machine{
		mover:    head.NewMover(deadline, seed),
		decision: d,
		ready:    d.Verdict != sign.Take,
	}
}

// Step takes one event and gives the one call to make next.
func (m *Machine) Step(now time.Time, e head.Event) []head.Action {
	switch e := e.(type) {
	case head.Begin, head.Woke:
		return get(head.Key)
	case head.Got:
		if e.Key != head.Key {
			return m.gather(e.Value)
		}
		return m.decide(now, e)
	case head.Swapped:
		return m.mover.Moved()
	case head.Conflicted:
		m.mover.Conflicts++
		return m.decide(now, head.Got(e))
	case head.Away:
		return m.mover.Retry(now)
	}
	return nil
}

func (m *Machine) decide(now time.Time, e head.Got) []head.Action {
	h, err := head.Decode(e.Value)
	if err != nil {
		return m.mover.Broken(h, err)
	}
	if m.ready {
		return m.mover.Move(Decide(now, h, m.decision, m.roster), e.Version)
	}
	r := Decide(now, h, m.decision, m.roster)
	chosen, waits := h.FindWaiting(m.decision.Chosen)
	if !waits || Check(h, m.decision) != nil {
		return m.mover.Move(r, e.Version)
	}
	if m.chosen == nil {
		m.chosen = file.NewAssembly(chosen.Proposal.Content, nil)
	}
	return m.next(h)
}

// gather takes a part of the chosen file.
func (m *Machine) gather(part []byte) []head.Action {
	if !m.chosen.Offer(part) {
		return m.mover.Broken(head.Head{}, file.ErrPiece)
	}
	return m.next(head.Head{})
}

// next asks for the next part, or reads the head again with the whole file.
func (m *Machine) next(h head.Head) []head.Action {
	if need, ok := m.chosen.Need(); ok {
		return get(head.ContentKey(need))
	}
	f, err := m.chosen.File()
	if err != nil {
		return m.mover.Broken(h, err)
	}
	m.roster = head.RosterOf(f)
	m.ready = true
	return get(head.Key)
}

func get(key string) []head.Action {
	return []head.Action{
		head.Get{
			Key: key,
		},
	}
}
