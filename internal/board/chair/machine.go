package chair

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/board/file"
	"github.com/clementinewing/clementinewing/internal/board/head"
	"github.com/clementinewing/clementinewing/internal/board/sign"
)

// Machine is the state machine that carries out one decision. It reads the head and,
// for a take, all parts of the chosen file, then updates the head.
type Machine struct {
	updater  head.Updater
	decision sign.Decision
	assembly *file.Assembly
	roster   head.Roster
	// rosterReady is set once the roster of the chosen file is known, and from the
	// start for a decision to keep.
	rosterReady bool
}

// New returns a machine for a signed decision. It gives up at the deadline; the seed
// determines the retry jitter.
func New(d sign.Decision, deadline time.Time, seed uint64) *Machine {
	return &Machine{
		updater:     head.NewUpdater(deadline, seed),
		decision:    d,
		rosterReady: d.Verdict != sign.Take,
	}
}

// Step handles one event and returns the next action.
func (m *Machine) Step(now time.Time, e head.Event) []head.Action {
	switch e := e.(type) {
	case head.Begin, head.SleepEnded:
		return get(head.Key)
	case head.Got:
		if e.Key != head.Key {
			return m.addPart(e.Value)
		}
		return m.handleHead(now, e)
	case head.Swapped:
		return m.updater.Written()
	case head.Conflicted:
		m.updater.Conflicts++
		return m.handleHead(now, head.Got(e))
	case head.NoAnswer:
		return m.updater.Retry(now)
	}
	return nil
}

func (m *Machine) handleHead(now time.Time, e head.Got) []head.Action {
	h, err := head.Decode(e.Value)
	if err != nil {
		return m.updater.FailUnreadable(h, err)
	}
	if m.rosterReady {
		return m.updater.Write(ApplyDecision(now, h, m.decision, m.roster), e.Version)
	}
	r := ApplyDecision(now, h, m.decision, m.roster)
	chosen, waiting := h.FindWaiting(m.decision.Chosen)
	if !waiting || CheckDecision(h, m.decision) != nil {
		return m.updater.Write(r, e.Version)
	}
	if m.assembly == nil {
		m.assembly = file.NewAssembly(chosen.Proposal.Content, nil)
	}
	return m.fetchNext(h)
}

// addPart adds a fetched part of the chosen file.
func (m *Machine) addPart(part []byte) []head.Action {
	if !m.assembly.Add(part) {
		return m.updater.FailUnreadable(head.Head{}, file.ErrPieceMismatch)
	}
	return m.fetchNext(head.Head{})
}

// fetchNext requests the next missing part. Once the file is complete, it reads the
// head again to apply the decision.
func (m *Machine) fetchNext(h head.Head) []head.Action {
	if need, ok := m.assembly.NextMissing(); ok {
		return get(head.ContentKey(need))
	}
	f, err := m.assembly.File()
	if err != nil {
		return m.updater.FailUnreadable(h, err)
	}
	m.roster = head.RosterOf(f)
	m.rosterReady = true
	return get(head.Key)
}

func get(key string) []head.Action {
	return []head.Action{
		head.Get{
			Key: key,
		},
	}
}
