package report

import "slices"

// Summarize returns a row for one figure from its values, one for each seed. Worst
// is the smallest value of an AtLeast figure, otherwise the largest.
func Summarize(name, unit string, sense Sense, bound float64, values []float64) Row {
	row := Row{
		Name:  name,
		Unit:  unit,
		Sense: sense,
		Bound: bound,
	}
	if len(values) == 0 {
		return row
	}
	sorted := slices.Sorted(slices.Values(values))
	row.Median = sorted[len(sorted)/2]
	row.Worst = sorted[len(sorted)-1]
	if sense == AtLeast {
		row.Worst = sorted[0]
	}
	return row
}
