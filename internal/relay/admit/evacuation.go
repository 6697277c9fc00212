package admit

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/evac"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
	"github.com/clementinewing/clementinewing/internal/relay/warm"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// The agent is the only path to its endpoint, so its decisions hold whatever balancers know:
// the endpoint gets no SYN while its failure domain is evacuated, or while the agent does not
// know whether it is, and no more SYNs than a cold endpoint may get.

// EvacuationsReceived is a balancer's message about the evacuated failure domains.
type EvacuationsReceived struct {
	frame.Evacuations
}

func (EvacuationsReceived) event() {}

// evacuation is what the agent knows of its failure domain and of the warmth of its endpoint.
type evacuation struct {
	follower *evac.Follower
	limiter  *warm.Limiter
	// ramped is the release of the failure domain for which the share of the endpoint has been
	// made to grow.
	ramped time.Time
}

// FollowsEvacuations declares that the endpoint gets new flows only while its failure domain is
// known not to be evacuated, and only as many as a cold endpoint may get while it is cold. The
// nonce differs between the processes that run at one address one after the other.
func FollowsEvacuations(z evac.Zone, nonce uint64, l warm.Limits) Option {
	return func(h *Controller) {
		h.evacuation = &evacuation{
			follower: evac.NewFollower(z, nonce),
			limiter:  warm.New(l),
		}
		h.endpoint.awaitsEvacuations = true
	}
}

// runEvacuation is called before each event. All methods below do nothing in an agent that does
// not follow evacuations.
func (h *Controller) runEvacuation(now time.Time) {
	v := h.evacuation
	if v == nil {
		return
	}
	before := h.endpoint.state()
	v.follower.Run(now)
	v.limiter.Run(now)
	h.applyEvacuation(now, before)
}

func (h *Controller) handleEvacuations(now time.Time, m *frame.Evacuations) {
	v := h.evacuation
	if v == nil {
		return
	}
	before := h.endpoint.state()
	evacuated, rate := v.follower.Evacuated(), v.follower.ColdRate()
	v.follower.Apply(now, m)
	v.limiter.SetRate(v.follower.ColdRate())
	if at := v.follower.ReleasedAt(); !at.Equal(v.ramped) {
		v.ramped = at
		v.limiter.StartRamp(at)
	}
	if is := v.follower.Evacuated(); is != evacuated || v.follower.ColdRate() != rate {
		h.emit(EvacuationChanged{
			Evacuated: is,
			Carried:   v.follower.Carried(),
			ColdRate:  v.follower.ColdRate(),
		})
	}
	h.applyEvacuation(now, before)
}

// EvacuationChanged reports that the agent's failure domain was evacuated or is in use again, or
// that the rate of cold endpoints changed.
type EvacuationChanged struct {
	Evacuated bool
	// Carried is set if the failure domain is evacuated only because it was in an earlier era
	// of the store.
	Carried  bool
	ColdRate float64
}

func (EvacuationChanged) action() {}

func (h *Controller) applyEvacuation(now time.Time, before node.State) {
	h.endpoint.awaitsEvacuations = !h.evacuation.follower.Confirmed(now)
	reason := EvacuationsKnown
	if h.endpoint.awaitsEvacuations {
		reason = EvacuationsUnknown
	}
	h.emitStateChange(before, reason)
}

// evacuated reports whether the endpoint must get no SYN, because its failure domain is
// evacuated or may be.
func (h *Controller) evacuated() bool {
	v := h.evacuation
	return v != nil && (v.follower.Evacuated() || h.endpoint.awaitsEvacuations)
}

// coldFull reports whether the endpoint must get no SYN now because it is cold.
func (h *Controller) coldFull(now time.Time) bool {
	return h.evacuation != nil && h.evacuation.limiter.Full(now)
}

// ramping reports whether the endpoint has its share of new flows while the share still grows.
func (h *Controller) ramping(now time.Time) bool {
	capacity := float64(h.endpoint.slots) / max(h.serviceTime, time.Millisecond).Seconds()
	return h.evacuation != nil && h.evacuation.limiter.Ramping(now, capacity)
}

// coldLoad returns the load of a cold endpoint whose window is full, in 64ths of its slots: the
// time until it may get another SYN counts like work in its queue.
func (h *Controller) coldLoad(now time.Time) int {
	wait := h.evacuation.limiter.Wait(now, len(h.queue))
	return int(float64(wait) / float64(max(h.serviceTime, time.Millisecond)) * roster.LoadUnit)
}

// recordDelivery counts a SYN that the endpoint gets.
func (h *Controller) recordDelivery(now time.Time) {
	if h.evacuation != nil {
		h.evacuation.limiter.Deliver(now)
	}
}

// suspectRestart records a sign that another incarnation of the endpoint has started, which is
// cold and has not reported yet: the endpoint does not answer, or does not hold a flow that it
// had.
func (h *Controller) suspectRestart() {
	if h.evacuation != nil {
		h.evacuation.limiter.Suspect()
	}
}

func (h *Controller) recordAlive(now time.Time) {
	if h.evacuation != nil {
		h.evacuation.limiter.Alive(now)
	}
}

// recordSameIncarnation records that the endpoint has sent a packet of a flow that it took at the
// given time.
func (h *Controller) recordSameIncarnation(acceptedAt time.Time) {
	if h.evacuation != nil {
		h.evacuation.limiter.RunsSince(acceptedAt)
	}
}

func (h *Controller) reportWarmth(now, coldUntil time.Time) {
	if h.evacuation != nil {
		h.evacuation.limiter.Report(now, coldUntil)
	}
}

// evacuationVersion returns the version for load reports, 0 if the agent does not follow
// evacuations.
func (h *Controller) evacuationVersion(now time.Time) uint64 {
	if h.evacuation == nil {
		return 0
	}
	return h.evacuation.follower.Version(now)
}

// EvacuationChallenge returns the version for the load report to a balancer that is to confirm
// the set, 0 if the agent does not follow evacuations.
func (h *Controller) EvacuationChallenge() uint64 {
	if h.evacuation == nil {
		return 0
	}
	return h.evacuation.follower.Challenge()
}

// Evacuation describes what an agent knows of its failure domain and its endpoint's warmth.
type Evacuation struct {
	// Followed is set if the agent follows evacuations, Known if it knows the set.
	Followed  bool
	Known     bool
	Evacuated bool
	Carried   bool
	// Cold is set while the endpoint is cold, MayBeCold also while it may have started anew
	// without having reported. ColdRate is the rate that it can then
	// serve, ColdLimit how many SYNs it gets in a second; 0 if there is no limit. Delivered is
	// how many it got in the last second.
	Cold      bool
	MayBeCold bool
	ColdRate  float64
	ColdLimit int
	Delivered int
}

// Evacuation returns what the agent knows of its failure domain and its endpoint's warmth.
func (h *Controller) Evacuation(now time.Time) (e Evacuation) {
	v := h.evacuation
	if v == nil {
		return e
	}
	e = Evacuation{
		Followed:  true,
		Known:     v.follower.Confirmed(now),
		Evacuated: v.follower.Evacuated(),
		Carried:   v.follower.Carried(),
		Cold:      v.limiter.Cold(now),
		MayBeCold: v.limiter.MayBeCold(now),
		ColdRate:  v.follower.ColdRate(),
		Delivered: v.limiter.Delivered(),
	}
	if e.ColdRate > 0 {
		e.ColdLimit = v.limiter.Limit()
	}
	return e
}
