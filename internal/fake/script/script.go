// Package script reads the scripts of tests: cases of timed lines, each an event
// with arguments and the actions that are expected of it.
package script

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Case is one script.
type Case struct {
	// File and Name tell cases apart.
	File  string
	Name  string
	Lines []Line
}

// Line is one event and what is expected of it.
type Line struct {
	// Number counts lines of the file from 1.
	Number int
	At     time.Time
	Event  string
	// Words are the arguments without "=", Values the others.
	Words  []string
	Values map[string]string
	// Want is the text behind "=>", empty for no action.
	Want string
}

// Read reads every file that matches the pattern. A case starts with a line
// "case NAME"; its other lines are "MILLISECONDS EVENT ARGUMENT... => WANT". Lines
// that start with # are passed over.
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
		return nil, fmt.Errorf("no cases in %s", pattern)
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
			return nil, fmt.Errorf("%s:%d: no case", file, number)
		}
		one, err := parseLine(line)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", file, number, err)
		}
		one.Number = number
		last := &cases[len(cases)-1]
		last.Lines = append(last.Lines, one)
	}
	return cases, nil
}

func parseLine(line string) (l Line, err error) {
	event, want, _ := strings.Cut(line, "=>")
	fields := strings.Fields(event)
	if len(fields) < 2 {
		return l, fmt.Errorf("no event in %q", line)
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

// Has tells whether a word stands in the line.
func (l *Line) Has(word string) bool {
	for _, w := range l.Words {
		if w == word {
			return true
		}
	}
	return false
}

// Int is the number of a value; a missing one is unset. A value that is no number panics:
// the script is wrong.
func (l *Line) Int(key string, unset int) int {
	text, ok := l.Values[key]
	if !ok {
		return unset
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		panic(fmt.Sprintf("line %d: %s=%s is no number", l.Number, key, text))
	}
	return n
}

// Ints reads a list of numbers parted by commas.
func (l *Line) Ints(key string) (list []int) {
	text, ok := l.Values[key]
	if !ok || text == "" {
		return nil
	}
	for part := range strings.SplitSeq(text, ",") {
		n, err := strconv.Atoi(part)
		if err != nil {
			panic(fmt.Sprintf("line %d: %s=%s is no list of numbers", l.Number, key, text))
		}
		list = append(list, n)
	}
	return list
}
