package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
)

// relayMeter counts from startAt on.
type relayMeter struct {
	startAt time.Time
	opened  int
	// admitted counts the SYNs given to endpoints, beyond those given beyond the slots, and
	// unevenly those of them given while another endpoint had a free slot.
	admitted, beyond, unevenly int
	// remote counts the SYNs given to an endpoint in another failure domain than the
	// balancer's.
	remote int
	// requests counts requests, requestsUnevenly those that came to an endpoint without a
	// free slot while another one had one.
	requests, requestsUnevenly int
	passes                     int
	refused                    int
	// bytes counts the bytes between balancers and agents, reportBytes those of reports.
	bytes, reportBytes int
	waits              *hdrhistogram.Histogram
	// busy is the number of requests that each endpoint was given.
	busy   map[frame.Host]float64
	buffer []byte
}

func newRelayMeter() *relayMeter {
	return &relayMeter{
		waits: hdrhistogram.New(1, maxWait, 3),
		busy:  map[frame.Host]float64{},
	}
}

// begin discards what was counted before the measurement.
func (m *relayMeter) begin() {
	m.opened, m.admitted, m.beyond, m.unevenly, m.remote = 0, 0, 0, 0, 0
	m.requests, m.requestsUnevenly, m.passes, m.refused = 0, 0, 0, 0
	m.bytes, m.reportBytes = 0, 0
}

func (m *relayMeter) recordMessage(x frame.Message) {
	m.buffer = frame.Append(m.buffer[:0], x)
	if _, ok := x.(frame.LoadReport); ok {
		m.reportBytes += len(m.buffer)
		return
	}
	m.bytes += len(m.buffer)
}

// recordAdmission records that an endpoint is given a SYN, which its agent counts as in use
// already.
func (m *relayMeter) recordAdmission(s *relaySim, c *relayCall, a *relayAgent) {
	m.admitted++
	if c.balancer.zone != a.zone {
		m.remote++
	}
	if a.controller.InUse() <= relaySlots {
		return
	}
	m.beyond++
	if s.otherFree(a) {
		m.unevenly++
	}
}

// recordRequest records that an endpoint is given a request.
func (m *relayMeter) recordRequest(s *relaySim, a *relayAgent) {
	m.requests++
	m.busy[a.host]++
	if a.running >= relaySlots && s.otherFree(a) {
		m.requestsUnevenly++
	}
}

// otherFree reports whether another endpoint has a free slot, as its agent counts.
func (s *relaySim) otherFree(a *relayAgent) bool {
	for _, o := range s.agents {
		if o != a && o.controller.InUse() < relaySlots {
			return true
		}
	}
	return false
}

func (m *relayMeter) recordWait(now, begin time.Time) {
	if begin.Before(m.startAt) {
		return
	}
	_ = m.waits.RecordValue(min(maxWait, now.Sub(begin).Microseconds()))
}

// relayFigures are the results of one trial.
type relayFigures struct {
	// Uneven is the share of SYNs given beyond the slots while another endpoint has a free
	// one, Beyond that of all SYNs given beyond the slots, both in percent. UnevenRequests is
	// the share of requests that find no free slot while another endpoint has one.
	Uneven, Beyond, UnevenRequests float64
	// WaitP50 and WaitP99 are the waits for a slot in milliseconds, from the SYN.
	WaitP50, WaitP99 float64
	// Passes is the number of hops between agents per SYN, Bytes the bytes between balancers
	// and agents per SYN without reports, ReportBytes those of reports per second.
	Passes, Bytes, ReportBytes float64
	// Spread is the largest number of requests of an endpoint over the mean.
	Spread float64
	// Remote is the share of SYNs given to another failure domain, in percent.
	Remote  float64
	Refused float64
}

func (m *relayMeter) figures() relayFigures {
	admitted := max(1, float64(m.admitted))
	busy := make([]float64, 0, len(m.busy))
	for _, v := range m.busy {
		busy = append(busy, v)
	}
	return relayFigures{
		Uneven:         100 * float64(m.unevenly) / admitted,
		Beyond:         100 * float64(m.beyond) / admitted,
		UnevenRequests: 100 * float64(m.requestsUnevenly) / max(1, float64(m.requests)),
		WaitP50:        float64(m.waits.ValueAtQuantile(50)) / 1e3,
		WaitP99:        float64(m.waits.ValueAtQuantile(99)) / 1e3,
		Passes:         float64(m.passes) / max(1, float64(m.opened)),
		Bytes:          float64(m.bytes) / max(1, float64(m.opened)),
		ReportBytes:    float64(m.reportBytes) / relayMeasure.Seconds(),
		Spread:         maxOverMean(busy),
		Remote:         100 * float64(m.remote) / admitted,
		Refused:        float64(m.refused),
	}
}
