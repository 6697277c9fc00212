package keys

import (
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// sealName is the setting that names the epoch to seal with.
const sealName = "seal"

// Entry is one setting and where it stands.
type Entry struct {
	Name  string
	Value string
	File  string
	Line  int
}

// Fault is one thing wrong with the settings; line 0 is the file as a whole. It
// never holds key material.
type Fault struct {
	File    string
	Line    int
	Name    string
	Allowed string
}

// Error implements error.
func (f *Fault) Error() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s: allowed is %s", f.File, f.Name, f.Allowed)
	}
	return fmt.Sprintf("%s:%d: %s: allowed is %s", f.File, f.Line, f.Name, f.Allowed)
}

// Parse reads settings of the form `EPOCH = KEY` and `seal = EPOCH`. An epoch is
// a number from 0 to 255, a key 32 bytes in hex or base64. Without `seal` the
// highest epoch seals. The error joins a Fault for each thing wrong.
func Parse(file, text string) (s *Set, err error) {
	entries, faults := split(file, text)
	s, err = Build(file, entries)
	err = errors.Join(append(faults, err)...)
	if err != nil {
		return nil, err
	}
	return s, nil
}

func split(file, text string) (entries []Entry, faults []error) {
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		name, value, found := strings.Cut(line, "=")
		if !found {
			faults = append(faults, &Fault{
				File:    file,
				Line:    i + 1,
				Name:    "setting",
				Allowed: "EPOCH = KEY or seal = EPOCH",
			})
			continue
		}
		entries = append(entries, Entry{
			Name:  strings.TrimSpace(name),
			Value: strings.TrimSpace(value),
			File:  file,
			Line:  i + 1,
		})
	}
	return entries, faults
}

// Build makes a set of settings that were read before; file is named where no
// single setting is at fault. It gives a set or an error, never both.
func Build(file string, entries []Entry) (*Set, error) {
	s := &Set{}
	var seal *Entry
	var faults []error
	for i := range entries {
		e := &entries[i]
		if e.Name != sealName {
			faults = appendFault(faults, s.add(e))
			continue
		}
		if seal != nil {
			faults = append(faults, e.fault(sealName, "one setting"))
			continue
		}
		seal = e
	}
	if len(s.Masters) == 0 && len(faults) == 0 {
		faults = append(faults, &Fault{
			File:    file,
			Name:    "keys",
			Allowed: "at least one EPOCH = KEY",
		})
	}
	faults = appendFault(faults, s.choose(seal))
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	return s, nil
}

func appendFault(faults []error, f *Fault) []error {
	if f == nil {
		return faults
	}
	return append(faults, f)
}

func (s *Set) add(e *Entry) *Fault {
	epoch, ok := parseEpoch(e.Name)
	if !ok {
		return e.fault("name of a key", "an epoch from 0 to 255, or seal")
	}
	name := "key of epoch " + strconv.Itoa(int(epoch))
	if _, found := s.Master(epoch); found {
		return e.fault(name, "one key an epoch")
	}
	key, ok := parseKey(e.Value)
	if !ok {
		return e.fault(name, "32 bytes in hex or base64")
	}
	s.Masters = append(s.Masters, Master{
		Epoch: epoch,
		Key:   key,
	})
	return nil
}

func (s *Set) choose(seal *Entry) *Fault {
	if seal == nil {
		for i := range s.Masters {
			s.Seal = max(s.Seal, s.Masters[i].Epoch)
		}
		return nil
	}
	epoch, ok := parseEpoch(seal.Value)
	if !ok {
		return seal.fault(sealName, "an epoch from 0 to 255")
	}
	if _, found := s.Master(epoch); !found {
		return seal.fault(sealName, "the epoch of a key that is given")
	}
	s.Seal = epoch
	return nil
}

// fault names the setting by what it is for: a line that went wrong may hold
// key material in place of its name.
func (e *Entry) fault(name, allowed string) *Fault {
	return &Fault{
		File:    e.File,
		Line:    e.Line,
		Name:    name,
		Allowed: allowed,
	}
}

func parseEpoch(text string) (Epoch, bool) {
	n, err := strconv.ParseUint(text, 10, 8)
	return Epoch(n), err == nil
}

func parseKey(text string) (key Key, ok bool) {
	for _, decode := range decoders {
		b, err := decode(text)
		if err == nil && len(b) == KeyBytes {
			return Key(b), true
		}
	}
	return key, false
}

var decoders = []func(string) ([]byte, error){
	hex.DecodeString,
	base64.StdEncoding.DecodeString,
	base64.RawStdEncoding.DecodeString,
	base64.URLEncoding.DecodeString,
	base64.RawURLEncoding.DecodeString,
}
