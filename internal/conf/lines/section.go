package lines

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/clementinewing/clementinewing/internal/conf/number"
)

var nameRule = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// NameAllowed describes a valid name in faults.
const NameAllowed = "1 to 63 of a-z, 0-9 and -, with no - at either end"

// AddressAllowed describes a valid address in faults.
const AddressAllowed = "IPV4:PORT of a single host, with a port from 1 to 65535"

// Section reads the values of one section and collects their faults.
type Section struct {
	index   *index
	section *ini.Section
}

// Limits are the bounds of a whole number; Default is its value if the key is missing or
// its value invalid.
type Limits struct {
	Required bool
	Min      uint64
	Max      uint64
	Default  uint64
}

// DecimalLimits are the bounds of a number that may have a fraction; Default is its value if the
// key is missing or empty, or its value invalid.
type DecimalLimits struct {
	Required bool
	Min      float64
	Max      float64
	Default  float64
}

var portRange = number.WholeRange{
	Min: 1,
	Max: 65535,
}

// IsName reports whether text is a valid name.
func IsName(text string) bool {
	return nameRule.MatchString(text)
}

// Name returns the name of the section.
func (s *Section) Name() string {
	return s.section.Name()
}

// Line returns the line of a key, or of the section if the key is missing.
func (s *Section) Line(key string) int {
	return s.index.lineOf(s.Name(), key)
}

// Keys returns the keys of the section in the order of the text.
func (s *Section) Keys() []string {
	return s.section.KeyStrings()
}

// Fault adds a fault at a key, or at the section if key is empty.
func (s *Section) Fault(key, problem, allowed string) {
	s.index.faults = append(s.index.faults, Fault{
		Path:    s.index.path,
		Line:    s.Line(key),
		Section: s.Name(),
		Key:     key,
		Problem: problem,
		Allowed: allowed,
	})
}

// RejectOtherKeys adds a fault for every key that is not in keys.
func (s *Section) RejectOtherKeys(keys ...string) {
	for _, k := range s.Keys() {
		if !slices.Contains(keys, k) {
			s.Fault(k, "unknown key", strings.Join(keys, ", "))
		}
	}
}

// Text returns the raw value, without the interpolation of the INI library.
func (s *Section) Text(key string) (value string, ok bool) {
	if !s.section.HasKey(key) {
		return "", false
	}
	return s.section.Key(key).Value(), true
}

// Required returns the raw value; a missing or empty one is a fault.
func (s *Section) Required(key, allowed string) (value string, ok bool) {
	value, ok = s.Text(key)
	if ok && value != "" {
		return value, true
	}
	if !s.index.incomplete[s.Name()] {
		s.Fault(key, "key is missing", allowed)
	}
	return "", false
}

// RejectValue adds a fault for a value that is not allowed.
func (s *Section) RejectValue(key, value, allowed string) {
	s.Fault(key, fmt.Sprintf("bad value %q", value), allowed)
}

// RequiredName reads a required name.
func (s *Section) RequiredName(key string) string {
	value, ok := s.Required(key, NameAllowed)
	if !ok {
		return ""
	}
	if !IsName(value) {
		s.RejectValue(key, value, NameAllowed)
		return ""
	}
	return value
}

// Number reads a whole number within limits. Any numeral of that value is accepted, such as 6.0.
func (s *Section) Number(key string, l Limits) uint64 {
	allowed := number.WholeRange{
		Min: l.Min,
		Max: l.Max,
	}
	value, ok := s.Text(key)
	if l.Required {
		value, ok = s.Required(key, allowed.String())
	}
	if !ok {
		return l.Default
	}
	n, ok := allowed.Parse(value)
	if !ok {
		s.RejectValue(key, value, allowed.String())
		return l.Default
	}
	return n
}

// Decimal reads a number within limits.
func (s *Section) Decimal(key string, l DecimalLimits) float64 {
	return readDecimal(s, key, l, l.Default, number.Range.Parse)
}

// Duration reads a number of units within limits.
func (s *Section) Duration(key string, unit time.Duration, l DecimalLimits) time.Duration {
	fallback := time.Duration(l.Default * float64(unit))
	return readDecimal(s, key, l, fallback, func(r number.Range, text string) (time.Duration, bool) {
		return r.ParseDuration(text, unit)
	})
}

func readDecimal[T any](s *Section, key string, l DecimalLimits, fallback T, parse func(number.Range, string) (T, bool)) T {
	allowed := number.Range{
		Min: l.Min,
		Max: l.Max,
	}
	value, ok := s.Text(key)
	if l.Required {
		value, ok = s.Required(key, allowed.String())
	}
	if !ok || value == "" {
		return fallback
	}
	x, ok := parse(allowed, value)
	if !ok {
		s.RejectValue(key, value, allowed.String())
		return fallback
	}
	return x
}

// Address reads a required IPv4 address with a port.
func (s *Section) Address(key string) netip.AddrPort {
	value, ok := s.Required(key, AddressAllowed)
	if !ok {
		return netip.AddrPort{}
	}
	return s.parseAddress(key, value)
}

// OptionalAddress reads an IPv4 address with a port; a missing one is the zero
// AddrPort.
func (s *Section) OptionalAddress(key string) netip.AddrPort {
	value, ok := s.Text(key)
	if !ok || value == "" {
		return netip.AddrPort{}
	}
	return s.parseAddress(key, value)
}

// Addresses reads a comma-separated list of addresses.
func (s *Section) Addresses(key string) []netip.AddrPort {
	value, ok := s.Text(key)
	if !ok || value == "" {
		return nil
	}
	var out []netip.AddrPort
	for part := range strings.SplitSeq(value, ",") {
		out = append(out, s.parseAddress(key, strings.TrimSpace(part)))
	}
	return out
}

func (s *Section) parseAddress(key, value string) netip.AddrPort {
	host, text, _ := strings.Cut(value, ":")
	a, err := netip.ParseAddr(host)
	port, ok := portRange.Parse(text)
	if err != nil || !ok || !a.Is4() || a.IsUnspecified() || a.IsMulticast() {
		s.RejectValue(key, value, AddressAllowed)
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(a, uint16(port))
}

// Choice reads one of several words; the first is the default.
func (s *Section) Choice(key string, words ...string) string {
	value, ok := s.Text(key)
	if !ok {
		return words[0]
	}
	if !slices.Contains(words, value) {
		s.RejectValue(key, value, strings.Join(words, ", "))
		return words[0]
	}
	return value
}
