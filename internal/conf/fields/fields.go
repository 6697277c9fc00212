// Package fields reads the numbers of a JSON document. It collects the faults of all of them and
// names the document, line and key of each.
package fields

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/clementinewing/clementinewing/internal/conf/lines"
	"github.com/clementinewing/clementinewing/internal/conf/number"
)

// Document is one JSON text and the faults found in it so far.
type Document struct {
	name   string
	text   []byte
	faults lines.Faults
}

// Object is an object of a document. Its methods read numbers that were decoded as raw JSON. A
// missing one reads as zero, also if zero is out of its range, and so does one that is a fault.
type Object struct {
	document *Document
	parent   *Object
	list     string
	index    int
}

// Decode decodes a text into the value that into points to; name is used only in faults. A fault
// of the syntax or of a type ends it.
func Decode(name string, text []byte, into any) (d *Document, err error) {
	d = &Document{
		name: name,
		text: text,
	}
	err = json.Unmarshal(text, into)
	if err == nil {
		return d, nil
	}
	fault := lines.Fault{
		Path:    name,
		Line:    1,
		Problem: err.Error(),
	}
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		fault.Line = lineAt(text, syntax.Offset)
	case errors.As(err, &mismatch):
		fault.Line = lineAt(text, mismatch.Offset)
		fault.Key = mismatch.Field
		fault.Problem = "bad value " + mismatch.Value
	}
	return nil, fault
}

// Root returns the object that holds the document's fields.
func (d *Document) Root() *Object {
	return &Object{
		document: d,
	}
}

// Err returns every fault, sorted by line, or nil.
func (d *Document) Err() error {
	return d.faults.OrNil()
}

// Entry returns an object in a list of this one.
func (o *Object) Entry(list string, index int) *Object {
	return &Object{
		document: o.document,
		parent:   o,
		list:     list,
		index:    index,
	}
}

// Field returns the object in a field of this one.
func (o *Object) Field(name string) *Object {
	return o.Entry(name, -1)
}

// Whole reads a whole number. A numeral such as 6.0 or 1.0e1 is one.
func (o *Object) Whole(key string, raw json.RawMessage, r number.WholeRange) uint64 {
	return read(o, key, raw, r, r.Parse)
}

// Decimal reads a number that may have a fraction.
func (o *Object) Decimal(key string, raw json.RawMessage, r number.Range) float64 {
	return read(o, key, raw, r, r.Parse)
}

// Duration reads a number of units that may have a fraction.
func (o *Object) Duration(key string, raw json.RawMessage, unit time.Duration, r number.Range) time.Duration {
	return read(o, key, raw, r, func(text string) (time.Duration, bool) {
		return r.ParseDuration(text, unit)
	})
}

// Reject adds a fault for a value that is not allowed.
func (o *Object) Reject(key, value, allowed string) {
	d := o.document
	path := o.path(key)
	d.faults = append(d.faults, lines.Fault{
		Path:    d.name,
		Line:    lineAt(d.text, offsetOf(d.text, path)),
		Key:     path,
		Problem: fmt.Sprintf("bad value %s", value),
		Allowed: allowed,
	})
}

func read[T any](o *Object, key string, raw json.RawMessage, allowed fmt.Stringer, parse func(string) (T, bool)) (x T) {
	if Missing(raw) {
		return x
	}
	parsed, ok := parse(string(raw))
	if !ok {
		o.Reject(key, string(raw), allowed.String())
		return x
	}
	return parsed
}

// Missing reports whether a field is missing or null.
func Missing(raw json.RawMessage) bool {
	return len(raw) == 0 || string(raw) == "null"
}

// path returns the path of a key from the root of the document, such as routes[3].priority.
func (o *Object) path(key string) string {
	switch {
	case o.parent == nil:
		return key
	case o.index < 0:
		return o.parent.path(fmt.Sprintf("%s.%s", o.list, key))
	default:
		return o.parent.path(fmt.Sprintf("%s[%d].%s", o.list, o.index, key))
	}
}
