package lines

import (
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"
)

// Document is one INI text and the faults found in it so far.
type Document struct {
	index    *index
	sections []*Section
}

// Load parses a text; path is used only in faults. Faults of the text are collected
// in the document, so that its reader can add more; Err returns all of them.
func Load(path, text string, heading HeadingCheck) (d *Document, err error) {
	defer func() { err = eris.Wrapf(err, "reading %s", path) }()
	d = &Document{
		index: newIndex(path, text, heading),
	}
	parsed, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		PreserveSurroundedQuote:  true,
		KeyValueDelimiters:       "=",
	}, []byte(strings.Join(d.index.readable, "\n")))
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

// Sections returns the sections in the order of the text.
func (d *Document) Sections() []*Section {
	return d.sections
}

// Section returns one section; a missing one reads as empty and is a fault, unless a
// malformed line outside all sections may have been its heading.
func (d *Document) Section(name string) *Section {
	for _, s := range d.sections {
		if s.Name() == name {
			return s
		}
	}
	if !d.index.incomplete[""] {
		d.Fault(name, "", "section is missing", "exactly one")
	}
	d.index.incomplete[name] = true
	return &Section{
		index:   d.index,
		section: ini.Empty().Section(name),
	}
}

// OptionalSection returns one section; a missing one reads as empty without a fault.
func (d *Document) OptionalSection(name string) *Section {
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
		Line:    x.lineOf(section, key),
		Section: section,
		Key:     key,
		Problem: problem,
		Allowed: allowed,
	})
}

// Err returns every fault, sorted by line, or nil.
func (d *Document) Err() error {
	return d.index.faults.OrNil()
}

// AllowHeadings returns a HeadingCheck that allows only these names.
func AllowHeadings(names ...string) HeadingCheck {
	return func(name string) (problem, allowed string) {
		for _, n := range names {
			if n == name {
				return "", ""
			}
		}
		return "unknown section", fmt.Sprintf("[%s]", strings.Join(names, "], ["))
	}
}
