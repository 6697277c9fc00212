package file

import (
	"fmt"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"

	"github.com/clementinewing/clementinewing/internal/world/pact"
)

// Parse reads a whole file. The error is Faults with everything that is wrong,
// or tells that the text is too large; path only names the file in it.
func Parse(path string, text []byte) (f File, err error) {
	if len(text) > MaxBytes {
		return f, Faults{
			{
				Path:    path,
				Line:    1,
				Problem: fmt.Sprintf("the file has %d bytes", len(text)),
				Allowed: fmt.Sprintf("at most %d bytes", MaxBytes),
			},
		}
	}
	x := newIndex(path, string(text))
	parsed, err := load(x)
	if err != nil {
		return f, err
	}
	f = build(x, parsed)
	if err = x.faults.orNil(); err != nil {
		return File{}, err
	}
	return f, nil
}

func load(x *index) (parsed *ini.File, err error) {
	defer func() { err = eris.Wrapf(err, "reading %s", x.path) }()
	options := ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		PreserveSurroundedQuote:  true,
		KeyValueDelimiters:       "=",
	}
	return ini.LoadSources(options, []byte(strings.Join(x.clean, "\n")))
}

func build(x *index, parsed *ini.File) (f File) {
	if _, ok := x.sections["file"]; !ok && !x.broken[""] {
		x.faults = append(x.faults, Fault{
			Path:    x.path,
			Line:    1,
			Section: "file",
			Problem: "section is missing",
			Allowed: "exactly one",
		})
	}
	for _, s := range parsed.Sections() {
		r := reader{
			index:   x,
			section: s,
		}
		kind, name, _ := strings.Cut(s.Name(), " ")
		switch kind {
		case "file":
			r.file(&f)
		case "operator":
			f.Operators = append(f.Operators, r.operator(name))
		case "service":
			f.Services = append(f.Services, r.service(name))
		case "upstream":
			f.Upstreams = append(f.Upstreams, r.upstream(name))
		}
	}
	f.sort()
	checkWhole(x, f)
	return f
}

func (r reader) file(f *File) {
	r.only("name", "base", "chair")
	f.Name = r.name("name")
	f.Base = r.number("base", limits{
		required: true,
		most:     1<<63 - 1,
	})
	f.Chair = r.name("chair")
}

func (r reader) operator(name string) Operator {
	r.only("key")
	return Operator{
		Name: name,
		Key:  r.publicKey("key"),
	}
}

func (r reader) service(name string) Service {
	r.only("address", "protocol", "contract", "upstreams", "weight_on", "slots", "connections", "drain_seconds")
	s := Service{
		Pact: pact.Service{
			Name:      name,
			ID:        pact.Identify(name),
			Address:   r.address("address"),
			Protocol:  r.protocol("protocol"),
			Contract:  r.contract("contract"),
			Upstreams: r.names("upstreams"),
		},
		WeightOn: r.weightOn("weight_on"),
		Slots: uint32(r.number("slots", limits{
			least: 1,
			most:  MaxSlots,
		})),
		Connections: uint32(r.number("connections", limits{
			least: 1,
			most:  MaxConnections,
		})),
		DrainSeconds: uint32(r.number("drain_seconds", limits{
			most:  MaxDrainSeconds,
			unset: DefaultDrainSeconds,
		})),
	}
	if s.Pact.Protocol == pact.UDP && s.Pact.Contract == pact.Once {
		r.fault("contract", "once over udp, which has no handshake to refuse in", "repeatable over udp, or protocol = tcp")
	}
	return s
}

func (r reader) upstream(name string) Upstream {
	r.only("weight")
	return Upstream{
		Name: name,
		Weight: uint32(r.number("weight", limits{
			required: true,
			least:    1,
			most:     MaxWeight,
		})),
	}
}

func (f *File) sort() {
	slices.SortFunc(f.Operators, func(a, b Operator) int {
		return strings.Compare(a.Name, b.Name)
	})
	slices.SortFunc(f.Services, func(a, b Service) int {
		return strings.Compare(a.Pact.Name, b.Pact.Name)
	})
	slices.SortFunc(f.Upstreams, func(a, b Upstream) int {
		return strings.Compare(a.Name, b.Name)
	})
}
