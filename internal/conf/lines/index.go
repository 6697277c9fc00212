package lines

import (
	"fmt"
	"regexp"
	"strings"
	"unicode"
	"unicode/utf8"
)

var (
	sectionLine = regexp.MustCompile(`^\[([^\[\]]*)\]$`)
	keyLine     = regexp.MustCompile(`^([a-z0-9_]+)\s*=(.*)$`)
)

// HeadingCheck checks the name of a section. It returns the problem and what is
// allowed, or two empty texts.
type HeadingCheck func(name string) (problem, allowed string)

// index records the line of each section and key of a text. It also checks the
// syntax of each line; readable holds the lines for the INI library, in which
// invalid lines are blank.
type index struct {
	path     string
	heading  HeadingCheck
	sections map[string]int
	keys     map[position]int
	// incomplete holds the sections with an invalid line, which may contain a key that
	// seems to be missing; "" stands for the lines outside all sections.
	incomplete map[string]bool
	readable   []string
	faults     Faults
	// current is the section of the next key; skip is set while its heading is
	// invalid.
	current string
	skip    bool
}

// position identifies a key.
type position struct {
	section string
	key     string
}

func newIndex(path, text string, heading HeadingCheck) *index {
	x := &index{
		path:       path,
		heading:    heading,
		sections:   map[string]int{},
		keys:       map[position]int{},
		incomplete: map[string]bool{},
	}
	number := 0
	for line := range strings.SplitSeq(text, "\n") {
		number++
		if !x.scanLine(number, strings.TrimSpace(line)) {
			line = ""
		}
		x.readable = append(x.readable, line)
	}
	return x
}

// scanLine checks one line and reports whether the INI library may read it.
func (x *index) scanLine(number int, line string) bool {
	switch {
	case line == "":
		return true
	case !printable(line):
		return x.rejectLine(number, "the line contains bytes that are not printable UTF-8 text")
	case line[0] == '#' || line[0] == ';':
		return true
	case line[0] == '[':
		return x.scanHeading(number, line)
	default:
		return x.scanPair(number, line)
	}
}

func (x *index) scanHeading(number int, line string) bool {
	x.current = ""
	x.skip = true
	match := sectionLine.FindStringSubmatch(line)
	if match == nil {
		return x.rejectLine(number, "malformed section heading")
	}
	name := match[1]
	x.current = name
	if problem, allowed := x.heading(name); problem != "" {
		x.addFault(number, "", problem, allowed)
		return false
	}
	if first, ok := x.sections[name]; ok {
		x.addFault(number, "", fmt.Sprintf("duplicate section, first in line %d", first), "once")
		return false
	}
	x.sections[name] = number
	x.skip = false
	return true
}

func (x *index) scanPair(number int, line string) bool {
	match := keyLine.FindStringSubmatch(line)
	if match == nil {
		return x.rejectLine(number, "malformed line")
	}
	key := match[1]
	value := strings.TrimSpace(match[2])
	switch {
	case x.skip:
		return false
	case x.current == "":
		x.addFault(number, key, "key before the first section", "keys within a section")
		return false
	case strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"`) || strings.HasPrefix(value, "'"):
		x.incomplete[x.current] = true
		x.addFault(number, key, "the value is quoted", "values without quotes")
		return false
	}
	where := position{
		section: x.current,
		key:     key,
	}
	if first, ok := x.keys[where]; ok {
		x.addFault(number, key, fmt.Sprintf("duplicate key, first in line %d", first), "once")
		return false
	}
	x.keys[where] = number
	return true
}

func (x *index) rejectLine(number int, problem string) bool {
	if x.skip && x.current != "" {
		return false
	}
	x.incomplete[x.current] = true
	x.addFault(number, "", problem, "[section], key = value, or a comment after #")
	return false
}

func (x *index) addFault(number int, key, problem, allowed string) {
	x.faults = append(x.faults, Fault{
		Path:    x.path,
		Line:    number,
		Section: x.current,
		Key:     key,
		Problem: problem,
		Allowed: allowed,
	})
}

// lineOf returns the line of a key, or of its section if the key is missing.
func (x *index) lineOf(section, key string) int {
	where := position{
		section: section,
		key:     key,
	}
	if number, ok := x.keys[where]; ok {
		return number
	}
	return max(x.sections[section], 1)
}

func printable(line string) bool {
	if !utf8.ValidString(line) {
		return false
	}
	for _, r := range line {
		if r != '\t' && !unicode.IsPrint(r) {
			return false
		}
	}
	return true
}
