package adopt

import (
	"github.com/clementinewing/clementinewing/internal/board/chair"
	"github.com/clementinewing/clementinewing/internal/board/file"
	"github.com/clementinewing/clementinewing/internal/board/head"
	"github.com/clementinewing/clementinewing/internal/board/sign"
)

// ActiveFile is the complete file that is active on a node, with everything that a
// peer needs to verify it.
type ActiveFile struct {
	Record head.Record
	// RecordHash identifies the revision in announcements to peers.
	RecordHash file.Hash
	File       file.File
	// Parts maps hashes to the encoded record, the manifest and the pieces.
	Parts map[file.Hash][]byte
}

// Revision returns the active revision, 0 on a node without a file.
func (h *ActiveFile) Revision() uint64 {
	if h == nil {
		return 0
	}
	return h.Record.Revision
}

// Verify checks that a record may follow the active file. Its revision must be higher
// and its author must have signed it. If it is the next revision, the author must be an
// operator in the active file, and a decision must be signed by the chair of that
// file. After a gap the operators of the skipped revisions are unknown, so the author
// is checked against the new file itself.
func Verify(active *ActiveFile, r head.Record, f file.File) *head.RefusalError {
	if r.Revision <= active.Revision() {
		return head.NewRefusal(head.PassedBase, "revision %d is not higher than the active revision %d", r.Revision, active.Revision())
	}
	if f.Base != r.Proposal.Base || (r.Decision == nil && r.Revision != f.Base+1) {
		return head.NewRefusal(head.BadContent, "revision %d does not match a file with base %d", r.Revision, f.Base)
	}
	if refusal := checkAuthor(active, r, f); refusal != nil {
		return refusal
	}
	return checkDecision(active, r)
}

func checkAuthor(active *ActiveFile, r head.Record, f file.File) *head.RefusalError {
	previous := head.Head{}
	if active.Revision() > 0 {
		previous.Roster = head.RosterOf(active.File)
	}
	if active.Revision() > 0 && f.Name != active.File.Name {
		return head.NewRefusal(head.ForeignFile, "the file belongs to deployment %q, the file in force to %q", f.Name, active.File.Name)
	}
	if active.Revision() > 0 && r.Revision == active.Revision()+1 {
		previous.Record = active.Record
	}
	return previous.CheckProposal(r.Proposal, head.RosterOf(f))
}

func checkDecision(active *ActiveFile, r head.Record) *head.RefusalError {
	d := r.Decision
	if d == nil {
		return nil
	}
	if d.Verdict != sign.Take || d.Chosen != r.Proposal.ID() || d.Revision+1 != r.Revision {
		return head.NewRefusal(head.BadDecision, "the decision does not match revision %d", r.Revision)
	}
	if active.Revision() == 0 || r.Revision != active.Revision()+1 {
		return nil
	}
	return chair.CheckSigner(head.RosterOf(active.File), *d)
}
