// Package sign defines the proposals and decisions that operators and chairs sign with
// Ed25519 (RFC 8032), and the encoding of their keys.
package sign

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/clementinewing/clementinewing/internal/board/file"
)

// idBytes is the size of an ID in bytes.
const idBytes = 16

var errID = eris.New("malformed id: must be 32 hex digits")

// ID identifies a proposal or a decision by its content, so that every attempt of the
// same command has the same ID.
type ID [idBytes]byte

// Proposal is an operator's signed request to put a file in force.
type Proposal struct {
	// File is the name of the deployment.
	File string `json:"file"`
	// Base is the revision that the file is based on.
	Base uint64 `json:"base"`
	// Content is the hash of the file's manifest.
	Content   file.Hash `json:"content"`
	Operator  string    `json:"operator"`
	Signature []byte    `json:"signature"`
}

// Verdict is how a chair resolves a collision.
type Verdict string

const (
	// Take puts one waiting file in force, unmodified.
	Take Verdict = "take"
	// Keep keeps the current file in force.
	Keep Verdict = "keep"
)

// Decision is a chair's signed decision about waiting files.
type Decision struct {
	// File is the name of the deployment.
	File string `json:"file"`
	// Revision is the revision in force that the decision is based on.
	Revision uint64  `json:"revision"`
	Verdict  Verdict `json:"verdict"`
	// Chosen is the file to take, zero for Keep.
	Chosen ID `json:"chosen"`
	// Settled lists the waiting files that the chair saw and decided about, including
	// the chosen one.
	Settled   []ID   `json:"settled"`
	Chair     string `json:"chair"`
	Signature []byte `json:"signature"`
}

// ID returns the ID, which covers everything but the signature.
func (p Proposal) ID() ID {
	return hashToID(p.signedBytes())
}

// Sign signs the proposal.
func (p *Proposal) Sign(key ed25519.PrivateKey) {
	p.Signature = ed25519.Sign(key, p.signedBytes())
}

// SignedBy reports whether the signature of the proposal is valid for a key.
func (p Proposal) SignedBy(key ed25519.PublicKey) bool {
	return verify(key, p.signedBytes(), p.Signature)
}

func (p Proposal) signedBytes() []byte {
	return fmt.Appendf(nil, "clementinewing apply 1\n%q\n%d\n%s\n%q\n", p.File, p.Base, p.Content, p.Operator)
}

// ID returns the ID, which covers everything but the signature.
func (d Decision) ID() ID {
	return hashToID(d.signedBytes())
}

// Sign signs the decision.
func (d *Decision) Sign(key ed25519.PrivateKey) {
	d.Signature = ed25519.Sign(key, d.signedBytes())
}

// SignedBy reports whether the signature of the decision is valid for a key.
func (d Decision) SignedBy(key ed25519.PublicKey) bool {
	return verify(key, d.signedBytes(), d.Signature)
}

func (d Decision) signedBytes() []byte {
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

func hashToID(statement []byte) ID {
	sum := sha256.Sum256(statement)
	return ID(sum[:idBytes])
}

// String returns the ID in hex.
func (i ID) String() string {
	return hex.EncodeToString(i[:])
}

// ParseID parses an ID in hex.
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
