package head

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/board/file"
	"github.com/clementinewing/clementinewing/internal/board/sign"
)

// Apply is the state machine of one operator's apply. It reads the head, writes
// the parts that the file in force does not share, and moves the head.
type Apply struct {
	mover    Mover
	proposal sign.Proposal
	roster   Roster
	// parts are still to be written; the manifest is the last.
	parts []part
	// shared is the content whose parts the store is known to hold.
	shared file.Hash
}

type part struct {
	hash  file.Hash
	value []byte
}

// NewApply prepares the apply of a file under a signed proposal of it.
func NewApply(f file.File, p sign.Proposal, deadline time.Time, seed uint64) *Apply {
	a := &Apply{
		mover:    NewMover(deadline, seed),
		proposal: p,
		roster:   RosterOf(f),
	}
	manifest, pieces := f.Split()
	for i := range pieces {
		a.parts = append(a.parts, part{
			hash:  manifest[i],
			value: pieces[i],
		})
	}
	a.parts = append(a.parts, part{
		hash:  manifest.Hash(),
		value: manifest.Bytes(),
	})
	return a
}

// Step takes one event and gives the one call to make next.
func (a *Apply) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Begin, Woke:
		return readHead()
	case Got:
		return a.got(now, e)
	case Swapped:
		if e.Key == Key {
			return a.mover.Moved()
		}
		return a.partHeld()
	case Conflicted:
		return a.conflicted(now, e)
	case Away:
		return a.mover.Retry(now)
	}
	return nil
}

func (a *Apply) got(now time.Time, e Got) []Action {
	if e.Key != Key {
		a.share(e.Value)
		return a.write()
	}
	h, err := Decode(e.Value)
	if err != nil {
		return a.mover.Broken(h, err)
	}
	r := h.Propose(now, a.proposal, a.roster)
	if !r.Changed || len(a.parts) == 0 {
		return a.mover.Move(r, e.Version)
	}
	if force := h.Record.Proposal.Content; h.Record.Revision > 0 && a.shared != force {
		a.shared = force
		return []Action{
			Get{
				Key: ContentKey(force),
			},
		}
	}
	return a.write()
}

// share strikes the parts that the manifest of the file in force lists.
func (a *Apply) share(manifest []byte) {
	m, err := file.ParseManifest(manifest)
	if err != nil {
		return
	}
	held := make(map[file.Hash]bool, len(m))
	for _, h := range m {
		held[h] = true
	}
	left := a.parts[:0]
	for _, p := range a.parts {
		if !held[p.hash] {
			left = append(left, p)
		}
	}
	a.parts = left
}

// write writes the next part, or reads the head again once all are held.
func (a *Apply) write() []Action {
	if len(a.parts) == 0 {
		return readHead()
	}
	return []Action{
		Swap{
			Key:   ContentKey(a.parts[0].hash),
			Value: a.parts[0].value,
		},
	}
}

func (a *Apply) partHeld() []Action {
	a.parts = a.parts[1:]
	return a.write()
}

// conflicted looks at what was there instead: a part that another try wrote, or
// a head that someone else moved.
func (a *Apply) conflicted(now time.Time, e Conflicted) []Action {
	a.mover.Conflicts++
	if e.Key == Key {
		return a.got(now, Got(e))
	}
	if file.Sum(e.Value) == a.parts[0].hash {
		return a.partHeld()
	}
	return []Action{
		Swap{
			Key:     e.Key,
			Version: e.Version,
			Value:   a.parts[0].value,
		},
	}
}

func readHead() []Action {
	return []Action{
		Get{
			Key: Key,
		},
	}
}
