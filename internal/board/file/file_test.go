package file_test

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/clementinewing/clementinewing/internal/board/file"
)

// Each script is an operators' file. Its #want lines list the faults that Parse must
// report.
var _ = Describe("Parse", func() {
	for _, path := range scriptPaths() {
		It(filepath.Base(path), func() {
			text := read(path)
			f, err := file.Parse("f.ini", text)
			want := wantedFaults(string(text))
			if len(want) == 0 {
				Expect(err).NotTo(HaveOccurred())
				Expect(file.Parse("f.ini", f.Canonical())).To(Equal(f))
				return
			}
			Expect(err).To(HaveOccurred())
			Expect(strings.Split(err.Error(), "\n")).To(Equal(want))
			Expect(f).To(Equal(file.File{}))
		})
	}
})

var _ = Describe("Split", func() {
	It("changes a single piece when one section changes", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := drawFile(t)
			before, pieces := f.Split()
			joined, err := file.Join("f.ini", before, pieces)
			if err != nil || !reflect.DeepEqual(joined, f) {
				t.Fatalf("joined %+v from %+v: %v", joined, f, err)
			}
			i := rapid.IntRange(0, len(f.Services)-1).Draw(t, "service")
			f.Services[i].Slots++
			after, _ := f.Split()
			if len(after) != len(before) {
				t.Fatalf("%d pieces became %d", len(before), len(after))
			}
			changed := 0
			for j := range after {
				if after[j] != before[j] {
					changed++
				}
			}
			if changed != 1 {
				t.Fatalf("%d pieces changed", changed)
			}
		})
	})

	It("rejects a replaced piece", func() {
		f, err := file.Parse("f.ini", read("testdata/parse/whole.ini"))
		Expect(err).NotTo(HaveOccurred())
		m, pieces := f.Split()
		pieces[0] = append([]byte("# "), pieces[0]...)
		_, err = file.Join("f.ini", m, pieces)
		Expect(err).To(MatchError(file.ErrPieceMismatch))
	})
})

func FuzzParse(f *testing.F) {
	for _, path := range scriptPaths() {
		text, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		parsed, err := file.Parse("f.ini", text)
		if err != nil {
			return
		}
		again, err := file.Parse("f.ini", parsed.Canonical())
		if err != nil {
			t.Fatalf("the canonical form does not parse: %v", err)
		}
		if !reflect.DeepEqual(again, parsed) {
			t.Fatalf("the canonical form parses as %+v, the text as %+v", again, parsed)
		}
	})
}

func scriptPaths() []string {
	paths, err := filepath.Glob("testdata/parse/*.ini")
	if err != nil || len(paths) == 0 {
		panic("no scripts")
	}
	return paths
}

func read(path string) []byte {
	text, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	return text
}

func wantedFaults(text string) []string {
	var want []string
	for line := range strings.Lines(text) {
		if fault, ok := strings.CutPrefix(line, "#want "); ok {
			want = append(want, "f.ini:"+strings.TrimSpace(fault))
		}
	}
	return want
}
