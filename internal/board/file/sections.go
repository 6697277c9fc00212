package file

import (
	"fmt"
	"net/netip"

	"github.com/clementinewing/clementinewing/internal/conf/lines"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// checkSections checks for faults that involve several sections.
func checkSections(d *lines.Document, f File) {
	checkChair(d, f)
	checkKeys(d, f)
	checkServices(d, f)
}

func checkChair(d *lines.Document, f File) {
	if f.Chair == "" {
		return
	}
	if _, ok := f.Operator(f.Chair); ok {
		return
	}
	d.Fault("file", "chair", fmt.Sprintf("%s is not an operator of this file", f.Chair), "a NAME with a section [operator NAME]")
}

func checkKeys(d *lines.Document, f File) {
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
		addDuplicateFault(d, "operator "+o.Name, "key", "the same key as operator "+first)
	}
}

func checkServices(d *lines.Document, f File) {
	type target struct {
		address  netip.AddrPort
		protocol spec.Protocol
	}
	owners := map[target]string{}
	ids := map[spec.ServiceID]string{}
	for i := range f.Services {
		s := f.Services[i].Spec
		if first, ok := ids[s.ID]; ok {
			addDuplicateFault(d, "service "+s.Name, "", "the name has the same identifier as service "+first)
		}
		ids[s.ID] = s.Name
		if !s.Address.IsValid() || s.Protocol == 0 {
			continue
		}
		t := target{
			address:  s.Address,
			protocol: s.Protocol,
		}
		if first, ok := owners[t]; ok {
			addDuplicateFault(d, "service "+s.Name, "address", "the same address and protocol as service "+first)
			continue
		}
		owners[t] = s.Name
	}
}

// addDuplicateFault adds the fault that a value must not occur in two sections.
func addDuplicateFault(d *lines.Document, section, key, problem string) {
	d.Fault(section, key, problem, "a unique value")
}
