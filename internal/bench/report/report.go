// Package report holds what an experiment measured and how it compares with the
// bounds that were set for it beforehand.
package report

// Sense tells on which side of its bound a figure must stay.
type Sense uint8

const (
	// Info figures have no bound.
	Info Sense = iota
	// AtMost figures must not exceed their bound.
	AtMost
	// AtLeast figures must reach their bound.
	AtLeast
)

// Row is one figure over all seeds. Bound is compared with the worst seed.
type Row struct {
	Name   string  `json:"name"`
	Unit   string  `json:"unit"`
	Median float64 `json:"median"`
	Worst  float64 `json:"worst"`
	Sense  Sense   `json:"-"`
	Bound  float64 `json:"bound"`
}

// Result is what one experiment measured.
type Result struct {
	Experiment string `json:"experiment"`
	Seeds      int    `json:"seeds"`
	Rows       []Row  `json:"rows"`
}

// Met tells whether the figure keeps its bound.
func (r Row) Met() bool {
	switch r.Sense {
	case AtMost:
		return r.Worst <= r.Bound
	case AtLeast:
		return r.Worst >= r.Bound
	default:
		return true
	}
}

// Met tells whether every row keeps its bound.
func (r Result) Met() bool {
	for _, row := range r.Rows {
		if !row.Met() {
			return false
		}
	}
	return true
}
