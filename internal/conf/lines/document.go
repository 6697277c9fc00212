package lines

import (
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"
)

// Document is one INI text and everything found wrong with it so far.
type Document struct {
	index    *index
	sections []*Section
}

// Load reads a text; path only names it in faults. Faults of the text are
// gathered in the document, so that its reader can add its own: Err gives all.
func Load(path, text string, heading Heading) (d *Document, err error) {
	defer func() { err = eris.Wrapf(err, "reading %s", path) }()
	d = &Document{
		index: newIndex(path, text, heading),
	}
	parsed, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		PreserveSurroundedQuote:  true,
		KeyValueDelimiters:       "=",
	}, []byte(strings.Join(d.index.clean, "\n")))
	if err != nil {
		return nil, err
	}
	for _, s := range parsed.Sections() {
		if s.Name() == ini.DefaultSection {
			continue
		}
		d.sections = append(d.sections, &Section{
			index:   d.index,
			section: s,
		})
	}
	return d, nil
}

// Sections gives the sections in the order of the text.
func (d *Document) Sections() []*Section {
	return d.sections
}

// Section gives one section; a missing one is a fault and reads as empty.
func (d *Document) Section(name string) *Section {
	for _, s := range d.sections {
		if s.Name() == name {
			return s
		}
	}
	if !d.index.broken[""] {
		d.Fault(name, "", "section is missing", "exactly one")
	}
	d.index.broken[name] = true
	return &Section{
		index:   d.index,
		section: ini.Empty().Section(name),
	}
}

// Optional gives one section; a missing one reads as empty without a fault.
func (d *Document) Optional(name string) *Section {
	if _, ok := d.index.sections[name]; ok {
		return d.Section(name)
	}
	return &Section{
		index:   d.index,
		section: ini.Empty().Section(name),
	}
}

// Fault adds a fault at a key, or at a section if key is empty.
func (d *Document) Fault(section, key, problem, allowed string) {
	x := d.index
	x.faults = append(x.faults, Fault{
		Path:    x.path,
		Line:    x.line(section, key),
		Section: section,
		Key:     key,
		Problem: problem,
		Allowed: allowed,
	})
}

// Err gives every fault by line, or nil.
func (d *Document) Err() error {
	return d.index.faults.OrNil()
}

// OneOf makes a Heading that allows just these names.
func OneOf(names ...string) Heading {
	return func(name string) (problem, allowed string) {
		for _, n := range names {
			if n == name {
				return "", ""
			}
		}
		return "unknown section", fmt.Sprintf("[%s]", strings.Join(names, "], ["))
	}
}
