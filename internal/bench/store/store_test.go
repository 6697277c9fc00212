package store

import "testing"

// A fleet of a few nodes goes through every phase; every node ends with the newest
// file, and the whole domain does not turn to the store together.
func TestMeasure(t *testing.T) {
	f, err := measure(1, size{
		nodes:   30,
		domains: 3,
	})
	if err != nil {
		t.Fatal(err)
	}
	if f.steady > 10 || f.returnPeak > 30 {
		t.Fatalf("%.1f reads/s without changes, peak of %.1f after the outage", f.steady, f.returnPeak)
	}
}
