// Package chair resolves collisions. A file collides if another file has come into
// force since its base. The chair is the operator named by the file in force, and
// decides either to put one waiting file in force, unmodified, or to keep the current
// one.
package chair

import (
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/board/head"
	"github.com/clementinewing/clementinewing/internal/board/sign"
)

// ApplyDecision applies a decision to the head. The roster is that of the chosen file
// and is unused if the verdict is to keep. The call is idempotent while the history
// holds the decision. After that it is refused, because the revision in force has
// moved on or the files are no longer waiting.
func ApplyDecision(now time.Time, h head.Head, d sign.Decision, roster head.Roster) head.Result {
	if revision, ok := appliedRevision(h, d); ok {
		return head.Result{
			Head:     h,
			Revision: revision,
		}
	}
	refusal := CheckDecision(h, d)
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
	return applyVerdict(now, h, d, roster)
}

// CheckDecision validates a decision against the head alone.
func CheckDecision(h head.Head, d sign.Decision) *head.RefusalError {
	if d.File != h.Roster.Name {
		return head.NewRefusal(head.ForeignFile, "the decision is for deployment %q, the file in force belongs to %q", d.File, h.Roster.Name)
	}
	if r := CheckSigner(h.Roster, d); r != nil {
		return r
	}
	if d.Revision != h.Record.Revision {
		return head.NewRefusal(head.PassedBase, "the decision was made at revision %d, but revision %d is in force", d.Revision, h.Record.Revision)
	}
	return checkSettledFiles(h, d)
}

// CheckSigner checks that a decision is signed by the chair of the roster.
func CheckSigner(r head.Roster, d sign.Decision) *head.RefusalError {
	operator, ok := r.Operator(d.Chair)
	if !ok {
		return head.NewRefusal(head.UnknownOperator, "%q is not an operator in the file in force", d.Chair)
	}
	if !d.SignedBy(operator.Key) {
		return head.NewRefusal(head.BadSignature, "the signature does not match the key of %s in the file in force", d.Chair)
	}
	if d.Chair != r.Chair {
		return head.NewRefusal(head.NotYours, "the chair is %s, not %s", r.Chair, d.Chair)
	}
	return nil
}

func checkSettledFiles(h head.Head, d sign.Decision) *head.RefusalError {
	for _, id := range d.Settled {
		if _, ok := h.FindWaiting(id); !ok {
			return head.NewRefusal(head.NoSuchFile, "file %s is not waiting", id)
		}
	}
	taken := slices.Contains(d.Settled, d.Chosen)
	switch {
	case len(d.Settled) == 0:
		return head.NewRefusal(head.NoSuchFile, "the decision lists no settled file")
	case d.Verdict == sign.Take && !taken:
		return head.NewRefusal(head.BadDecision, "the chosen file is not among the settled files")
	case d.Verdict == sign.Keep && d.Chosen != sign.ID{}:
		return head.NewRefusal(head.BadDecision, "a decision to keep must not choose a file")
	case d.Verdict != sign.Take && d.Verdict != sign.Keep:
		return head.NewRefusal(head.BadDecision, "%q is neither %s nor %s", d.Verdict, sign.Take, sign.Keep)
	}
	return nil
}

// appliedRevision looks up in the history which revision resulted from a decision.
func appliedRevision(h head.Head, d sign.Decision) (revision uint64, ok bool) {
	id := d.ID()
	for _, c := range h.History {
		if c.Kind != head.Applied && c.DecisionID == id {
			return c.Revision, true
		}
	}
	return 0, false
}

// applyVerdict removes the settled files from the waiting ones and, for a take, puts
// the chosen file in force.
func applyVerdict(now time.Time, h head.Head, d sign.Decision, roster head.Roster) head.Result {
	next := h
	change := head.Change{
		Kind:       head.Kept,
		DecisionID: d.ID(),
		Chair:      d.Chair,
		Settled:    d.Settled,
		At:         now,
	}
	if d.Verdict == sign.Take {
		chosen, _ := h.FindWaiting(d.Chosen)
		next.Roster = roster
		next.Record = head.Record{
			Revision: h.Record.Revision + 1,
			Proposal: chosen.Proposal,
			Decision: &d,
		}
		change.Kind = head.Taken
		change.ProposalID = d.Chosen
		change.Operator = chosen.Proposal.Operator
		change.Base = chosen.Proposal.Base
	}
	change.Revision = next.Record.Revision
	next.Waiting = slices.DeleteFunc(slices.Clone(h.Waiting), func(w head.Waiting) bool {
		return slices.Contains(d.Settled, w.Proposal.ID())
	})
	next.AppendChange(change)
	return head.Result{
		Head:     next,
		Changed:  true,
		Revision: next.Record.Revision,
	}
}
