package file

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"strings"

	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// Canonical encodes the file in its canonical form: sections sorted by name, all
// defaults explicit, no comments. Parsing it yields the same file. Content hashes and
// signatures cover this form.
func (f File) Canonical() []byte {
	return bytes.Join(f.canonicalSections(), nil)
}

// canonicalSections returns the canonical text of each section in order.
func (f File) canonicalSections() [][]byte {
	out := make([][]byte, 0, 1+len(f.Operators)+len(f.Services)+len(f.Upstreams))
	out = append(out, fmt.Appendf(nil, "[file]\nname = %s\nbase = %d\nchair = %s\n", f.Name, f.Base, f.Chair))
	for _, o := range f.Operators {
		key := base64.StdEncoding.EncodeToString(o.Key)
		out = append(out, fmt.Appendf(nil, "[operator %s]\nkey = %s\n", o.Name, key))
	}
	for i := range f.Services {
		out = append(out, f.Services[i].canonical())
	}
	for _, u := range f.Upstreams {
		out = append(out, fmt.Appendf(nil, "[upstream %s]\nweight = %d\n", u.Name, u.Weight))
	}
	return out
}

func (s Service) canonical() []byte {
	sp := s.Spec
	protocol := "tcp"
	if sp.Protocol == spec.UDP {
		protocol = "udp"
	}
	b := fmt.Appendf(nil, "[service %s]\naddress = %s\nprotocol = %s\ncontract = %s\n", sp.Name, sp.Address, protocol, sp.Contract)
	if len(sp.Upstreams) > 0 {
		b = fmt.Appendf(b, "upstreams = %s\n", strings.Join(sp.Upstreams, ", "))
	}
	b = fmt.Appendf(b, "weight_on = %s\n", s.WeightOn)
	if s.Slots > 0 {
		b = fmt.Appendf(b, "slots = %d\n", s.Slots)
	}
	if s.Connections > 0 {
		b = fmt.Appendf(b, "connections = %d\n", s.Connections)
	}
	return fmt.Appendf(b, "drain_seconds = %d\n", s.DrainSeconds)
}
