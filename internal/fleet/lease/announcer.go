package lease

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/world/node"
)

// maxFailures is how many unanswered renewals in a row a home may leave before
// a spare takes its place.
const maxFailures = 3

// maxOwed is after how many unanswered renewals in a row a change is not told to
// a balancer any more.
const maxOwed = 8

// Announcer is the end of a process that announces records. It is not safe for
// concurrent use.
type Announcer struct {
	random  *rand.Rand
	records []Record
	seeds   []netip.AddrPort
	homes   []netip.AddrPort
	states  map[netip.AddrPort]*homeState
	next    time.Time
	seedAt  int
}

// homeState is what the announcer knows of one balancer it renews with.
type homeState struct {
	failures int
	// owed tells that the balancer has not answered since the last change.
	owed bool
	// retry is when an unanswered renewal is sent again.
	retry time.Time
	// avoid is until when a spare takes the balancer's place.
	avoid time.Time
	// asked is until when a renewal is under way.
	asked time.Time
	// until is how long the balancer surely holds the leases.
	until time.Time
}

// quiet tells whether the balancer holds the lease or was just asked to.
func (s *homeState) quiet(now time.Time) bool {
	return s != nil && (now.Before(s.until) || now.Before(s.asked))
}

// AnnouncerEvent is one of Tick, Update, Contacts, Replied and Failed.
type AnnouncerEvent interface{ announcerEvent() }

// Tick tells that time has passed.
type Tick struct{}

// Update announces an endpoint for the first time or with a change. The
// announcer sets its sequence.
type Update struct {
	Endpoint node.Endpoint
}

// Contacts replaces the control addresses that are tried when no home is known.
type Contacts struct {
	Seeds []netip.AddrPort
}

// Replied is a balancer's answer to a Send.
type Replied struct {
	From  netip.AddrPort
	Reply RenewReply
}

// Failed is a Send that was not answered in time.
type Failed struct {
	To netip.AddrPort
}

func (Tick) announcerEvent()     {}
func (Update) announcerEvent()   {}
func (Contacts) announcerEvent() {}
func (Replied) announcerEvent()  {}
func (Failed) announcerEvent()   {}

// AnnouncerAction is one of Send and Superseded.
type AnnouncerAction interface{ announcerAction() }

// Send asks for a Renew to be sent. Fresh asks for a new link, because the old
// one has gone silent.
type Send struct {
	To    netip.AddrPort
	Renew Renew
	Fresh bool
}

// Superseded tells that another process has taken the record's address: this
// one must not act on the record any more.
type Superseded struct {
	Key Key
}

func (Send) announcerAction()       {}
func (Superseded) announcerAction() {}

// NewAnnouncer makes an announcer that first turns to seeds. The random source
// spreads renewals over time.
func NewAnnouncer(random *rand.Rand, seeds []netip.AddrPort) *Announcer {
	return &Announcer{
		random: random,
		seeds:  slices.Clone(seeds),
		states: map[netip.AddrPort]*homeState{},
	}
}

// Held tells whether any home still holds the leases of this process. One that
// was paused must ask before it acts on what it held.
func (a *Announcer) Held(now time.Time) bool {
	for _, s := range a.states {
		if now.Before(s.until) {
			return true
		}
	}
	return false
}

// Endpoints are the announced endpoints with their present sequences.
func (a *Announcer) Endpoints() []node.Endpoint {
	out := make([]node.Endpoint, 0, len(a.records))
	for _, r := range a.records {
		out = append(out, r.Endpoint)
	}
	return out
}

// Step takes one event and tells what is to be done.
func (a *Announcer) Step(now time.Time, event AnnouncerEvent) []AnnouncerAction {
	switch e := event.(type) {
	case Tick:
		return a.tick(now)
	case Update:
		return a.update(now, e.Endpoint)
	case Contacts:
		a.seeds = slices.Clone(e.Seeds)
		return nil
	case Replied:
		return a.replied(now, e)
	case Failed:
		return a.failed(now, e.To)
	default:
		return nil
	}
}

func (a *Announcer) tick(now time.Time) []AnnouncerAction {
	if len(a.records) == 0 {
		return nil
	}
	if !now.Before(a.next) {
		return a.sendAll(now)
	}
	var out []AnnouncerAction
	targets := a.targets(now)
	for _, to := range a.told(targets) {
		s := a.states[to]
		if s == nil || s.retry.IsZero() || now.Before(s.retry) {
			continue
		}
		s.retry = time.Time{}
		if s.owed || slices.Contains(targets, to) {
			out = append(out, a.send(now, to))
		}
	}
	return out
}

