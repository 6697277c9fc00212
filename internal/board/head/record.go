package head

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/clementinewing/clementinewing/internal/board/file"
)

// Encode encodes the record for transfer between nodes.
func (r Record) Encode() (b []byte, err error) {
	defer func() { err = eris.Wrap(err, "encoding a record") }()
	return json.Marshal(r)
}

// DecodeRecord decodes a record from another node.
func DecodeRecord(b []byte) (r Record, err error) {
	defer func() { err = eris.Wrap(err, "decoding a record") }()
	err = json.Unmarshal(b, &r)
	return r, err
}

// Hash returns the hash of the encoded record. Nodes use it to identify the file in
// force.
func (r Record) Hash() (h file.Hash, err error) {
	b, err := r.Encode()
	return file.Sum(b), err
}
