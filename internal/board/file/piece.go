package file

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

const (
	// MaxPieceBytes bounds one piece, in bytes; a value of the store may hold
	// a megabyte.
	MaxPieceBytes = 512 << 10
	// MaxPieces bounds the pieces of one file, so that its manifest stays below
	// a megabyte.
	MaxPieces = 16 << 10
	// sectionsPerPiece is how many sections a piece holds on average.
	sectionsPerPiece = 64
)

// Errors of what is read back from the store or from a peer.
var (
	ErrHash     = eris.New("a content hash has 64 hex digits")
	ErrManifest = eris.New("the manifest is malformed")
	ErrPiece    = eris.New("a piece does not match its hash")
)

// Hash is a SHA-256 content hash.
type Hash [sha256.Size]byte

// Manifest lists the hashes of the pieces of a file in order. Its own hash
// identifies the whole file (a Merkle tree of depth two, Merkle 1987).
type Manifest []Hash

// String gives the hash in hex.
func (h Hash) String() string {
	return hex.EncodeToString(h[:])
}

// MarshalText implements encoding.TextMarshaler.
func (h Hash) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, h[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *Hash) UnmarshalText(text []byte) (err error) {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != len(h) {
		return ErrHash
	}
	*h = Hash(raw)
	return nil
}

// Sum hashes one piece.
func Sum(piece []byte) Hash {
	return sha256.Sum256(piece)
}

// Bytes is the manifest as it is stored.
func (m Manifest) Bytes() []byte {
	out := make([]byte, 0, len(m)*sha256.Size)
	for i := range m {
		out = append(out, m[i][:]...)
	}
	return out
}

// Hash identifies the whole file.
func (m Manifest) Hash() Hash {
	return Sum(m.Bytes())
}

// ParseManifest reads a stored manifest.
func ParseManifest(b []byte) (m Manifest, err error) {
	if len(b) == 0 || len(b)%sha256.Size != 0 || len(b)/sha256.Size > MaxPieces {
		return nil, ErrManifest
	}
	for len(b) > 0 {
		m = append(m, Hash(b[:sha256.Size]))
		b = b[sha256.Size:]
	}
	return m, nil
}

// Split cuts the canonical form into pieces. The file and its operators are one
// piece; where a later one ends depends only on the headings near its end. So a
// change of one service changes that piece, one other and the manifest, however
// long the file is.
func (f File) Split() (m Manifest, pieces [][]byte) {
	var piece []byte
	header := 1 + len(f.Operators)
	for i, text := range f.sectionTexts() {
		if i == header || (i > header && startsPiece(text)) || len(piece)+len(text) > MaxPieceBytes {
			pieces = append(pieces, piece)
			piece = nil
		}
		piece = append(piece, text...)
	}
	pieces = append(pieces, piece)
	for _, p := range pieces {
		m = append(m, Sum(p))
	}
	return m, pieces
}

// Hash identifies the file by its canonical form.
func (f File) Hash() Hash {
	m, _ := f.Split()
	return m.Hash()
}

// Join checks the pieces against the manifest and reads the file from them.
func Join(path string, m Manifest, pieces [][]byte) (f File, err error) {
	defer func() { err = eris.Wrap(err, "joining the pieces of a file") }()
	if len(m) != len(pieces) {
		return f, ErrPiece
	}
	for i := range m {
		if Sum(pieces[i]) != m[i] {
			return f, ErrPiece
		}
	}
	return Parse(path, bytes.Join(pieces, nil))
}

// startsPiece draws from the heading alone whether a section starts a piece.
func startsPiece(text []byte) bool {
	heading, _, _ := bytes.Cut(text, []byte("\n"))
	return xxhash.Sum64(heading)%sectionsPerPiece == 0
}