func (a *Announcer) update(now time.Time, e node.Endpoint) []AnnouncerAction {
	r := Record{
		Endpoint: e,
		Health:   Live,
	}
	if e.State == node.Gone {
		r.Expires = now.Add(TombstoneLife)
	}
	i := slices.IndexFunc(a.records, func(o Record) bool { return o.Key() == r.Key() })
	if i < 0 {
		r.Endpoint.Sequence = max(r.Endpoint.Sequence, 1)
		a.records = append(a.records, r)
		return a.sendAll(now)
	}
	r.Endpoint.Sequence = max(r.Endpoint.Sequence, a.records[i].Endpoint.Sequence+1)
	a.records[i] = r
	return a.tell(now)
}

// told are the targets and all homes and spares.
func (a *Announcer) told(targets []netip.AddrPort) []netip.AddrPort {
	out := slices.Clone(a.homes)
	for _, to := range targets {
		if !slices.Contains(out, to) {
			out = append(out, to)
		}
	}
	return out
}

// tell sends a change to the spares as well as to the homes, so that it gets
// about even while balancers can't reach each other.
func (a *Announcer) tell(now time.Time) []AnnouncerAction {
	out := a.sendAll(now)
	targets := a.targets(now)
	for _, to := range a.homes {
		a.state(to).owed = true
		if !slices.Contains(targets, to) {
			out = append(out, a.send(now, to))
		}
	}
	return out
}

func (a *Announcer) replied(now time.Time, e Replied) []AnnouncerAction {
	s := a.state(e.From)
	s.failures = 0
	s.owed = false
	s.retry = time.Time{}
	s.avoid = time.Time{}
	s.until = now.Add(Life)
	fresh := a.setHomes(now, e.Reply.Homes)
	var out []AnnouncerAction
	raised := false
	for _, v := range e.Reply.Verdicts {
		lost, up := a.judge(v)
		raised = raised || up
		if lost {
			out = append(out, Superseded{
				Key: v.Key,
			})
		}
	}
	if raised {
		return append(out, a.sendAll(now)...)
	}
	for _, to := range fresh {
		a.state(to).owed = true
		out = append(out, a.send(now, to))
	}
	return out
}

// judge compares a verdict with the own record: one that another process has
// taken over is dropped, one that lags behind is raised.
func (a *Announcer) judge(v Verdict) (lost, raised bool) {
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

// setHomes takes over a reply's list and returns those that are new, spares too,
// so that they hear of the records at least once. Those
// that hold the lease or were just asked are left out, because balancers may
// disagree about the homes for a while.
func (a *Announcer) setHomes(now time.Time, homes []netip.AddrPort) []netip.AddrPort {
	if len(homes) == 0 {
		return nil
	}
	before := a.homes
	a.homes = slices.Clone(homes)
	a.forget(now)
	return slices.DeleteFunc(slices.Clone(homes), func(to netip.AddrPort) bool {
		return slices.Contains(before, to) || a.states[to].quiet(now)
	})
}

// forget drops what is known of balancers that are no longer named.
func (a *Announcer) forget(now time.Time) {
	for to, s := range a.states {
		if !s.quiet(now) && !slices.Contains(a.homes, to) && !slices.Contains(a.seeds, to) {
			delete(a.states, to)
		}
	}
}

// failed marks a target for a retry and turns to a spare after maxFailures.
func (a *Announcer) failed(now time.Time, to netip.AddrPort) []AnnouncerAction {
	before := a.targets(now)
	s := a.state(to)
	s.failures++
	s.retry = now.Add(RetryInterval)
	if s.failures >= maxFailures {
		s.avoid = now.Add(RenewInterval)
	}
	if !slices.Contains(a.homes, to) {
		a.seedAt++
	}
	if s.failures >= maxOwed {
		s.owed = false
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
	a.next = now.Add(RenewInterval - jitter)
	var out []AnnouncerAction
	for _, to := range a.targets(now) {
		out = append(out, a.send(now, to))
	}
	return out
}

func (a *Announcer) send(now time.Time, to netip.AddrPort) Send {
	s := a.state(to)
	s.retry = time.Time{}
	s.asked = now.Add(RetryInterval)
	return Send{
		To: to,
		Renew: Renew{
			Records: slices.Clone(a.records),
		},
		Fresh: s.failures > 0,
	}
}

// targets are the homes that answer, filled up with spares; while none is known
// or answers, they are some of the seeds in turn.
func (a *Announcer) targets(now time.Time) []netip.AddrPort {
	var out []netip.AddrPort
	for _, to := range a.homes {
		if s := a.states[to]; s != nil && now.Before(s.avoid) {
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
		out = append(out, a.seeds[(a.seedAt+i)%len(a.seeds)])
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
