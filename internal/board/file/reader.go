package file

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/clementinewing/clementinewing/internal/world/pact"
)

// reader reads the values of one section and gathers what is wrong with them.
type reader struct {
	index   *index
	section *ini.Section
}

// limits are the bounds of a number; unset is its value when the key is missing.
type limits struct {
	required bool
	least    uint64
	most     uint64
	unset    uint64
}

func (r reader) fault(key, problem, allowed string) {
	section := r.section.Name()
	r.index.faults = append(r.index.faults, Fault{
		Path:    r.index.path,
		Line:    r.index.line(section, key),
		Section: section,
		Key:     key,
		Problem: problem,
		Allowed: allowed,
	})
}

// only reports every key beside those named.
func (r reader) only(keys ...string) {
	for _, k := range r.section.KeyStrings() {
		if !slices.Contains(keys, k) {
			r.fault(k, "unknown key", strings.Join(keys, ", "))
		}
	}
}

// text is the raw value, without the library's interpolation.
func (r reader) text(key string) (value string, ok bool) {
	if !r.section.HasKey(key) {
		return "", false
	}
	return r.section.Key(key).Value(), true
}

func (r reader) required(key, allowed string) (value string, ok bool) {
	value, ok = r.text(key)
	if !ok && !r.index.broken[r.section.Name()] {
		r.fault(key, "key is missing", allowed)
	}
	return value, ok
}

func (r reader) bad(key, value, allowed string) {
	r.fault(key, fmt.Sprintf("bad value %q", value), allowed)
}

func (r reader) name(key string) string {
	value, ok := r.required(key, nameAllowed)
	if !ok {
		return ""
	}
	if !nameRule.MatchString(value) {
		r.bad(key, value, nameAllowed)
		return ""
	}
	return value
}

// names reads a list parted by commas, sorted and without doubles.
func (r reader) names(key string) []string {
	value, ok := r.text(key)
	if !ok {
		return nil
	}
	var out []string
	for part := range strings.SplitSeq(value, ",") {
		part = strings.TrimSpace(part)
		if !nameRule.MatchString(part) {
			r.bad(key, part, "names parted by commas, each "+nameAllowed)
			continue
		}
		out = append(out, part)
	}
	slices.Sort(out)
	if len(out) > MaxUpstreams {
		r.fault(key, fmt.Sprintf("%d names", len(out)), fmt.Sprintf("at most %d names", MaxUpstreams))
	}
	if len(slices.Compact(slices.Clone(out))) != len(out) {
		r.fault(key, "a name stands twice", "each name once")
	}
	return out
}

func (r reader) number(key string, l limits) uint64 {
	allowed := fmt.Sprintf("a whole number from %d to %d", l.least, l.most)
	value, ok := r.text(key)
	if l.required {
		value, ok = r.required(key, allowed)
	}
	if !ok {
		return l.unset
	}
	n, err := strconv.ParseUint(value, 10, 64)
	if err != nil || n < l.least || n > l.most {
		r.bad(key, value, allowed)
		return l.unset
	}
	return n
}

func (r reader) publicKey(key string) ed25519.PublicKey {
	const allowed = "an Ed25519 public key of 32 bytes in base64"
	value, ok := r.required(key, allowed)
	if !ok {
		return nil
	}
	raw, err := base64.StdEncoding.Strict().DecodeString(value)
	if err != nil || len(raw) != ed25519.PublicKeySize {
		r.bad(key, value, allowed)
		return nil
	}
	return raw
}

func (r reader) address(key string) netip.AddrPort {
	const allowed = "IPV4:PORT of a single host, with a port from 1 to 65535"
	value, ok := r.required(key, allowed)
	if !ok {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(value)
	if err != nil || !a.Addr().Is4() || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		r.bad(key, value, allowed)
		return netip.AddrPort{}
	}
	return a
}

func (r reader) protocol(key string) pact.Protocol {
	value, ok := r.text(key)
	switch {
	case !ok || value == "tcp":
		return pact.TCP
	case value == "udp":
		return pact.UDP
	default:
		r.bad(key, value, "tcp, udp")
		return 0
	}
}

func (r reader) contract(key string) pact.Contract {
	const allowed = "once, repeatable"
	value, ok := r.required(key, allowed)
	if !ok {
		return 0
	}
	switch value {
	case pact.Once.String():
		return pact.Once
	case pact.Repeatable.String():
		return pact.Repeatable
	default:
		r.bad(key, value, allowed)
		return 0
	}
}

func (r reader) weightOn(key string) WeightOn {
	value, ok := r.text(key)
	switch {
	case !ok || value == BrokenFlows.String():
		return BrokenFlows
	case value == Imbalance.String():
		return Imbalance
	default:
		r.bad(key, value, "broken_flows, imbalance")
		return 0
	}
}
