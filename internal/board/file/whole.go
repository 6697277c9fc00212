package file

import (
	"fmt"
	"net/netip"

	"github.com/clementinewing/clementinewing/internal/conf/lines"
	"github.com/clementinewing/clementinewing/internal/world/pact"
)

// checkWhole looks for faults that show only between sections.
func checkWhole(d *lines.Document, f File) {
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
	d.Fault("file", "chair", fmt.Sprintf("%s is no operator of this file", f.Chair), "a NAME with a section [operator NAME]")
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
		between(d, "operator "+o.Name, "key", "the key is also the key of "+first)
	}
}

func checkServices(d *lines.Document, f File) {
	type target struct {
		address  netip.AddrPort
		protocol pact.Protocol
	}
	targets := map[target]string{}
	numbers := map[pact.ServiceID]string{}
	for i := range f.Services {
		p := f.Services[i].Pact
		if first, ok := numbers[p.ID]; ok {
			between(d, "service "+p.Name, "", "the name has the same identifier as "+first)
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
			between(d, "service "+p.Name, "address", "the address is also the address of "+first)
			continue
		}
		targets[t] = p.Name
	}
}

// between adds a fault that two sections make together.
func between(d *lines.Document, section, key, problem string) {
	d.Fault(section, key, problem, "one of each")
}
