package frame

import "github.com/clementinewing/clementinewing/internal/world/link"

// Batched owner queries ask one agent about many flows in one datagram. Agents of earlier
// releases do not know them.

const (
	kindOwnerBatch   = 11
	kindOwnerAnswers = 12

	// MaxBatchFlows limits the flows of an OwnerBatch, so that the datagram stays below
	// 1,200 bytes while the flows have a few targets.
	MaxBatchFlows = 100

	verdictBits     = 2
	verdictsPerByte = 8 / verdictBits
	verdictMask     = 1<<verdictBits - 1
)

// FlowQuery asks whether an endpoint owns one flow.
type FlowQuery struct {
	Key link.Key
	// Acknowledgment and Acknowledges are as in OwnerQuery.
	Acknowledgment uint32
	Acknowledges   bool
}

// OwnerBatch asks an agent which of several flows its endpoint owns. Without flows it asks for a
// summary of the flows that the endpoint may own.
type OwnerBatch struct {
	// BatchID identifies the batch among those of the balancer.
	BatchID  uint32
	Balancer Host
	Flows    []FlowQuery
}

// Verdict is an agent's answer about one flow.
type Verdict uint8

// Values of Verdict.
const (
	// CannotTell: the agent cannot decide without a packet of the flow.
	CannotTell Verdict = iota
	// Denied: the endpoint does not hold the flow.
	Denied
	// Ended: the flow was the endpoint's, which no longer holds it.
	Ended
	// Owned: the endpoint holds the flow. An Owner message follows.
	Owned

	// VerdictCount is the number of verdicts.
	VerdictCount
)

var verdictNames = [VerdictCount]string{
	CannotTell: "cannot_tell",
	Denied:     "denied",
	Ended:      "ended",
	Owned:      "owned",
}

// String returns the name of the verdict in metrics.
func (v Verdict) String() string {
	if v < VerdictCount {
		return verdictNames[v]
	}
	return "unknown"
}

// OwnerAnswers answers an OwnerBatch. It has one verdict for each flow, in their order.
type OwnerAnswers struct {
	BatchID uint32
	// Digest is that of the flows in the OwnerBatch. It ties the answer to these flows, since a
	// balancer that has restarted may use a BatchID again.
	Digest   uint64
	Host     Host
	Verdicts []Verdict
	// TableSize is how many hashes a summary has, or NoSummary if the agent cannot send one: its
	// table lacks flows that the endpoint may hold, or the summary does not fit.
	TableSize uint16
	// Hashes is the summary, in answer to an OwnerBatch without flows: the hashes (FlowHash) of
	// all flows that the endpoint holds or has held. It does not hold any other.
	Hashes []uint32
}

const (
	// MaxSummary limits the hashes of a summary, so that the datagram stays below 1,200 bytes.
	MaxSummary = 256
	// NoSummary is the value of OwnerAnswers.TableSize if the agent cannot send a summary.
	NoSummary = 0xffff
)

// FlowHash returns the hash of a flow in a summary.
func FlowHash(k link.Key) uint32 {
	return uint32(k.Hash() >> 32)
}

func (OwnerBatch) message()   {}
func (OwnerAnswers) message() {}

// FlowsDigest returns a sum that identifies the flows of an OwnerBatch and their order.
func FlowsDigest(flows []FlowQuery) (sum uint64) {
	for i := range flows {
		q := &flows[i]
		sum = (sum ^ q.Key.Hash() ^ uint64(q.Acknowledgment)) * 0x9e3779b97f4a7c15
		sum ^= sum >> 29
	}
	return sum
}

// sameGroup reports whether two flows differ only in what an OwnerBatch holds for each flow.
func sameGroup(a, b *FlowQuery) bool {
	return a.Key.Target == b.Key.Target && a.Key.TargetPort == b.Key.TargetPort &&
		a.Key.Protocol == b.Key.Protocol && a.Acknowledges == b.Acknowledges
}

