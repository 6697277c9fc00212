package head

import (
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/board/sign"
)

// Result is what a proposal or a decision came to. Head is the value to write
// if Changed; otherwise the head stays as it is. Refusal is nil if the file came
// in force with Revision, now or on an earlier try.
type Result struct {
	Head     Head
	Changed  bool
	Revision uint64
	Refusal  *RefusalError
}

// Propose decides about a proposal of the file with the given roster. It is
// idempotent: the same proposal gives the same answer on every later try, as
// long as the history reaches back to its base, and is refused after that.
func (h Head) Propose(now time.Time, p sign.Proposal, roster Roster) Result {
	if r, ok := h.recall(p); ok {
		return r
	}
	if r := h.CheckProposal(p, roster); r != nil {
		return h.refused(r)
	}
	switch {
	case p.Base > h.Record.Revision:
		return h.refused(Refuse(UnknownBase, "the file builds on revision %d, but %d is in force", p.Base, h.Record.Revision))
	case p.Base < h.Forgotten:
		return h.refused(Refuse(PassedBase, "the file builds on revision %d, but %d is in force and the history begins after %d",
			p.Base, h.Record.Revision, h.Forgotten))
	case p.Base < h.Record.Revision:
		return h.collide(now, p)
	default:
		return h.accept(now, p, roster)
	}
}

// CheckProposal checks who signed a proposal: an operator of the file in force,
// who is also one of the new file.
func (h Head) CheckProposal(p sign.Proposal, roster Roster) *RefusalError {
	force := h.Roster
	if h.Record.Revision == 0 {
		force = roster
	}
	if p.File != force.Name || roster.Name != force.Name {
		return Refuse(ForeignFile, "the file is named %q, the one in force %q", p.File, force.Name)
	}
	operator, ok := force.Operator(p.Operator)
	if !ok {
		return Refuse(UnknownOperator, "%q is no operator of the file in force", p.Operator)
	}
	if !p.Signed(operator.Key) {
		return Refuse(BadSignature, "the signature is not by the key of %s in the file in force", p.Operator)
	}
	own, ok := roster.Operator(p.Operator)
	if !ok || !own.Key.Equal(operator.Key) {
		return Refuse(UnlistedSigner, "the file does not list %s with the key that signed it", p.Operator)
	}
	return nil
}

// recall finds what an earlier try came to.
func (h Head) recall(p sign.Proposal) (Result, bool) {
	id := p.ID()
	for _, c := range h.History {
		if c.Act != Kept && c.ID == id {
			return Result{
				Head:     h,
				Revision: c.Revision,
			}, true
		}
		if slices.Contains(c.Settled, id) {
			return h.refused(Refuse(NotChosen, "%s decided at revision %d for another file", c.Chair, c.Revision)), true
		}
	}
	if _, ok := h.FindWaiting(id); ok {
		return h.refused(h.waits(p)), true
	}
	return Result{}, false
}

func (h Head) collide(now time.Time, p sign.Proposal) Result {
	if len(h.Waiting) >= MaxWaiting {
		return h.refused(Refuse(WaitingFull, "%d files wait for %s already", len(h.Waiting), h.Roster.Chair))
	}
	next := h
	next.Waiting = append(slices.Clone(h.Waiting), Waiting{
		Proposal: p,
		Since:    now,
	})
	return Result{
		Head:    next,
		Changed: true,
		Refusal: h.waits(p),
	}
}

func (h Head) waits(p sign.Proposal) *RefusalError {
	return Refuse(WaitingForChair, "file %s builds on revision %d, but %d is in force; %s decides",
		p.ID(), p.Base, h.Record.Revision, h.Roster.Chair)
}

func (h Head) accept(now time.Time, p sign.Proposal, roster Roster) Result {
	next := h
	next.Roster = roster
	next.Record = Record{
		Revision: h.Record.Revision + 1,
		Proposal: p,
	}
	next.Remember(Change{
		Act:      Applied,
		Revision: next.Record.Revision,
		ID:       p.ID(),
		Operator: p.Operator,
		Base:     p.Base,
		At:       now,
	})
	return Result{
		Head:     next,
		Changed:  true,
		Revision: next.Record.Revision,
	}
}

func (h Head) refused(r *RefusalError) Result {
	return Result{
		Head:    h,
		Refusal: r,
	}
}
