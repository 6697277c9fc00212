package head

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/board/file"
	"github.com/clementinewing/clementinewing/internal/board/sign"
)

// Apply is the state machine that puts one file in the store: an operator's new one, or one
// that the store has lost. It reads the head, writes the parts that are not also part of
// the file in force, and updates the head.
type Apply struct {
	updater Updater
	// change computes the new head from the one that was read.
	change func(now time.Time, h Head) Result
	// unwritten are the parts still to be written, the manifest last.
	unwritten []part
	// sharedContent is the content hash of the file in force whose manifest was read
	// last to find the parts that need not be written.
	sharedContent file.Hash
}

type part struct {
	hash  file.Hash
	value []byte
}

// NewApply returns a machine that applies a file with its signed proposal. It gives up
// at the deadline; the seed determines the retry jitter.
func NewApply(f file.File, p sign.Proposal, deadline time.Time, seed uint64) *Apply {
	return newUpdate(f, deadline, seed, func(now time.Time, h Head) Result {
		return h.ApplyProposal(now, p, RosterOf(f))
	})
}

func newUpdate(f file.File, deadline time.Time, seed uint64, change func(time.Time, Head) Result) *Apply {
	a := &Apply{
		updater: NewUpdater(deadline, seed),
		change:  change,
	}
	manifest, pieces := f.Split()
	for i := range pieces {
		a.unwritten = append(a.unwritten, part{
			hash:  manifest[i],
			value: pieces[i],
		})
	}
	a.unwritten = append(a.unwritten, part{
		hash:  manifest.Hash(),
		value: manifest.Bytes(),
	})
	return a
}

// Step handles one event and returns the next action.
func (a *Apply) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Begin, SleepEnded:
		return readHead()
	case Got:
		return a.handleValue(now, e)
	case Swapped:
		if e.Key == Key {
			return a.updater.Written()
		}
		return a.partStored()
	case Conflicted:
		return a.resolveConflict(now, e)
	case NoAnswer:
		return a.updater.Retry(now)
	}
	return nil
}

func (a *Apply) handleValue(now time.Time, e Got) []Action {
	if e.Key != Key {
		a.dropSharedParts(e.Value)
		return a.writeNextPart()
	}
	h, err := Decode(e.Value)
	if err != nil {
		return a.updater.FailUnreadable(h, err)
	}
	r := a.change(now, h)
	if !r.Changed || len(a.unwritten) == 0 {
		return a.updater.Write(r, e.Version)
	}
	if inForce := h.Record.Proposal.Content; h.Record.Revision > 0 && a.sharedContent != inForce {
		a.sharedContent = inForce
		return []Action{
			Get{
				Key: ContentKey(inForce),
			},
		}
	}
	return a.writeNextPart()
}

// dropSharedParts removes the parts that the manifest of the file in force also lists.
func (a *Apply) dropSharedParts(manifest []byte) {
	m, err := file.ParseManifest(manifest)
	if err != nil {
		return
	}
	shared := make(map[file.Hash]bool, len(m))
	for _, h := range m {
		shared[h] = true
	}
	remaining := a.unwritten[:0]
	for _, p := range a.unwritten {
		if !shared[p.hash] {
			remaining = append(remaining, p)
		}
	}
	a.unwritten = remaining
}

// writeNextPart writes the next part. Once all parts are stored, it reads the head
// again.
func (a *Apply) writeNextPart() []Action {
	if len(a.unwritten) == 0 {
		return readHead()
	}
	return []Action{
		Swap{
			Key:   ContentKey(a.unwritten[0].hash),
			Value: a.unwritten[0].value,
		},
	}
}

func (a *Apply) partStored() []Action {
	a.unwritten = a.unwritten[1:]
	return a.writeNextPart()
}

// resolveConflict continues after a failed swap: the part was already written by an
// earlier attempt, or the head was changed by someone else. A part that was stored with
// the wrong content is overwritten.
func (a *Apply) resolveConflict(now time.Time, e Conflicted) []Action {
	a.updater.Conflicts++
	if e.Key == Key {
		return a.handleValue(now, Got(e))
	}
	if file.Sum(e.Value) == a.unwritten[0].hash {
		return a.partStored()
	}
	return []Action{
		Swap{
			Key:     e.Key,
			Version: e.Version,
			Value:   a.unwritten[0].value,
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
