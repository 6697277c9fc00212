package keys

import (
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// sealSetting is the name of the setting for the seal epoch.
const sealSetting = "seal"

// Entry is one setting and its position in a file.
type Entry struct {
	Name  string
	Value string
	File  string
	Line  int
}

// Fault is one error in the settings. Line 0 means the file as a whole. A Fault never
// contains key material.
type Fault struct {
	File    string
	Line    int
	Name    string
	Allowed string
}

// Error implements error.
func (f *Fault) Error() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s is invalid; allowed: %s", f.File, f.Name, f.Allowed)
	}
	return fmt.Sprintf("%s:%d: %s is invalid; allowed: %s", f.File, f.Line, f.Name, f.Allowed)
}

// Parse parses settings of the form `EPOCH = KEY` and `seal = EPOCH`. An epoch is a
// number from 0 to 255, a key is 32 bytes in hex or base64. Without `seal` the highest
// epoch is the seal epoch. The error joins all Faults found.
func Parse(file, text string) (s *Set, err error) {
	entries, faults := splitSettings(file, text)
	s, err = Build(file, entries)
	err = errors.Join(append(faults, err)...)
	if err != nil {
		return nil, err
	}
	return s, nil
}

func splitSettings(file, text string) (entries []Entry, faults []error) {
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

// Build builds a Set from parsed settings. Faults that concern no single setting name
// file. It returns a set or an error, never both.
func Build(file string, entries []Entry) (*Set, error) {
	s := &Set{}
	var seal *Entry
	var faults []error
	for i := range entries {
		e := &entries[i]
		if e.Name != sealSetting {
			faults = appendFault(faults, s.addKey(e))
			continue
		}
		if seal != nil {
			faults = append(faults, e.newFault(sealSetting, "only one seal setting"))
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
	faults = appendFault(faults, s.chooseSealEpoch(seal))
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

func (s *Set) addKey(e *Entry) *Fault {
	epoch, ok := parseEpoch(e.Name)
	if !ok {
		return e.newFault("name of a key", "an epoch from 0 to 255, or seal")
	}
	name := "key of epoch " + strconv.Itoa(int(epoch))
	if _, found := s.Master(epoch); found {
		return e.newFault(name, "only one key per epoch")
	}
	key, ok := parseKey(e.Value)
	if !ok {
		return e.newFault(name, "32 bytes in hex or base64")
	}
	s.Masters = append(s.Masters, Master{
		Epoch: epoch,
		Key:   key,
	})
	return nil
}

func (s *Set) chooseSealEpoch(seal *Entry) *Fault {
	if seal == nil {
		for i := range s.Masters {
			s.SealEpoch = max(s.SealEpoch, s.Masters[i].Epoch)
		}
		return nil
	}
	epoch, ok := parseEpoch(seal.Value)
	if !ok {
		return seal.newFault(sealSetting, "an epoch from 0 to 255")
	}
	if _, found := s.Master(epoch); !found {
		return seal.newFault(sealSetting, "the epoch of a key in the settings")
	}
	s.SealEpoch = epoch
	return nil
}

// newFault returns a Fault that names the setting by its purpose and not by its text,
// since an invalid line may have key material in place of the name.
func (e *Entry) newFault(name, allowed string) *Fault {
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
