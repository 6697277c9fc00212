// Package number parses the decimal notation that settings and documents share: digits with an
// optional fraction and an optional power of ten, such as 6, 6.0, .75 or 1.0e1. Signs, other
// bases, digit separators, NaN and infinity are not part of it; a minus sign is accepted before
// zero, because some encoders write one there.
package number

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// maxExponent limits the power of ten of a whole number, whose digits are written out.
const maxExponent = 400

// WholeRange bounds a whole number, inclusive.
type WholeRange struct {
	Min uint64
	Max uint64
}

// Range bounds a decimal number, inclusive.
type Range struct {
	Min float64
	Max float64
}

func (r WholeRange) String() string {
	return fmt.Sprintf("a whole number from %d to %d", r.Min, r.Max)
}

func (r Range) String() string {
	return fmt.Sprintf("a number from %s to %s", format(r.Min), format(r.Max))
}

func format(x float64) string {
	return strconv.FormatFloat(x, 'f', -1, 64)
}

// Parse returns the value of a numeral that stands for a whole number within the range. 6.0 and
// 1.0e1 do, 4.5 does not.
func (r WholeRange) Parse(text string) (n uint64, ok bool) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		digits, whole := wholeDigits(text)
		if !whole {
			return 0, false
		}
		if n, err = strconv.ParseUint(digits, 10, 64); err != nil {
			return 0, false
		}
	}
	return n, n >= r.Min && n <= r.Max
}

// Parse returns the value of a numeral within the range.
func (r Range) Parse(text string) (x float64, ok bool) {
	d, ok := scan(text)
	if !ok {
		return 0, false
	}
	if d.zero() {
		return 0, r.Min <= 0
	}
	x, err := strconv.ParseFloat(text, 64)
	return x, err == nil && x >= r.Min && x <= r.Max
}

// ParseDuration returns the duration of a numeral that counts units and is within the range, to
// the nearest nanosecond.
func (r Range) ParseDuration(text string, unit time.Duration) (d time.Duration, ok bool) {
	x, ok := r.Parse(text)
	if !ok {
		return 0, false
	}
	nanoseconds := math.Round(x * float64(unit))
	if nanoseconds >= math.MaxInt64 {
		return 0, false
	}
	return time.Duration(nanoseconds), true
}

// decimal holds the parts of a numeral. The exponent is limited to maxExponent either way.
type decimal struct {
	whole    string
	fraction string
	exponent int
}

func (d decimal) zero() bool {
	return strings.Trim(d.whole+d.fraction, "0") == ""
}

func scan(text string) (d decimal, ok bool) {
	text, negative := strings.CutPrefix(text, "-")
	if i := strings.IndexAny(text, "eE"); i >= 0 {
		if d.exponent, ok = scanExponent(text[i+1:]); !ok {
			return d, false
		}
		text = text[:i]
	}
	d.whole, d.fraction, _ = strings.Cut(text, ".")
	if d.whole+d.fraction == "" || !allDigits(d.whole) || !allDigits(d.fraction) {
		return d, false
	}
	return d, !negative || d.zero()
}

func scanExponent(text string) (n int, ok bool) {
	n, err := strconv.Atoi(text)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0, false
	}
	return max(-maxExponent, min(n, maxExponent)), true
}

func allDigits(text string) bool {
	return strings.Trim(text, "0123456789") == ""
}

// wholeDigits writes a numeral out as the digits of a whole number. It reports false if the
// numeral has another fraction than zero.
func wholeDigits(text string) (digits string, ok bool) {
	d, ok := scan(text)
	if !ok {
		return "", false
	}
	if d.zero() {
		return "0", true
	}
	digits = d.whole + d.fraction
	point := len(d.whole) + d.exponent
	switch {
	case point <= 0:
		return "", false
	case point > len(digits):
		digits += strings.Repeat("0", point-len(digits))
	}
	if strings.Trim(digits[point:], "0") != "" {
		return "", false
	}
	return digits[:point], true
}
