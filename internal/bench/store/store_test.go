package store

import "testing"

// Runs a small fleet through every phase. Every node must end with the newest file,
// and the nodes of a domain must not all call the store at once.
func TestMeasure(t *testing.T) {
	f, err := measure(1, fleetSize{
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
