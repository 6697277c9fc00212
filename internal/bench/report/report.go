// Package report holds the figures of an experiment and compares them with bounds
// that were set in advance.
package report

// Sense is the side of its bound on which a figure must stay.
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

// Result holds the figures of one experiment.
type Result struct {
	Experiment string `json:"experiment"`
	Seeds      int    `json:"seeds"`
	Rows       []Row  `json:"rows"`
}

// Met reports whether the figure is within its bound.
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

// Met reports whether every row is within its bound.
func (r Result) Met() bool {
	for _, row := range r.Rows {
		if !row.Met() {
			return false
		}
	}
	return true
}
