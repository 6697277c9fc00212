package store

import "time"

// meter counts calls to the store in each second, failed ones included.
type meter struct {
	reads  []float64
	writes []float64
}

func (m *meter) read(now time.Time) {
	m.reads = increment(m.reads, now)
}

func (m *meter) write(now time.Time) {
	m.writes = increment(m.writes, now)
}

func increment(counts []float64, now time.Time) []float64 {
	second := int(now.Unix())
	for len(counts) <= second {
		counts = append(counts, 0)
	}
	counts[second]++
	return counts
}

// mean returns the mean number of calls per second between two times.
func mean(counts []float64, from, until time.Time) float64 {
	sum := 0.0
	for second := from.Unix(); second < until.Unix() && second < int64(len(counts)); second++ {
		sum += counts[second]
	}
	return sum / float64(until.Unix()-from.Unix())
}

// peak returns the largest number of calls in one second between two times.
func peak(counts []float64, from, until time.Time) float64 {
	most := 0.0
	for second := from.Unix(); second < until.Unix() && second < int64(len(counts)); second++ {
		most = max(most, counts[second])
	}
	return most
}
