package file_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/clementinewing/clementinewing/internal/board/file"
)

// BenchmarkParse parses a file with 32,000 services.
func BenchmarkParse(b *testing.B) {
	var text bytes.Buffer
	text.WriteString("[file]\nname = large\nbase = 1\nchair = alma\n[operator alma]\nkey = AQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQE=\n")
	for i := range 32_000 {
		fmt.Fprintf(&text, "[service s%05d]\naddress = 10.3.%d.%d:443\ncontract = once\n", i, i>>8, i&255)
	}
	b.SetBytes(int64(text.Len()))
	for b.Loop() {
		if _, err := file.Parse("f.ini", text.Bytes()); err != nil {
			b.Fatal(err)
		}
	}
}
