// Package chair settles collisions: the chair whom the file in force names takes
// one waiting file as a whole, or keeps the file in force.
package chair

import (
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/board/head"
	"github.com/clementinewing/clementinewing/internal/board/sign"
)

// Decide applies a decision to the head. Roster is that of the chosen file, and
// unused to keep. It is idempotent as long as the history holds the decision;
// later the revision it names has been passed or its files no longer wait.
func Decide(now time.Time, h head.Head, d sign.Decision, roster head.Roster) head.Result {
	if revision, ok := recall(h, d); ok {
		return head.Result{
			Head:     h,
			Revision: revision,
		}
	}
	refusal := Check(h, d)
	if refusal == nil && d.Verdict == sign.Take {
		chosen, _ := h.FindWaiting(d.Chosen)
		refusal = h.CheckProposal(chosen.Proposal, roster)
	}
	if refusal != nil {
		return head.Result{
			Head:    h,
			Refusal: refusal,
		}
	}
	return settle(now, h, d, roster)
}

// Check tells what is wrong with a decision, as far as the head alone shows.
func Check(h head.Head, d sign.Decision) *head.RefusalError {
	if d.File != h.Roster.Name {
		return head.Refuse(head.ForeignFile, "the decision is about %q, the file in force is named %q", d.File, h.Roster.Name)
	}
	if r := CheckSigner(h.Roster, d); r != nil {
		return r
	}
	if d.Revision != h.Record.Revision {
		return head.Refuse(head.PassedBase, "the decision was made at revision %d, but %d is in force", d.Revision, h.Record.Revision)
	}
	return checkFiles(h, d)
}

// CheckSigner checks that the chair of the roster signed a decision.
func CheckSigner(r head.Roster, d sign.Decision) *head.RefusalError {
	operator, ok := r.Operator(d.Chair)
	if !ok {
		return head.Refuse(head.UnknownOperator, "%q is no operator of the file in force", d.Chair)
	}
	if !d.Signed(operator.Key) {
		return head.Refuse(head.BadSignature, "the signature is not by the key of %s in the file in force", d.Chair)
	}
	if d.Chair != r.Chair {
		return head.Refuse(head.NotYours, "%s decides, not %s", r.Chair, d.Chair)
	}
	return nil
}

func checkFiles(h head.Head, d sign.Decision) *head.RefusalError {
	for _, id := range d.Settled {
		if _, ok := h.FindWaiting(id); !ok {
			return head.Refuse(head.NoSuchFile, "file %s does not wait", id)
		}
	}
	taken := slices.Contains(d.Settled, d.Chosen)
	switch {
	case len(d.Settled) == 0:
		return head.Refuse(head.NoSuchFile, "the decision settles no file")
	case d.Verdict == sign.Take && !taken:
		return head.Refuse(head.BadDecision, "the chosen file is not among the settled ones")
	case d.Verdict == sign.Keep && d.Chosen != sign.ID{}:
		return head.Refuse(head.BadDecision, "a decision to keep chooses no file")
	case d.Verdict != sign.Take && d.Verdict != sign.Keep:
		return head.Refuse(head.BadDecision, "%q is neither %s nor %s", d.Verdict, sign.Take, sign.Keep)
	}
	return nil
}

func recall(h head.Head, d sign.Decision) (revision uint64, ok bool) {
	id := d.ID()
	for _, c := range h.History {
		if c.Act != head.Applied && c.Decision == id {
			return c.Revision, true
		}
	}
	return 0, false
}

func settle(now time.Time, h head.Head, d sign.Decision, roster head.Roster) head.Result {
	next := h
	change := head.Change{
		Act:      head.Kept,
		Decision: d.ID(),
		Chair:    d.Chair,
		Settled:  d.Settled,
		At:       now,
	}
	if d.Verdict == sign.Take {
		chosen, _ := h.FindWaiting(d.Chosen)
		next.Roster = roster
		next.Record = head.Record{
			Revision: h.Record.Revision + 1,
			Proposal: chosen.Proposal,
			Decision: &d,
		}
		change.Act = head.Taken
		change.ID = d.Chosen
		change.Operator = chosen.Proposal.Operator
		change.Base = chosen.Proposal.Base
	}
	change.Revision = next.Record.Revision
	next.Waiting = slices.DeleteFunc(slices.Clone(h.Waiting), func(w head.Waiting) bool {
		return slices.Contains(d.Settled, w.Proposal.ID())
	})
	next.Remember(change)
	return head.Result{
		Head:     next,
		Changed:  true,
		Revision: next.Record.Revision,
	}
}
