package file

import "maps"

// Assembly collects the manifest and the pieces of one file and checks each against
// its hash. Pieces that are already known are not requested again.
type Assembly struct {
	content  Hash
	manifest Manifest
	pieces   map[Hash][]byte
}

// NewAssembly returns an empty assembly of the file with the content hash. The known
// pieces are not checked again, because they were checked when they were received.
func NewAssembly(content Hash, known map[Hash][]byte) *Assembly {
	return &Assembly{
		content: content,
		pieces:  maps.Clone(known),
	}
}

// NextMissing returns the hash of the next missing part, first that of the manifest.
func (a *Assembly) NextMissing() (h Hash, ok bool) {
	if a.manifest == nil {
		return a.content, true
	}
	for _, h = range a.manifest {
		if _, ok = a.pieces[h]; !ok {
			return h, true
		}
	}
	return Hash{}, false
}

// Add adds the part that NextMissing names. It reports false for any other part and for
// a malformed manifest.
func (a *Assembly) Add(part []byte) bool {
	missing, ok := a.NextMissing()
	if !ok || Sum(part) != missing {
		return false
	}
	if a.manifest != nil {
		if a.pieces == nil {
			a.pieces = map[Hash][]byte{}
		}
		a.pieces[missing] = part
		return true
	}
	m, err := ParseManifest(part)
	a.manifest = m
	return err == nil
}

// Pieces returns the pieces of this file by hash, without known pieces of other files.
// It is valid once no piece is missing.
func (a *Assembly) Pieces() map[Hash][]byte {
	out := make(map[Hash][]byte, len(a.manifest))
	for _, h := range a.manifest {
		out[h] = a.pieces[h]
	}
	return out
}

// Manifest returns the manifest, nil while it is missing.
func (a *Assembly) Manifest() Manifest {
	return a.manifest
}

// File parses the file once no piece is missing.
func (a *Assembly) File() (File, error) {
	pieces := make([][]byte, 0, len(a.manifest))
	for _, h := range a.manifest {
		pieces = append(pieces, a.pieces[h])
	}
	return Join(a.content.String(), a.manifest, pieces)
}
