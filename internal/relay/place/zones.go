package place

const (
	// preferredZoneCost is how much more load an endpoint in the preferred failure domain may
	// have than one in another, in addition to remoteZoneCost. The preferred domain is chosen
	// by what is free, so that only an endpoint that is much more loaded than that is avoided.
	preferredZoneCost = 0.6
	// otherZoneCandidates is how many candidates of a list are outside of the preferred failure
	// domain. The SYN gets to them only if the others have no free slot.
	otherZoneCandidates = 2
)

// zoneCost returns the additional cost of an endpoint for being outside of the preferred failure
// domain.
func (q *Request) zoneCost(zone uint64) float64 {
	if !q.Outliers || q.Health == nil || zone == q.Zone {
		return 0
	}
	return preferredZoneCost
}

// mixZones puts candidates of other failure domains that are not suspects into the end of the list,
// which is cut to maxFlowCandidates, if it holds fewer than otherZoneCandidates of them.
func (q *Request) mixZones(candidates []scoredAgent) {
	if !q.Outliers || q.Health == nil || len(candidates) <= maxFlowCandidates {
		return
	}
	others := 0
	for i := range candidates[:maxFlowCandidates] {
		if candidates[i].agent.Zone != q.Zone {
			others++
		}
	}
	at := maxFlowCandidates - 1
	for i, c := range candidates[maxFlowCandidates:] {
		if others >= otherZoneCandidates {
			return
		}
		if c.agent.Zone == q.Zone || c.class != classNormal {
			continue
		}
		for candidates[at].agent.Zone != q.Zone {
			at--
		}
		// The candidate that leaves the list is the next one after it.
		rest := candidates[maxFlowCandidates : maxFlowCandidates+i+1]
		copy(rest[1:], rest[:i])
		rest[0], candidates[at] = candidates[at], c
		at--
		others++
	}
}
