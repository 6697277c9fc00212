package file

import (
	"fmt"
	"net/netip"

	"github.com/clementinewing/clementinewing/internal/world/pact"
)

// checkWhole looks for faults that show only between sections.
func checkWhole(x *index, f File) {
	checkChair(x, f)
	checkKeys(x, f)
	checkServices(x, f)
}

func checkChair(x *index, f File) {
	if f.Chair == "" {
		return
	}
	if _, ok := x.sections["operator "+f.Chair]; ok {
		return
	}
	x.faults = append(x.faults, Fault{
		Path:    x.path,
		Line:    x.line("file", "chair"),
		Section: "file",
		Key:     "chair",
		Problem: fmt.Sprintf("%s is no operator of this file", f.Chair),
		Allowed: "a NAME with a section [operator NAME]",
	})
}

func checkKeys(x *index, f File) {
	owners := map[string]string{}
	for _, o := range f.Operators {
		if len(o.Key) == 0 {
			continue
		}
		first, ok := owners[string(o.Key)]
		if !ok {
			owners[string(o.Key)] = o.Name
			continue
		}
		x.between("operator "+o.Name, "key", "the key is also the key of "+first)
	}
}

func checkServices(x *index, f File) {
	type target struct {
		address  netip.AddrPort
		protocol pact.Protocol
	}
	targets := map[target]string{}
	numbers := map[pact.ServiceID]string{}
	for i := range f.Services {
		p := f.Services[i].Pact
		if first, ok := numbers[p.ID]; ok {
			x.between("service "+p.Name, "", "the name has the same identifier as "+first)
		}
		numbers[p.ID] = p.Name
		if !p.Address.IsValid() || p.Protocol == 0 {
			continue
		}
		t := target{
			address:  p.Address,
			protocol: p.Protocol,
		}
		if first, ok := targets[t]; ok {
			x.between("service "+p.Name, "address", "the address is also the address of "+first)
			continue
		}
		targets[t] = p.Name
	}
}

// between adds a fault that two sections make together.
func (x *index) between(section, key, problem string) {
	x.faults = append(x.faults, Fault{
		Path:    x.path,
		Line:    x.line(section, key),
		Section: section,
		Key:     key,
		Problem: problem,
		Allowed: "one of each",
	})
}
