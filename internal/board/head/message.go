package head

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/board/file"
)

// ContentKey returns the key of a manifest or a piece in the store.
func ContentKey(h file.Hash) string {
	return "board/content/" + h.String()
}

// Event is an input of a machine that uses the store. A machine has at most one call
// pending.
type Event interface{ event() }

// Begin starts a machine.
type Begin struct{}

// Got answers a Get. The version is 0 if the entry does not exist.
type Got struct {
	Key     string
	Value   []byte
	Version uint64
}

// Swapped answers a Swap that succeeded.
type Swapped struct {
	Key string
}

// Conflicted answers a Swap that found another version. It holds the current entry.
type Conflicted struct {
	Key     string
	Value   []byte
	Version uint64
}

// NoAnswer means that the call was not answered. A Swap may nevertheless have been
// carried out.
type NoAnswer struct{}

// SleepEnded ends a Sleep.
type SleepEnded struct{}

func (Begin) event()      {}
func (Got) event()        {}
func (Swapped) event()    {}
func (Conflicted) event() {}
func (NoAnswer) event()   {}
func (SleepEnded) event() {}

// Action is an output of a machine for its caller to carry out.
type Action interface{ action() }

// Get reads an entry.
type Get struct {
	Key string
}

// Swap writes an entry if its current version is Version.
type Swap struct {
	Key     string
	Version uint64
	Value   []byte
}

// Sleep waits until a time.
type Sleep struct {
	Until time.Time
}

// Finish ends the machine with a result.
type Finish struct {
	Result Result
}

func (Get) action()    {}
func (Swap) action()   {}
func (Sleep) action()  {}
func (Finish) action() {}
