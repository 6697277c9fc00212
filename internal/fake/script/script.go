// Package script reads test scripts. A script has cases of timed lines, and each line
// has an event with arguments and the actions expected from it.
package script

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Case is one test case of a script.
type Case struct {
	// File and Name identify the case in messages.
	File  string
	Name  string
	Lines []Line
}

// Line is one event and its expected actions.
type Line struct {
	// Number is the line number in the file, from 1.
	Number int
	At     time.Time
	Event  string
	// Words are the arguments without "=", Values those of the form KEY=VALUE.
	Words  []string
	Values map[string]string
	// Want is the text after "=>". It is empty if no action is expected.
	Want string
}

// Read reads every file that matches the pattern. A case starts with a line
// "case NAME". Its other lines have the form "MILLISECONDS EVENT ARGUMENT... => WANT".
// Empty lines and lines that start with # are skipped.
func Read(pattern string) (cases []Case, err error) {
	files, err := filepath.Glob(pattern)
	if err != nil {
		return nil, err
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		more, err := parse(filepath.Base(file), string(text))
		if err != nil {
			return nil, err
		}
		cases = append(cases, more...)
	}
	if len(cases) == 0 {
		return nil, fmt.Errorf("no test cases in %s", pattern)
	}
	return cases, nil
}

func parse(file, text string) (cases []Case, err error) {
	number := 0
	for line := range strings.Lines(text) {
		number++
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		if name, ok := strings.CutPrefix(line, "case "); ok {
			cases = append(cases, Case{
				File: file,
				Name: name,
			})
			continue
		}
		if len(cases) == 0 {
			return nil, fmt.Errorf("%s:%d: line before the first case", file, number)
		}
		parsed, err := parseLine(line)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", file, number, err)
		}
		parsed.Number = number
		last := &cases[len(cases)-1]
		last.Lines = append(last.Lines, parsed)
	}
	return cases, nil
}

func parseLine(line string) (l Line, err error) {
	event, want, _ := strings.Cut(line, "=>")
	fields := strings.Fields(event)
	if len(fields) < 2 {
		return l, fmt.Errorf("line %q has no event", line)
	}
	at, err := strconv.Atoi(fields[0])
	if err != nil {
		return l, err
	}
	l = Line{
		At:     time.UnixMilli(int64(at)).UTC(),
		Event:  fields[1],
		Values: map[string]string{},
		Want:   strings.TrimSpace(want),
	}
	for _, f := range fields[2:] {
		if key, value, ok := strings.Cut(f, "="); ok {
			l.Values[key] = value
			continue
		}
		l.Words = append(l.Words, f)
	}
	return l, nil
}

// Has reports whether word is among the arguments without "=".
func (l *Line) Has(word string) bool {
	for _, w := range l.Words {
		if w == word {
			return true
		}
	}
	return false
}

// Int returns the value of key as a number, or unset if the key is missing. It panics
// if the value is not a number, because then the script is wrong.
func (l *Line) Int(key string, unset int) int {
	text, ok := l.Values[key]
	if !ok {
		return unset
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		panic(fmt.Sprintf("line %d: %s=%s is not a number", l.Number, key, text))
	}
	return n
}

// Ints returns the value of key as a comma-separated list of numbers. It panics if an
// item is not a number.
func (l *Line) Ints(key string) (list []int) {
	text, ok := l.Values[key]
	if !ok || text == "" {
		return nil
	}
	for part := range strings.SplitSeq(text, ",") {
		n, err := strconv.Atoi(part)
		if err != nil {
			panic(fmt.Sprintf("line %d: %s=%s is not a list of numbers", l.Number, key, text))
		}
		list = append(list, n)
	}
	return list
}
