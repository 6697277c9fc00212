// Package head is the one record that says which file is in force: its revision,
// who signed it, which files wait for the chair and what happened before. It is
// one value of the store, moved by compare-and-swap, so that every change of it
// is atomic.
package head

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/clementinewing/clementinewing/internal/board/file"
	"github.com/clementinewing/clementinewing/internal/board/sign"
)

const (
	// Key is where the store holds the head.
	Key = "board/head"
	// MaxHistory bounds the remembered changes.
	MaxHistory = 64
	// MaxWaiting bounds the files that wait for the chair.
	MaxWaiting = 16
)

// Roster is what the file in force says about people.
type Roster struct {
	Name      string          `json:"name"`
	Chair     string          `json:"chair"`
	Operators []file.Operator `json:"operators"`
}

// Record is what a node needs to know of a revision before it adopts the file.
type Record struct {
	Revision uint64        `json:"revision"`
	Proposal sign.Proposal `json:"proposal"`
	// Decision is set if a chair put the file in force.
	Decision *sign.Decision `json:"decision,omitempty"`
}

// Waiting is a file whose base has been passed.
type Waiting struct {
	Proposal sign.Proposal `json:"proposal"`
	Since    time.Time     `json:"since"`
}

// Act is what a change of the head did.
type Act string

const (
	// Applied means that an operator's file came in force.
	Applied Act = "applied"
	// Taken means that the chair put a waiting file in force.
	Taken Act = "taken"
	// Kept means that the chair left the file in force.
	Kept Act = "kept"
)

// Change is one line of the history.
type Change struct {
	Act Act `json:"act"`
	// Revision is the one in force after the change.
	Revision uint64 `json:"revision"`
	// ID is that of the proposal that came in force, if one did.
	ID sign.ID `json:"id"`
	// Operator signed the proposal.
	Operator string `json:"operator,omitempty"`
	Base     uint64 `json:"base"`
	// Decision, Chair and Settled are set if a chair decided.
	Decision sign.ID   `json:"decision"`
	Chair    string    `json:"chair,omitempty"`
	Settled  []sign.ID `json:"settled,omitempty"`
	At       time.Time `json:"at"`
}

// Head is the record. Its zero value has no file in force.
type Head struct {
	Record  Record    `json:"record"`
	Roster  Roster    `json:"roster"`
	Waiting []Waiting `json:"waiting"`
	// History has the newest change last.
	History []Change `json:"history"`
	// Forgotten is the highest revision of a change that the history dropped.
	// Whether a file on an older base was applied can't be told any more.
	Forgotten uint64 `json:"forgotten"`
}

// RosterOf reads the roster from a file.
func RosterOf(f file.File) Roster {
	return Roster{
		Name:      f.Name,
		Chair:     f.Chair,
		Operators: f.Operators,
	}
}

// Operator finds an operator by name.
func (r Roster) Operator(name string) (file.Operator, bool) {
	i := slices.IndexFunc(r.Operators, func(o file.Operator) bool {
		return o.Name == name
	})
	if i < 0 {
		return file.Operator{}, false
	}
	return r.Operators[i], true
}

// Encode writes the head as the store holds it.
func (h Head) Encode() (b []byte, err error) {
	defer func() { err = eris.Wrap(err, "encoding the head") }()
	return json.Marshal(h)
}

// Decode reads what the store holds; nothing is the zero head.
func Decode(b []byte) (h Head, err error) {
	defer func() { err = eris.Wrap(err, "decoding the head") }()
	if len(b) == 0 {
		return h, nil
	}
	err = json.Unmarshal(b, &h)
	return h, err
}

// FindWaiting finds a waiting file by its id.
func (h Head) FindWaiting(id sign.ID) (Waiting, bool) {
	for _, w := range h.Waiting {
		if w.Proposal.ID() == id {
			return w, true
		}
	}
	return Waiting{}, false
}

// Remember adds a change to the history and drops the oldest beyond MaxHistory.
// The receiver's slices are left as they are.
func (h *Head) Remember(c Change) {
	history := append(slices.Clone(h.History), c)
	if over := len(history) - MaxHistory; over > 0 {
		h.Forgotten = max(h.Forgotten, history[over-1].Revision)
		history = history[over:]
	}
	h.History = history
}
