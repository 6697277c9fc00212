package file

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"slices"
	"strings"

	"github.com/clementinewing/clementinewing/internal/conf/lines"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// reader reads the types of values that only occur in operators' files.
type reader struct {
	*lines.Section
}

func (r reader) name(key string) string {
	value, ok := r.Required(key, nameAllowed)
	if !ok {
		return ""
	}
	if !namePattern.MatchString(value) {
		r.RejectValue(key, value, nameAllowed)
		return ""
	}
	return value
}

// names reads a comma-separated list of unique names and sorts it.
func (r reader) names(key string) []string {
	value, ok := r.Text(key)
	if !ok {
		return nil
	}
	var out []string
	for part := range strings.SplitSeq(value, ",") {
		part = strings.TrimSpace(part)
		if !namePattern.MatchString(part) {
			r.RejectValue(key, part, "comma-separated names, each "+nameAllowed)
			continue
		}
		out = append(out, part)
	}
	slices.Sort(out)
	if len(out) > MaxUpstreams {
		r.Fault(key, fmt.Sprintf("%d names", len(out)), fmt.Sprintf("at most %d names", MaxUpstreams))
	}
	if len(slices.Compact(slices.Clone(out))) != len(out) {
		r.Fault(key, "duplicate name in the list", "each name once")
	}
	return out
}

func (r reader) publicKey(key string) ed25519.PublicKey {
	const allowed = "an Ed25519 public key of 32 bytes in base64"
	value, ok := r.Required(key, allowed)
	if !ok {
		return nil
	}
	raw, err := base64.StdEncoding.Strict().DecodeString(value)
	if err != nil || len(raw) != ed25519.PublicKeySize {
		r.RejectValue(key, value, allowed)
		return nil
	}
	return raw
}

// protocol reads a protocol, TCP if unset. It returns 0 for an invalid value.
func (r reader) protocol(key string) spec.Protocol {
	value, ok := r.Text(key)
	switch {
	case !ok || value == "tcp":
		return spec.TCP
	case value == "udp":
		return spec.UDP
	default:
		r.RejectValue(key, value, "tcp, udp")
		return 0
	}
}

func (r reader) contract(key string) spec.Contract {
	const allowed = "once, repeatable"
	value, ok := r.Required(key, allowed)
	if !ok {
		return 0
	}
	switch value {
	case spec.Once.String():
		return spec.Once
	case spec.Repeatable.String():
		return spec.Repeatable
	default:
		r.RejectValue(key, value, allowed)
		return 0
	}
}

func (r reader) weightOn(key string) WeightOn {
	if r.Choice(key, BrokenFlows.String(), Imbalance.String()) == Imbalance.String() {
		return Imbalance
	}
	return BrokenFlows
}
