package keys_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/edge/keys"
)

const keyText = "AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8"

var _ = Describe("Parse", func() {
	script, err := os.ReadFile("testdata/settings.txt")
	if err != nil {
		panic(err)
	}
	for line := range strings.Lines(string(script)) {
		fields := strings.SplitN(strings.TrimSuffix(line, "\n"), " ; ", 3)
		if len(fields) != 3 || strings.HasPrefix(line, "#") {
			continue
		}
		It(fields[0], func() {
			Expect(describeResult(strings.ReplaceAll(fields[2], "|", "\n"))).To(Equal(fields[1]))
		})
	}

	It("does not print key material", func() {
		_, err := keys.Parse("f", keyText+" = "+keyText+"\n1 = "+keyText+keyText)
		Expect(err).To(HaveOccurred())
		Expect(err.Error()).NotTo(ContainSubstring(keyText))
		s, err := keys.Parse("f", "1 = "+keyText)
		Expect(err).NotTo(HaveOccurred())
		Expect(fmt.Sprintf("%v %+v %#v %s", s, s, s, s.Masters[0].Key)).NotTo(ContainSubstring("31"))
	})
})

var _ = Describe("Derive", func() {
	It("derives different keys for different master keys and senders", func() {
		a := keys.Derive(keys.Key{1}, 1)
		Expect(keys.Derive(keys.Key{1}, 1)).To(Equal(a))
		Expect(keys.Derive(keys.Key{1}, 2)).NotTo(Equal(a))
		Expect(keys.Derive(keys.Key{2}, 1)).NotTo(Equal(a))
	})
})

func describeResult(text string) string {
	s, err := keys.Parse("f", text)
	if err != nil {
		return strings.ReplaceAll(err.Error(), "\n", "|")
	}
	var epochs []string
	for _, e := range s.Epochs() {
		epochs = append(epochs, fmt.Sprint(e))
	}
	return fmt.Sprintf("seal=%d epochs=%s", s.SealEpoch, strings.Join(epochs, ","))
}

func FuzzParse(f *testing.F) {
	f.Add("1 = " + keyText + "\nseal = 1")
	f.Add("; comment\n255=" + keyText + "=\n0 = " + keyText + "\nseal = 256\nseal")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := keys.Parse("f", text)
		if (s == nil) == (err == nil) {
			t.Fatalf("set %v with error %v", s, err)
		}
		if s == nil {
			return
		}
		if _, found := s.Master(s.SealEpoch); !found {
			t.Fatalf("seal epoch %d has no key", s.SealEpoch)
		}
	})
}
