package report

import "slices"

// Summarize makes a row of one figure a seed. The worst is the value that lies
// furthest on the forbidden side of the bound; without a bound, the largest.
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
