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

// Heading checks a section's name; it gives what is wrong with it and what is
// allowed, or nothing.
type Heading func(name string) (problem, allowed string)

// index remembers where each section and key of a text stands. It also checks
// the form of each line, and keeps the lines that the library may read; the
// others are blank in clean.
type index struct {
	path     string
	heading  Heading
	sections map[string]int
	keys     map[place]int
	// broken sections hold a malformed line, so a key may seem to be missing.
	broken map[string]bool
	clean  []string
	faults Faults
	// current is the section that the next key belongs to; skip is set while
	// its heading is malformed.
	current string
	skip    bool
}

type place struct {
	section string
	key     string
}

func newIndex(path, text string, heading Heading) *index {
	x := &index{
		path:     path,
		heading:  heading,
		sections: map[string]int{},
		keys:     map[place]int{},
		broken:   map[string]bool{},
	}
	number := 0
	for line := range strings.SplitSeq(text, "\n") {
		number++
		if !x.take(number, strings.TrimSpace(line)) {
			line = ""
		}
		x.clean = append(x.clean, line)
	}
	return x
}

// take reads one line and tells whether the library may read it too.
func (x *index) take(number int, line string) bool {
	switch {
	case line == "":
		return true
	case !printable(line):
		return x.malformed(number, "the line holds bytes that are no printable UTF-8 text")
	case line[0] == '#' || line[0] == ';':
		return true
	case line[0] == '[':
		return x.section(number, line)
	default:
		return x.pair(number, line)
	}
}

func (x *index) section(number int, line string) bool {
	x.current = ""
	x.skip = true
	match := sectionLine.FindStringSubmatch(line)
	if match == nil {
		return x.malformed(number, "malformed section heading")
	}
	name := match[1]
	x.current = name
	if problem, allowed := x.heading(name); problem != "" {
		x.fault(number, "", problem, allowed)
		return false
	}
	if first, ok := x.sections[name]; ok {
		x.fault(number, "", fmt.Sprintf("section stands twice, first in line %d", first), "once")
		return false
	}
	x.sections[name] = number
	x.skip = false
	return true
}

func (x *index) pair(number int, line string) bool {
	match := keyLine.FindStringSubmatch(line)
	if match == nil {
		return x.malformed(number, "malformed line")
	}
	key := match[1]
	value := strings.TrimSpace(match[2])
	switch {
	case x.skip:
		return false
	case x.current == "":
		x.fault(number, key, "key stands before the first section", "keys within a section")
		return false
	case strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"`) || strings.HasPrefix(value, "'"):
		x.broken[x.current] = true
		x.fault(number, key, "the value is quoted", "values without quotes")
		return false
	}
	where := place{
		section: x.current,
		key:     key,
	}
	if first, ok := x.keys[where]; ok {
		x.fault(number, key, fmt.Sprintf("key stands twice, first in line %d", first), "once")
		return false
	}
	x.keys[where] = number
	return true
}

func (x *index) malformed(number int, problem string) bool {
	if x.skip && x.current != "" {
		return false
	}
	x.broken[x.current] = true
	x.fault(number, "", problem, "[section], key = value, or a comment after #")
	return false
}

func (x *index) fault(number int, key, problem, allowed string) {
	x.faults = append(x.faults, Fault{
		Path:    x.path,
		Line:    number,
		Section: x.current,
		Key:     key,
		Problem: problem,
		Allowed: allowed,
	})
}

// line is where a key stands, or its section if the key is missing.
func (x *index) line(section, key string) int {
	where := place{
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
