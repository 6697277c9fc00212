package adopt

import (
	"github.com/clementinewing/clementinewing/internal/board/chair"
	"github.com/clementinewing/clementinewing/internal/board/file"
	"github.com/clementinewing/clementinewing/internal/board/head"
	"github.com/clementinewing/clementinewing/internal/board/sign"
)

// Held is a whole file in force on a node, with everything that a peer needs to
// check it for itself.
type Held struct {
	Record head.Record
	// RecordHash names the file to peers.
	RecordHash file.Hash
	File       file.File
	// Parts holds the encoded record, the manifest and the pieces by hash.
	Parts map[file.Hash][]byte
}

// Revision is 0 on a node without a file.
func (h *Held) Revision() uint64 {
	if h == nil {
		return 0
	}
	return h.Record.Revision
}

// Verify checks that a record may follow what the node holds: it never steps
// back, the file's author signed it, and where the record follows directly, the
// author was an operator and a decision was the chair's. After a gap the node
// can't know the operators in between and checks the author against the file
// itself.
func Verify(held *Held, r head.Record, f file.File) *head.RefusalError {
	if r.Revision <= held.Revision() {
		return head.Refuse(head.PassedBase, "revision %d is not above %d", r.Revision, held.Revision())
	}
	if f.Base != r.Proposal.Base || (r.Decision == nil && r.Revision != f.Base+1) {
		return head.Refuse(head.BadContent, "revision %d does not match a file on base %d", r.Revision, f.Base)
	}
	if refusal := checkAuthor(held, r, f); refusal != nil {
		return refusal
	}
	return checkDecision(held, r)
}

func checkAuthor(held *Held, r head.Record, f file.File) *head.RefusalError {
	before := head.Head{}
	if held.Revision() > 0 {
		before.Roster = head.RosterOf(held.File)
	}
	if held.Revision() > 0 && f.Name != held.File.Name {
		return head.Refuse(head.ForeignFile, "the file is named %q, the one in force %q", f.Name, held.File.Name)
	}
	if held.Revision() > 0 && r.Revision == held.Revision()+1 {
		before.Record = held.Record
	}
	return before.CheckProposal(r.Proposal, head.RosterOf(f))
}

func checkDecision(held *Held, r head.Record) *head.RefusalError {
	d := r.Decision
	if d == nil {
		return nil
	}
	if d.Verdict != sign.Take || d.Chosen != r.Proposal.ID() || d.Revision+1 != r.Revision {
		return head.Refuse(head.BadDecision, "the decision is not about revision %d", r.Revision)
	}
	if held.Revision() == 0 || r.Revision != held.Revision()+1 {
		return nil
	}
	return chair.CheckSigner(head.RosterOf(held.File), *d)
}
