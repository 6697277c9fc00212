package fields

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// level is an object or list that encloses a token.
type level struct {
	path  string
	list  bool
	index int
	// key is the key of the value that follows in an object, or nil before a key.
	key *string
}

// offsetOf returns the offset of the end of the value at a path, or 0 if there is none.
func offsetOf(text []byte, path string) int64 {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var levels []level
	for {
		token, err := decoder.Token()
		if err != nil {
			return 0
		}
		switch delimiter, _ := token.(json.Delim); delimiter {
		case '}', ']':
			levels = levels[:len(levels)-1]
			continue
		}
		at, isKey := advance(levels, token)
		if isKey {
			continue
		}
		if at == path {
			return decoder.InputOffset()
		}
		if delimiter, ok := token.(json.Delim); ok {
			levels = append(levels, level{
				path: at,
				list: delimiter == '[',
			})
		}
	}
}

// advance returns the path of a token that begins a value. It reports whether the token is the key
// of an object instead.
func advance(levels []level, token json.Token) (path string, isKey bool) {
	if len(levels) == 0 {
		return "", false
	}
	l := &levels[len(levels)-1]
	if l.list {
		l.index++
		return fmt.Sprintf("%s[%d]", l.path, l.index-1), false
	}
	if l.key == nil {
		name, _ := token.(string)
		l.key = &name
		return "", true
	}
	name := *l.key
	l.key = nil
	if l.path == "" {
		return name, false
	}
	return l.path + "." + name, false
}

// lineAt returns the line of an offset, from 1.
func lineAt(text []byte, offset int64) int {
	end := min(max(offset, 0), int64(len(text)))
	return 1 + bytes.Count(text[:end], []byte("\n"))
}
