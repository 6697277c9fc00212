package file

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

const (
	// MaxPieceBytes is the maximum size of one piece, in bytes. The store accepts
	// values of up to one megabyte.
	MaxPieceBytes = 512 << 10
	// MaxPieces is the maximum number of pieces of one file. It keeps the manifest
	// below one megabyte.
	MaxPieces = 16 << 10
	// meanSectionsPerPiece is the average number of sections in a piece.
	meanSectionsPerPiece = 64
)

// Errors in data read from the store or from a peer.
var (
	ErrHash          = eris.New("malformed content hash: must be 64 hex digits")
	ErrManifest      = eris.New("malformed manifest")
	ErrPieceMismatch = eris.New("part does not match its hash")
)

// Hash is a SHA-256 content hash.
type Hash [sha256.Size]byte

// Manifest holds the hashes of the pieces of a file in order. Its own hash
// identifies the whole file (a Merkle tree of depth two, Merkle 1987).
type Manifest []Hash

// String returns the hash in hex.
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

// Sum returns the hash of one piece, manifest or record.
func Sum(piece []byte) Hash {
	return sha256.Sum256(piece)
}

// Bytes returns the stored form of the manifest.
func (m Manifest) Bytes() []byte {
	out := make([]byte, 0, len(m)*sha256.Size)
	for i := range m {
		out = append(out, m[i][:]...)
	}
	return out
}

// Hash returns the hash that identifies the whole file.
func (m Manifest) Hash() Hash {
	return Sum(m.Bytes())
}

// ParseManifest parses the stored form of a manifest.
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

// Split splits the canonical form into pieces. The [file] and [operator] sections form
// the first piece. Each later piece ends before a section whose heading starts a new
// one, or at MaxPieceBytes. As long as the headings decide, a change to one service
// changes its own piece, at most one other and the manifest, however long the file is.
func (f File) Split() (m Manifest, pieces [][]byte) {
	var piece []byte
	header := 1 + len(f.Operators)
	for i, text := range f.canonicalSections() {
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

// Hash returns the hash that identifies the file. It is computed over the canonical
// form.
func (f File) Hash() Hash {
	m, _ := f.Split()
	return m.Hash()
}

// Join checks the pieces against the manifest and parses the file that they form.
func Join(path string, m Manifest, pieces [][]byte) (f File, err error) {
	defer func() { err = eris.Wrap(err, "joining the pieces of a file") }()
	if len(m) != len(pieces) {
		return f, ErrPieceMismatch
	}
	for i := range m {
		if Sum(pieces[i]) != m[i] {
			return f, ErrPieceMismatch
		}
	}
	return Parse(path, bytes.Join(pieces, nil))
}

// startsPiece reports whether a section starts a new piece. It depends only on the
// heading.
func startsPiece(text []byte) bool {
	heading, _, _ := bytes.Cut(text, []byte("\n"))
	return xxhash.Sum64(heading)%meanSectionsPerPiece == 0
}
