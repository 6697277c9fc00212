package lease

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/world/node"
)

// maxUnanswered is how many renewals in a row a home may leave unanswered
// before the announcer renews with a spare instead.
const maxUnanswered = 3

// maxUnansweredChange is the number of unanswered renewals in a row after which
// the announcer stops sending a change to a balancer.
const maxUnansweredChange = 8

// Announcer is the client side of the leases: it announces the records of one
// process and renews them. It is not safe for concurrent use.
type Announcer struct {
	random  *rand.Rand
	records []Record
	seeds   []netip.AddrPort
	// homes lists the homes and then the spares, as in the latest reply.
	homes   []netip.AddrPort
	states  map[netip.AddrPort]*homeState
	renewAt time.Time
	// seedIndex is the position among the seeds at which the next attempt starts.
	seedIndex int
}

// homeState is the renewal state of one balancer.
type homeState struct {
	// failures counts the unanswered renewals in a row.
	failures int
	// changePending is set from a change of the records, or from the balancer's first
	// listing, until the balancer answers or has left maxUnansweredChange renewals
	// unanswered.
	changePending bool
	// retryAt is when an unanswered renewal is sent again; zero if none is.
	retryAt time.Time
	// avoidUntil is the time until which a spare replaces the balancer.
	avoidUntil time.Time
	// awaitUntil is the time until which an answer to a renewal is expected.
	awaitUntil time.Time
	// leaseUntil is when the leases expire, counted from the receipt of the balancer's
	// latest answer. The balancer itself counts from the renewal and therefore expires
	// them slightly earlier.
	leaseUntil time.Time
}

// leasedOrAwaited reports whether the balancer holds the leases or a renewal to
// it is under way.
func (s *homeState) leasedOrAwaited(now time.Time) bool {
	return s != nil && (now.Before(s.leaseUntil) || now.Before(s.awaitUntil))
}

// AnnouncerEvent is one of Tick, EndpointUpdated, SeedsChanged, ReplyReceived and
// SendFailed.
type AnnouncerEvent interface{ announcerEvent() }

// Tick is sent at regular intervals to drive timers.
type Tick struct{}

// EndpointUpdated announces a new endpoint or a change to one. The announcer sets
// its sequence.
type EndpointUpdated struct {
	Endpoint node.Endpoint
}

// SeedsChanged replaces the control addresses that are tried when no home is known.
type SeedsChanged struct {
	Seeds []netip.AddrPort
}

// ReplyReceived is a balancer's answer to a Send.
type ReplyReceived struct {
	From  netip.AddrPort
	Reply RenewReply
}

// SendFailed reports a Send that was not answered in time.
type SendFailed struct {
	To netip.AddrPort
}

func (Tick) announcerEvent()            {}
func (EndpointUpdated) announcerEvent() {}
func (SeedsChanged) announcerEvent()    {}
func (ReplyReceived) announcerEvent()   {}
func (SendFailed) announcerEvent()      {}

// AnnouncerAction is one of Send and Superseded.
type AnnouncerAction interface{ announcerAction() }

// Send sends a Renew. NewLink asks for a new link, because the old one has gone
// silent.
type Send struct {
	To      netip.AddrPort
	Renew   Renew
	NewLink bool
}

// Superseded reports that another process has taken over the record's address:
// this process must no longer act on the record.
type Superseded struct {
	Key Key
}

func (Send) announcerAction()       {}
func (Superseded) announcerAction() {}

// NewAnnouncer returns an announcer that first renews with seeds. The random
// source adds jitter to the renewal times.
func NewAnnouncer(random *rand.Rand, seeds []netip.AddrPort) *Announcer {
	return &Announcer{
		random: random,
		seeds:  slices.Clone(seeds),
		states: map[netip.AddrPort]*homeState{},
	}
}

// HasLease reports whether any home still holds the leases of this process. They may
// have expired while the process was paused. It must then renew them before it acts on
// its records again.
func (a *Announcer) HasLease(now time.Time) bool {
	for _, s := range a.states {
		if now.Before(s.leaseUntil) {
			return true
		}
	}
	return false
}

