// Package sign holds what operators and chairs sign with Ed25519 (RFC 8032), and
// the keys they sign with.
package sign

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/clementinewing/clementinewing/internal/board/file"
)

// idBytes is the size of an ID.
const idBytes = 16

var errID = eris.New("an id has 32 hex digits")

// ID identifies a proposal or a decision by what it says, so the same apply has
// the same id on every try.
type ID [idBytes]byte

// Proposal is an operator's wish to put a file in force.
type Proposal struct {
	// File is the name of the deployment.
	File string `json:"file"`
	// Base is the revision that the file builds on.
	Base uint64 `json:"base"`
	// Content is the hash of the file's manifest.
	Content   file.Hash `json:"content"`
	Operator  string    `json:"operator"`
	Signature []byte    `json:"signature"`
}

// Verdict is how a chair settles a collision.
type Verdict string

const (
	// Take puts one waiting file in force as a whole.
	Take Verdict = "take"
	// Keep leaves the file in force.
	Keep Verdict = "keep"
)

// Decision is a chair's word on files that wait.
type Decision struct {
	// File is the name of the deployment.
	File string `json:"file"`
	// Revision is the one in force that the chair saw.
	Revision uint64  `json:"revision"`
	Verdict  Verdict `json:"verdict"`
	// Chosen is the file to take, zero to keep.
	Chosen ID `json:"chosen"`
	// Settled are the waiting files that the chair saw, with the chosen one.
	Settled   []ID   `json:"settled"`
	Chair     string `json:"chair"`
	Signature []byte `json:"signature"`
}

// ID is drawn from everything but the signature.
func (p Proposal) ID() ID {
	return identify(p.statement())
}

// Sign signs the proposal.
func (p *Proposal) Sign(key ed25519.PrivateKey) {
	p.Signature = ed25519.Sign(key, p.statement())
}

// Signed tells whether key signed the proposal as it stands.
func (p Proposal) Signed(key ed25519.PublicKey) bool {
	return verify(key, p.statement(), p.Signature)
}

func (p Proposal) statement() []byte {
	return fmt.Appendf(nil, "clementinewing apply 1\n%q\n%d\n%s\n%q\n", p.File, p.Base, p.Content, p.Operator)
}

// ID is drawn from everything but the signature.
func (d Decision) ID() ID {
	return identify(d.statement())
}

// Sign signs the decision.
func (d *Decision) Sign(key ed25519.PrivateKey) {
	d.Signature = ed25519.Sign(key, d.statement())
}

// Signed tells whether key signed the decision as it stands.
func (d Decision) Signed(key ed25519.PublicKey) bool {
	return verify(key, d.statement(), d.Signature)
}

func (d Decision) statement() []byte {
	b := fmt.Appendf(nil, "clementinewing decide 1\n%q\n%d\n%q\n%s\n%q\n", d.File, d.Revision, d.Verdict, d.Chosen, d.Chair)
	for _, id := range d.Settled {
		b = fmt.Appendf(b, "%s\n", id)
	}
	return b
}

func verify(key ed25519.PublicKey, statement, signature []byte) bool {
	if len(key) != ed25519.PublicKeySize {
		return false
	}
	return ed25519.Verify(key, statement, signature)
}

func identify(statement []byte) ID {
	sum := sha256.Sum256(statement)
	return ID(sum[:idBytes])
}

// String gives the id in hex.
func (i ID) String() string {
	return hex.EncodeToString(i[:])
}

// ParseID reads an id in hex.
func ParseID(text string) (i ID, err error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != idBytes {
		return ID{}, errID
	}
	return ID(raw), nil
}

// MarshalText implements encoding.TextMarshaler.
func (i ID) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, i[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (i *ID) UnmarshalText(text []byte) (err error) {
	*i, err = ParseID(string(text))
	return err
}
