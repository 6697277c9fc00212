package head_test

import (
	"bytes"
	"testing"

	"github.com/clementinewing/clementinewing/internal/board/head"
)

// FuzzDecode decodes arbitrary heads and records, as a store or a peer may supply them.
// Each must be rejected, or decode to a value that is stable when encoded and decoded
// again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(""))
	f.Add([]byte("{"))
	f.Add([]byte(`{"record":{"revision":1,"proposal":{"file":"suedhang","base":0,"operator":"alma"}}}`))
	f.Add([]byte(`{"history":[{"act":"taken","id":"00112233445566778899aabbccddeeff","settled":["xx"]}]}`))
	f.Add([]byte(`{"revision":1,"proposal":{"content":"00"},"decision":{"verdict":"take"}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if h, err := head.Decode(b); err == nil {
			checkRoundTrip(t, h.Encode, func(b []byte) ([]byte, error) {
				h, err := head.Decode(b)
				if err != nil {
					return nil, err
				}
				return h.Encode()
			})
		}
		if r, err := head.DecodeRecord(b); err == nil {
			checkRoundTrip(t, r.Encode, func(b []byte) ([]byte, error) {
				r, err := head.DecodeRecord(b)
				if err != nil {
					return nil, err
				}
				return r.Encode()
			})
		}
	})
}

func checkRoundTrip(t *testing.T, encode func() ([]byte, error), recode func([]byte) ([]byte, error)) {
	first, err := encode()
	if err != nil {
		t.Fatal(err)
	}
	second, err := recode(first)
	if err != nil || !bytes.Equal(first, second) {
		t.Fatalf("%s decodes and encodes to %s: %v", first, second, err)
	}
}
