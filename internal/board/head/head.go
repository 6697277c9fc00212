// Package head defines the head, which says which file is in force: its revision, who
// signed it, which files are waiting for the chair, and the history. The head is a single
// value in the store and is updated by compare-and-swap, so that every change is atomic.
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
	// Key is the key of the head in the store.
	Key = "board/head"
	// MaxHistory is the maximum number of changes in the history.
	MaxHistory = 64
	// MaxWaiting is the maximum number of files waiting for the chair.
	MaxWaiting = 16
)

// Roster holds the operators of a file, their chair and the name of the deployment.
type Roster struct {
	Name      string          `json:"name"`
	Chair     string          `json:"chair"`
	Operators []file.Operator `json:"operators"`
}

// Record describes a revision. A node needs it to verify the file before adopting it.
type Record struct {
	Revision uint64        `json:"revision"`
	Proposal sign.Proposal `json:"proposal"`
	// Decision is set if the file came into force by a decision of the chair.
	Decision *sign.Decision `json:"decision,omitempty"`
}

// Waiting is a file that is waiting for the chair, because another file has come in
// force since its base.
type Waiting struct {
	Proposal sign.Proposal `json:"proposal"`
	Since    time.Time     `json:"since"`
}

// ChangeKind is the kind of a change of the head.
type ChangeKind string

const (
	// Applied means that an operator's file came into force.
	Applied ChangeKind = "applied"
	// Taken means that the chair put a waiting file in force.
	Taken ChangeKind = "taken"
	// Kept means that the chair left the file in force.
	Kept ChangeKind = "kept"
)

// Change is one entry of the history.
type Change struct {
	Kind ChangeKind `json:"act"`
	// Revision is the revision in force after the change.
	Revision uint64 `json:"revision"`
	// ProposalID is the ID of the proposal that came into force, if any.
	ProposalID sign.ID `json:"id"`
	// Operator is the operator who signed the proposal.
	Operator string `json:"operator,omitempty"`
	Base     uint64 `json:"base"`
	// DecisionID, Chair and Settled are set for a decision of the chair.
	DecisionID sign.ID   `json:"decision"`
	Chair      string    `json:"chair,omitempty"`
	Settled    []sign.ID `json:"settled,omitempty"`
	At         time.Time `json:"at"`
}

// Head is the state of the deployment's file. Its zero value has no file in force.
type Head struct {
	Record  Record    `json:"record"`
	Roster  Roster    `json:"roster"`
	Waiting []Waiting `json:"waiting"`
	// History is sorted by time, with the newest change last.
	History []Change `json:"history"`
	// DroppedRevision is the highest revision of a change that was dropped from the
	// history. Whether a file with an older base was applied is no longer known.
	DroppedRevision uint64 `json:"forgotten"`
}

// RosterOf returns the roster of a file.
func RosterOf(f file.File) Roster {
	return Roster{
		Name:      f.Name,
		Chair:     f.Chair,
		Operators: f.Operators,
	}
}

// Operator returns the operator with a name.
func (r Roster) Operator(name string) (file.Operator, bool) {
	i := slices.IndexFunc(r.Operators, func(o file.Operator) bool {
		return o.Name == name
	})
	if i < 0 {
		return file.Operator{}, false
	}
	return r.Operators[i], true
}

// Encode encodes the head for the store.
func (h Head) Encode() (b []byte, err error) {
	defer func() { err = eris.Wrap(err, "encoding the head") }()
	return json.Marshal(h)
}

// Decode decodes a head from the store. An empty value yields the zero head.
func Decode(b []byte) (h Head, err error) {
	defer func() { err = eris.Wrap(err, "decoding the head") }()
	if len(b) == 0 {
		return h, nil
	}
	err = json.Unmarshal(b, &h)
	return h, err
}

// FindWaiting returns the waiting file with an ID.
func (h Head) FindWaiting(id sign.ID) (Waiting, bool) {
	for _, w := range h.Waiting {
		if w.Proposal.ID() == id {
			return w, true
		}
	}
	return Waiting{}, false
}

// AppendChange adds a change to the history and drops the oldest changes beyond
// MaxHistory. It does not modify the receiver's slices in place.
func (h *Head) AppendChange(c Change) {
	history := append(slices.Clone(h.History), c)
	if over := len(history) - MaxHistory; over > 0 {
		h.DroppedRevision = max(h.DroppedRevision, history[over-1].Revision)
		history = history[over:]
	}
	h.History = history
}
