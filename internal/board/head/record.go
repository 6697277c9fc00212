package head

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/clementinewing/clementinewing/internal/board/file"
)

// Encode writes the record as nodes hand it to each other.
func (r Record) Encode() (b []byte, err error) {
	defer func() { err = eris.Wrap(err, "encoding a record") }()
	return json.Marshal(r)
}

// DecodeRecord reads a record from another node.
func DecodeRecord(b []byte) (r Record, err error) {
	defer func() { err = eris.Wrap(err, "decoding a record") }()
	err = json.Unmarshal(b, &r)
	return r, err
}

// Hash identifies an encoded record; nodes name the file in force by it.
func (r Record) Hash() (h file.Hash, err error) {
	b, err := r.Encode()
	return file.Sum(b), err
}