// Endpoints returns the announced endpoints with their current sequences.
func (a *Announcer) Endpoints() []node.Endpoint {
	out := make([]node.Endpoint, 0, len(a.records))
	for _, r := range a.records {
		out = append(out, r.Endpoint)
	}
	return out
}

// Step handles one event and returns the actions to take.
func (a *Announcer) Step(now time.Time, event AnnouncerEvent) []AnnouncerAction {
	switch e := event.(type) {
	case Tick:
		return a.tick(now)
	case EndpointUpdated:
		return a.updateRecord(now, e.Endpoint)
	case SeedsChanged:
		a.seeds = slices.Clone(e.Seeds)
		return nil
	case ReplyReceived:
		return a.applyReply(now, e)
	case SendFailed:
		return a.recordFailure(now, e.To)
	default:
		return nil
	}
}

func (a *Announcer) tick(now time.Time) []AnnouncerAction {
	if len(a.records) == 0 {
		return nil
	}
	if !now.Before(a.renewAt) {
		return a.sendAll(now)
	}
	if !a.retryDue(now) {
		return nil
	}
	var out []AnnouncerAction
	targets := a.targets(now)
	for _, to := range a.recipients(targets) {
		s := a.states[to]
		if s == nil || s.retryAt.IsZero() || now.Before(s.retryAt) {
			continue
		}
		s.retryAt = time.Time{}
		if s.changePending || slices.Contains(targets, to) {
			out = append(out, a.send(now, to))
		}
	}
	return out
}

func (a *Announcer) updateRecord(now time.Time, e node.Endpoint) []AnnouncerAction {
	r := Record{
		Endpoint: e,
		Health:   Live,
	}
	if e.State == node.Gone {
		r.Expires = now.Add(TombstoneTTL)
	}
	i := slices.IndexFunc(a.records, func(o Record) bool { return o.Key() == r.Key() })
	if i < 0 {
		r.Endpoint.Sequence = max(r.Endpoint.Sequence, 1)
		a.records = append(a.records, r)
		return a.sendAll(now)
	}
	r.Endpoint.Sequence = max(r.Endpoint.Sequence, a.records[i].Endpoint.Sequence+1)
	a.records[i] = r
	return a.sendChange(now)
}

func (a *Announcer) retryDue(now time.Time) bool {
	for _, s := range a.states {
		if !s.retryAt.IsZero() && !now.Before(s.retryAt) {
			return true
		}
	}
	return false
}

// recipients returns the targets and all homes and spares.
func (a *Announcer) recipients(targets []netip.AddrPort) []netip.AddrPort {
	out := slices.Clone(a.homes)
	for _, to := range targets {
		if !slices.Contains(out, to) {
			out = append(out, to)
		}
	}
	return out
}

// sendChange sends a change to the spares as well as to the homes, so that it
// spreads even while balancers can't reach each other.
func (a *Announcer) sendChange(now time.Time) []AnnouncerAction {
	out := a.sendAll(now)
	targets := a.targets(now)
	for _, to := range a.homes {
		a.state(to).changePending = true
		if !slices.Contains(targets, to) {
			out = append(out, a.send(now, to))
		}
	}
	return out
}

func (a *Announcer) applyReply(now time.Time, e ReplyReceived) []AnnouncerAction {
	s := a.state(e.From)
	s.failures = 0
	s.changePending = false
	s.retryAt = time.Time{}
	s.avoidUntil = time.Time{}
	s.leaseUntil = now.Add(LeaseTTL)
	added := a.setHomes(now, e.Reply.Homes)
	var out []AnnouncerAction
	raised := false
	for _, v := range e.Reply.Verdicts {
		superseded, higher := a.applyVerdict(v)
		raised = raised || higher
		if superseded {
			out = append(out, Superseded{
				Key: v.Key,
			})
		}
	}
	if raised {
		return append(out, a.sendAll(now)...)
	}
	for _, to := range added {
		a.state(to).changePending = true
		out = append(out, a.send(now, to))
	}
	return out
}

