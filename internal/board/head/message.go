package head

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/board/file"
)

// ContentKey is where the store holds a manifest or a piece.
func ContentKey(h file.Hash) string {
	return "board/content/" + h.String()
}

// Event is what happened to a machine that talks to the store. A machine has
// one call under way at a time.
type Event interface{ event() }

// Begin starts a machine.
type Begin struct{}

// Got answers a Get. Version is 0 if there is no entry.
type Got struct {
	Key     string
	Value   []byte
	Version uint64
}

// Swapped answers a Swap that was written.
type Swapped struct {
	Key string
}

// Conflicted answers a Swap that met another version, with what is there.
type Conflicted struct {
	Key     string
	Value   []byte
	Version uint64
}

// Away means that no answer to the call came. A Swap may have been written.
type Away struct{}

// Woke ends a Sleep.
type Woke struct{}

func (Begin) event()      {}
func (Got) event()        {}
func (Swapped) event()    {}
func (Conflicted) event() {}
func (Away) event()       {}
func (Woke) event()       {}

// Action is what a machine wants done.
type Action interface{ action() }

// Get reads an entry.
type Get struct {
	Key string
}

// Swap writes an entry if it has the version.
type Swap struct {
	Key     string
	Version uint64
	Value   []byte
}

// Sleep waits.
type Sleep struct {
	Until time.Time
}

// Finish ends the machine.
type Finish struct {
	Result Result
}

func (Get) action()    {}
func (Swap) action()   {}
func (Sleep) action()  {}
func (Finish) action() {}
