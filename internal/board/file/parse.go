package file

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/clementinewing/clementinewing/internal/conf/lines"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// namePattern matches valid names, which occur in headings, values and packets. Dots
// are not allowed because the INI library interprets them as separators of a parent
// section.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

const nameAllowed = "1 to 63 of a-z, 0-9 and -, with no - at either end"

// Parse parses a file. The error is lines.Faults with all faults in the text, or with
// one fault if the text is too large. The path is only used in error messages.
func Parse(path string, text []byte) (f File, err error) {
	if len(text) > MaxBytes {
		return f, lines.Faults{
			{
				Path:    path,
				Line:    1,
				Problem: fmt.Sprintf("the file is %d bytes long", len(text)),
				Allowed: fmt.Sprintf("at most %d bytes", MaxBytes),
			},
		}
	}
	d, err := lines.Load(path, string(text), checkHeading)
	if err != nil {
		return f, err
	}
	f = build(d)
	if err = d.Err(); err != nil {
		return File{}, err
	}
	return f, nil
}

// checkHeading returns the problem with a section heading, or empty strings.
func checkHeading(name string) (problem, allowed string) {
	if name == "file" {
		return "", ""
	}
	kind, rest, _ := strings.Cut(name, " ")
	switch kind {
	case "operator", "service", "upstream":
	default:
		return "unknown section", "[file], [operator NAME], [service NAME], [upstream NAME]"
	}
	if !namePattern.MatchString(rest) {
		return fmt.Sprintf("%q is not a valid name", rest), nameAllowed
	}
	return "", ""
}

func build(d *lines.Document) (f File) {
	header := reader{
		Section: d.Section("file"),
	}
	header.readHeader(&f)
	for _, s := range d.Sections() {
		r := reader{
			Section: s,
		}
		kind, name, _ := strings.Cut(s.Name(), " ")
		switch kind {
		case "operator":
			f.Operators = append(f.Operators, r.operator(name))
		case "service":
			f.Services = append(f.Services, r.service(name))
		case "upstream":
			f.Upstreams = append(f.Upstreams, r.upstream(name))
		}
	}
	f.sort()
	checkSections(d, f)
	return f
}

func (r reader) readHeader(f *File) {
	r.RejectOtherKeys("name", "base", "chair")
	f.Name = r.name("name")
	f.Base = r.Number("base", lines.Limits{
		Required: true,
		Max:      1<<63 - 1,
	})
	f.Chair = r.name("chair")
}

func (r reader) operator(name string) Operator {
	r.RejectOtherKeys("key")
	return Operator{
		Name: name,
		Key:  r.publicKey("key"),
	}
}

func (r reader) service(name string) Service {
	r.RejectOtherKeys("address", "protocol", "contract", "upstreams", "weight_on", "slots", "connections", "drain_seconds")
	s := Service{
		Spec: spec.Service{
			Name:      name,
			ID:        spec.NewServiceID(name),
			Address:   r.Address("address"),
			Protocol:  r.protocol("protocol"),
			Contract:  r.contract("contract"),
			Upstreams: r.names("upstreams"),
		},
		WeightOn: r.weightOn("weight_on"),
		Slots: uint32(r.Number("slots", lines.Limits{
			Min: 1,
			Max: MaxSlots,
		})),
		Connections: uint32(r.Number("connections", lines.Limits{
			Min: 1,
			Max: MaxConnections,
		})),
		DrainSeconds: uint32(r.Number("drain_seconds", lines.Limits{
			Max:     MaxDrainSeconds,
			Default: DefaultDrainSeconds,
		})),
	}
	if s.Spec.Protocol == spec.UDP && s.Spec.Contract == spec.Once {
		r.Fault("contract", "once over udp, where no handshake exists in which to reject a flow", "repeatable over udp, or protocol = tcp")
	}
	return s
}

func (r reader) upstream(name string) Upstream {
	r.RejectOtherKeys("weight")
	return Upstream{
		Name: name,
		Weight: uint32(r.Number("weight", lines.Limits{
			Required: true,
			Min:      1,
			Max:      MaxWeight,
		})),
	}
}

func (f *File) sort() {
	slices.SortFunc(f.Operators, func(a, b Operator) int {
		return strings.Compare(a.Name, b.Name)
	})
	slices.SortFunc(f.Services, func(a, b Service) int {
		return strings.Compare(a.Spec.Name, b.Spec.Name)
	})
	slices.SortFunc(f.Upstreams, func(a, b Upstream) int {
		return strings.Compare(a.Name, b.Name)
	})
}
