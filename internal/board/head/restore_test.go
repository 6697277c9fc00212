package head_test

import (
	"crypto/ed25519"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/board/chair"
	"github.com/clementinewing/clementinewing/internal/board/file"
	"github.com/clementinewing/clementinewing/internal/board/head"
	"github.com/clementinewing/clementinewing/internal/board/sign"
	"github.com/clementinewing/clementinewing/internal/fake/script"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

func TestHead(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "head")
}

var almaKey = ed25519.NewKeyFromSeed([]byte("an operator's seed has 32 bytes."))

// restoredStore is the head of a store, a copy of it, and the record that a node has active.
type restoredStore struct {
	head   head.Head
	copied head.Head
	active head.Record
	roster head.Roster
	known  map[uint64]sign.ID
	// names holds the name of each proposal.
	names map[sign.ID]string
}

// fileOf returns a file whose content depends on its name.
func fileOf(name string, base uint64) file.File {
	return file.File{
		Name:  "nileroll",
		Base:  base,
		Chair: "alma",
		Operators: []file.Operator{
			{
				Name: "alma",
				Key:  almaKey.Public().(ed25519.PublicKey),
			},
		},
		Services: []file.Service{
			{
				Spec: spec.Service{
					Name: name,
				},
			},
		},
	}
}

func (s *restoredStore) proposal(name string, base uint64) (sign.Proposal, head.Roster) {
	f := fileOf(name, base)
	p := sign.Proposal{
		File:     f.Name,
		Base:     base,
		Content:  f.Hash(),
		Operator: "alma",
	}
	p.Sign(almaKey)
	s.names[p.ID()] = name
	return p, head.RosterOf(f)
}

// put stores the head of a result and returns its text.
func (s *restoredStore) put(r head.Result) string {
	if r.Changed {
		s.head = r.Head
		return s.text()
	}
	if r.Refusal != nil {
		return string(r.Refusal.Reason)
	}
	return "unchanged " + s.text()
}

// text returns the revision and file in force and the waiting files.
func (s *restoredStore) text() string {
	text := fmt.Sprint(s.head.Record.Revision)
	if s.head.Record.Revision > 0 {
		text += " " + s.names[s.head.Record.Proposal.ID()]
	}
	for _, w := range s.head.Waiting {
		text += ", waiting " + s.names[w.Proposal.ID()]
	}
	return text
}

func (s *restoredStore) take(name string) string {
	var chosen sign.Proposal
	for _, w := range s.head.Waiting {
		if s.names[w.Proposal.ID()] == name {
			chosen = w.Proposal
		}
	}
	d := sign.Decision{
		File:     "nileroll",
		Revision: s.head.Record.Revision,
		Verdict:  sign.Take,
		Chosen:   chosen.ID(),
		Settled:  []sign.ID{chosen.ID()},
		Chair:    "alma",
	}
	d.Sign(almaKey)
	return s.put(chair.ApplyDecision(time.Time{}, s.head, d, head.RosterOf(fileOf(name, chosen.Base))))
}

// run handles one line of a script: apply (NAME, base=REVISION), take (NAME), copy, lose,
// node (unaware if it does not know the revisions before), write_back.
func (s *restoredStore) run(l *script.Line) string {
	switch l.Event {
	case "apply":
		p, roster := s.proposal(l.Words[0], uint64(l.Int("base", 0)))
		r := s.head.ApplyProposal(time.Time{}, p, roster)
		text := s.put(r)
		if r.Refusal != nil {
			return string(r.Refusal.Reason)
		}
		return strings.TrimPrefix(text, "unchanged ")
	case "take":
		return s.take(l.Words[0])
	case "copy":
		s.copied = s.head
	case "lose":
		s.head = s.copied
		return s.text()
	case "node":
		s.active = s.head.Record
		s.roster = s.head.Roster
		s.known = map[uint64]sign.ID{}
		for _, c := range s.head.History {
			if !l.Has("unaware") {
				s.known[c.Revision] = c.ProposalID
			}
		}
	case "write_back":
		r := s.head.RestoreRecord(time.Time{}, s.active, s.roster, s.known)
		if !r.Changed {
			return "unchanged " + s.text()
		}
		return s.put(r)
	default:
		panic(errors.New("unknown event " + l.Event))
	}
	return ""
}

var _ = Describe("RestoreRecord", func() {
	cases, err := script.Read("testdata/restore.txt")
	if err != nil {
		panic(err)
	}
	for _, c := range cases {
		It(c.Name, func() {
			s := &restoredStore{
				names: map[sign.ID]string{},
			}
			for i := range c.Lines {
				l := &c.Lines[i]
				Expect(s.run(l)).To(Equal(l.Want), "line %d", l.Number)
			}
		})
	}
})
