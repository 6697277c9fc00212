package head

import (
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/board/sign"
)

// Result is the outcome of a proposal or a decision. Head is the value to write if
// Changed is set; otherwise the head is unchanged. Refusal is nil if the proposal or
// decision took effect, now or on an earlier attempt; Revision is the resulting revision.
type Result struct {
	Head     Head
	Changed  bool
	Revision uint64
	Refusal  *RefusalError
}

// ApplyProposal applies a proposal of the file with the given roster. It is idempotent:
// a repeated proposal gets the same answer as long as the history reaches back to its
// base. After that it is refused.
func (h Head) ApplyProposal(now time.Time, p sign.Proposal, roster Roster) Result {
	if r, ok := h.earlierResult(p); ok {
		return r
	}
	if r := h.CheckProposal(p, roster); r != nil {
		return h.refuse(r)
	}
	switch {
	case p.Base > h.Record.Revision:
		return h.refuse(NewRefusal(UnknownBase, "the base of the file is revision %d, but revision %d is in force", p.Base, h.Record.Revision))
	case p.Base < h.DroppedRevision:
		return h.refuse(NewRefusal(PassedBase, "the base of the file is revision %d, but revision %d is in force and the history starts after revision %d",
			p.Base, h.Record.Revision, h.DroppedRevision))
	case p.Base < h.Record.Revision:
		return h.addWaiting(now, p)
	default:
		return h.putInForce(now, p, roster)
	}
}

// CheckProposal checks that the signer of a proposal is an operator both in the file in
// force and, with the same key, in the new file.
func (h Head) CheckProposal(p sign.Proposal, roster Roster) *RefusalError {
	inForce := h.Roster
	if h.Record.Revision == 0 {
		inForce = roster
	}
	if p.File != inForce.Name || roster.Name != inForce.Name {
		return NewRefusal(ForeignFile, "the file belongs to deployment %q, the file in force to %q", p.File, inForce.Name)
	}
	operator, ok := inForce.Operator(p.Operator)
	if !ok {
		return NewRefusal(UnknownOperator, "%q is not an operator in the file in force", p.Operator)
	}
	if !p.SignedBy(operator.Key) {
		return NewRefusal(BadSignature, "the signature does not match the key of %s in the file in force", p.Operator)
	}
	listed, ok := roster.Operator(p.Operator)
	if !ok || !listed.Key.Equal(operator.Key) {
		return NewRefusal(UnlistedSigner, "the file does not list operator %s with the key that signed it", p.Operator)
	}
	return nil
}

// earlierResult looks up the outcome of an earlier attempt.
func (h Head) earlierResult(p sign.Proposal) (Result, bool) {
	id := p.ID()
	for _, c := range h.History {
		if c.Kind != Kept && c.ProposalID == id {
			return Result{
				Head:     h,
				Revision: c.Revision,
			}, true
		}
		if slices.Contains(c.Settled, id) {
			return h.refuse(NewRefusal(NotChosen, "%s decided against the file at revision %d", c.Chair, c.Revision)), true
		}
	}
	if _, ok := h.FindWaiting(id); ok {
		return h.refuse(h.waitingRefusal(p)), true
	}
	return Result{}, false
}

func (h Head) addWaiting(now time.Time, p sign.Proposal) Result {
	if len(h.Waiting) >= MaxWaiting {
		return h.refuse(NewRefusal(WaitingFull, "%d files are already waiting for %s", len(h.Waiting), h.Roster.Chair))
	}
	next := h
	next.Waiting = append(slices.Clone(h.Waiting), Waiting{
		Proposal: p,
		Since:    now,
	})
	return Result{
		Head:    next,
		Changed: true,
		Refusal: h.waitingRefusal(p),
	}
}

func (h Head) waitingRefusal(p sign.Proposal) *RefusalError {
	return NewRefusal(WaitingForChair, "the base of file %s is revision %d, but revision %d is in force; waiting for a decision by %s",
		p.ID(), p.Base, h.Record.Revision, h.Roster.Chair)
}

func (h Head) putInForce(now time.Time, p sign.Proposal, roster Roster) Result {
	next := h
	next.Roster = roster
	next.Record = Record{
		Revision: h.Record.Revision + 1,
		Proposal: p,
	}
	next.AppendChange(Change{
		Kind:       Applied,
		Revision:   next.Record.Revision,
		ProposalID: p.ID(),
		Operator:   p.Operator,
		Base:       p.Base,
		At:         now,
	})
	return Result{
		Head:     next,
		Changed:  true,
		Revision: next.Record.Revision,
	}
}

func (h Head) refuse(r *RefusalError) Result {
	return Result{
		Head:    h,
		Refusal: r,
	}
}
