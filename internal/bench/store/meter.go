package store

import "time"

// meter counts calls to the store by second, those that were refused too.
type meter struct {
	reads  []float64
	writes []float64
}

func (m *meter) read(now time.Time) {
	m.reads = add(m.reads, now)
}

func (m *meter) write(now time.Time) {
	m.writes = add(m.writes, now)
}

func add(counts []float64, now time.Time) []float64 {
	second := int(now.Unix())
	for len(counts) <= second {
		counts = append(counts, 0)
	}
	counts[second]++
	return counts
}

// mean is the calls a second from one time until another.
func mean(counts []float64, from, until time.Time) float64 {
	sum := 0.0
	for second := from.Unix(); second < until.Unix() && second < int64(len(counts)); second++ {
		sum += counts[second]
	}
	return sum / float64(until.Unix()-from.Unix())
}

// peak is the most calls in one second from one time until another.
func peak(counts []float64, from, until time.Time) float64 {
	most := 0.0
	for second := from.Unix(); second < until.Unix() && second < int64(len(counts)); second++ {
		most = max(most, counts[second])
	}
	return most
}