// appendOwnerBatch encodes successive flows with the same target as a group, which holds the
// target once.
func appendOwnerBatch(out []byte, m OwnerBatch) []byte {
	flows := m.Flows[:min(len(m.Flows), MaxBatchFlows)]
	out = append(out, magic, version, kindOwnerBatch, byte(len(flows)))
	out = byteOrder.AppendUint32(out, m.BatchID)
	out = byteOrder.AppendUint32(out, uint32(m.Balancer))
	for len(flows) > 0 {
		first := &flows[0]
		n := 1
		for n < len(flows) && sameGroup(first, &flows[n]) {
			n++
		}
		out = append(out, bitIf(first.Acknowledges, bit0), byte(n))
		out = byteOrder.AppendUint32(out, first.Key.Target)
		out = byteOrder.AppendUint16(out, first.Key.TargetPort)
		out = append(out, first.Key.Protocol)
		for i := range flows[:n] {
			out = byteOrder.AppendUint32(out, flows[i].Key.Caller)
			out = byteOrder.AppendUint16(out, flows[i].Key.CallerPort)
			out = byteOrder.AppendUint32(out, flows[i].Acknowledgment)
		}
		flows = flows[n:]
	}
	return out
}

func (r *reader) ownerBatch() OwnerBatch {
	count := int(r.byte())
	m := OwnerBatch{
		BatchID:  r.uint32(),
		Balancer: r.host(),
	}
	if count > MaxBatchFlows {
		r.truncated = true
	}
	for len(m.Flows) < count && !r.truncated {
		r.ownerGroup(&m, count)
	}
	return m
}

// ownerGroup reads one group of flows.
func (r *reader) ownerGroup(m *OwnerBatch, count int) {
	acknowledges := r.byte()&bit0 != 0
	n := int(r.byte())
	target := r.uint32()
	targetPort := r.uint16()
	protocol := r.byte()
	if n == 0 || len(m.Flows)+n > count {
		r.truncated = true
	}
	for range n {
		if r.truncated {
			return
		}
		m.Flows = append(m.Flows, FlowQuery{
			Key: link.Key{
				Caller:     r.uint32(),
				CallerPort: r.uint16(),
				Target:     target,
				TargetPort: targetPort,
				Protocol:   protocol,
			},
			Acknowledgment: r.uint32(),
			Acknowledges:   acknowledges,
		})
	}
}

func appendOwnerAnswers(out []byte, m OwnerAnswers) []byte {
	verdicts := m.Verdicts[:min(len(m.Verdicts), MaxBatchFlows)]
	out = append(out, magic, version, kindOwnerAnswers, byte(len(verdicts)))
	out = byteOrder.AppendUint32(out, m.BatchID)
	out = byteOrder.AppendUint64(out, m.Digest)
	out = byteOrder.AppendUint32(out, uint32(m.Host))
	for i, v := range verdicts {
		if i%verdictsPerByte == 0 {
			out = append(out, 0)
		}
		out[len(out)-1] |= byte(v&verdictMask) << (i % verdictsPerByte * verdictBits)
	}
	out = byteOrder.AppendUint16(out, m.TableSize)
	hashes := m.Hashes[:min(len(m.Hashes), MaxSummary)]
	out = byteOrder.AppendUint16(out, uint16(len(hashes)))
	for _, x := range hashes {
		out = byteOrder.AppendUint32(out, x)
	}
	return out
}

func (r *reader) ownerAnswers() OwnerAnswers {
	count := int(r.byte())
	m := OwnerAnswers{
		BatchID: r.uint32(),
		Digest:  r.uint64(),
		Host:    r.host(),
	}
	packed := r.next((count + verdictsPerByte - 1) / verdictsPerByte)
	if r.truncated || count > MaxBatchFlows {
		r.truncated = true
		return m
	}
	for i := range count {
		m.Verdicts = append(m.Verdicts, Verdict(packed[i/verdictsPerByte]>>(i%verdictsPerByte*verdictBits)&verdictMask))
	}
	m.TableSize = r.uint16()
	hashes := int(r.uint16())
	if hashes > MaxSummary || hashes > len(r.rest)/4 {
		r.truncated = true
		return m
	}
	for range hashes {
		m.Hashes = append(m.Hashes, r.uint32())
	}
	return m
}