// applyVerdict compares a verdict with the announcer's own record. A record that
// another process has taken over is removed; one with a lower sequence than the
// home's gets a higher sequence.
func (a *Announcer) applyVerdict(v Verdict) (superseded, raised bool) {
	i := slices.IndexFunc(a.records, func(o Record) bool { return o.Key() == v.Key })
	if i < 0 {
		return false, false
	}
	own := &a.records[i]
	if own.Endpoint.State == node.Gone {
		return false, false
	}
	if v.Version.Gone {
		a.records = slices.Delete(a.records, i, i+1)
		return true, false
	}
	if v.Version.Sequence <= own.Endpoint.Sequence {
		return false, false
	}
	own.Endpoint.Sequence = v.Version.Sequence + 1
	return false, true
}

// setHomes adopts the list of a reply and returns its new balancers, including
// spares, so that each gets the records at least once. Balancers that hold the
// leases or owe an answer are left out: balancers may disagree about the homes for
// a while, and their lists would otherwise cause renewals in an endless loop.
func (a *Announcer) setHomes(now time.Time, homes []netip.AddrPort) []netip.AddrPort {
	if len(homes) == 0 {
		return nil
	}
	before := a.homes
	a.homes = slices.Clone(homes)
	a.removeUnlisted(now)
	return slices.DeleteFunc(slices.Clone(homes), func(to netip.AddrPort) bool {
		return slices.Contains(before, to) || a.states[to].leasedOrAwaited(now)
	})
}

// removeUnlisted drops the state of balancers that are neither homes, spares nor
// seeds any more, unless they hold the leases or owe an answer.
func (a *Announcer) removeUnlisted(now time.Time) {
	for to, s := range a.states {
		if !s.leasedOrAwaited(now) && !slices.Contains(a.homes, to) && !slices.Contains(a.seeds, to) {
			delete(a.states, to)
		}
	}
}

// recordFailure schedules a retry with a balancer that did not answer, and renews
// with a spare after maxUnanswered.
func (a *Announcer) recordFailure(now time.Time, to netip.AddrPort) []AnnouncerAction {
	before := a.targets(now)
	s := a.state(to)
	s.failures++
	s.retryAt = now.Add(RetryInterval)
	if s.failures >= maxUnanswered {
		s.avoidUntil = now.Add(RenewInterval)
	}
	if !slices.Contains(a.homes, to) {
		a.seedIndex++
	}
	if s.failures >= maxUnansweredChange {
		s.changePending = false
	}
	var out []AnnouncerAction
	for _, t := range a.targets(now) {
		if !slices.Contains(before, t) {
			out = append(out, a.send(now, t))
		}
	}
	return out
}

func (a *Announcer) sendAll(now time.Time) []AnnouncerAction {
	if len(a.records) == 0 {
		return nil
	}
	jitter := time.Duration(a.random.Int64N(int64(RenewInterval / 8)))
	a.renewAt = now.Add(RenewInterval - jitter)
	var out []AnnouncerAction
	for _, to := range a.targets(now) {
		out = append(out, a.send(now, to))
	}
	return out
}

func (a *Announcer) send(now time.Time, to netip.AddrPort) Send {
	s := a.state(to)
	s.retryAt = time.Time{}
	s.awaitUntil = now.Add(RetryInterval)
	return Send{
		To: to,
		Renew: Renew{
			Records: slices.Clone(a.records),
		},
		NewLink: s.failures > 0,
	}
}

// targets returns the homes that answer, filled up with spares. If no home is known
// or none answers, it returns seeds in round-robin order.
func (a *Announcer) targets(now time.Time) []netip.AddrPort {
	var out []netip.AddrPort
	for _, to := range a.homes {
		if s := a.states[to]; s != nil && now.Before(s.avoidUntil) {
			continue
		}
		out = append(out, to)
		if len(out) == HomeCount {
			break
		}
	}
	if len(out) > 0 {
		return out
	}
	for i := range min(HomeCount, len(a.seeds)) {
		out = append(out, a.seeds[(a.seedIndex+i)%len(a.seeds)])
	}
	return out
}

func (a *Announcer) state(to netip.AddrPort) *homeState {
	s := a.states[to]
	if s == nil {
		s = &homeState{}
		a.states[to] = s
	}
	return s
}
