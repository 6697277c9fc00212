package file

import "maps"

// Assembly gathers the manifest and the pieces of one file and checks each
// against its hash. Pieces that are held already are not asked for again.
type Assembly struct {
	content  Hash
	manifest Manifest
	held     map[Hash][]byte
}

// NewAssembly starts to gather the file with the content hash. Held pieces are
// trusted, as they were checked when they came.
func NewAssembly(content Hash, held map[Hash][]byte) *Assembly {
	return &Assembly{
		content: content,
		held:    maps.Clone(held),
	}
}

// Need is the hash of the next part that is missing: the manifest first.
func (a *Assembly) Need() (h Hash, ok bool) {
	if a.manifest == nil {
		return a.content, true
	}
	for _, h = range a.manifest {
		if _, ok = a.held[h]; !ok {
			return h, true
		}
	}
	return Hash{}, false
}

// Offer takes a part and tells whether it is the one that Need names.
func (a *Assembly) Offer(part []byte) bool {
	need, ok := a.Need()
	if !ok || Sum(part) != need {
		return false
	}
	if a.manifest != nil {
		if a.held == nil {
			a.held = map[Hash][]byte{}
		}
		a.held[need] = part
		return true
	}
	m, err := ParseManifest(part)
	a.manifest = m
	return err == nil
}

// Pieces gives the pieces by hash, those of this file alone, once none is
// missing.
func (a *Assembly) Pieces() map[Hash][]byte {
	out := make(map[Hash][]byte, len(a.manifest))
	for _, h := range a.manifest {
		out[h] = a.held[h]
	}
	return out
}

// Manifest lists the pieces, nil as long as it is missing.
func (a *Assembly) Manifest() Manifest {
	return a.manifest
}

// File reads the file once no piece is missing.
func (a *Assembly) File() (File, error) {
	pieces := make([][]byte, 0, len(a.manifest))
	for _, h := range a.manifest {
		pieces = append(pieces, a.held[h])
	}
	return Join(a.content.String(), a.manifest, pieces)
}
