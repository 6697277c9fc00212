package roster

import (
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
)

// forgetContact is how long a balancer that is missing from others' lists is still told
// the load: longer than balancers remember each other.
const forgetContact = 20 * time.Second

// checkAllFor is how long after a side process has started every balancer checks its
// list: while all start together each knows a few of the others.
const checkAllFor = 3 * time.Second

// Contacts are the balancers that a side process reports to. With each round of
// reports one of them in turn is asked to check the list, so that keeping it costs an answer for each
// round of reports and not for each report, however much the balancers' lists differ
// while some of them join or leave.
type Contacts struct {
	// checkAllUntil is until when everybody checks the list.
	checkAllUntil time.Time
	contacts      map[frame.Host]*contact
	// hosts are the keys of contacts in order.
	hosts []frame.Host
	turn  int
}

type contact struct {
	// missingSince is when a list first lacked the balancer; zero if the last one
	// named it or it was heard since.
	missingSince time.Time
}

// NewContacts makes the list of a side process that starts now.
func NewContacts(now time.Time) *Contacts {
	return &Contacts{
		checkAllUntil: now.Add(checkAllFor),

		contacts: map[frame.Host]*contact{},
	}
}

// Name adds a balancer and tells whether it is new here.
func (c *Contacts) Name(h frame.Host) (added bool) {
	x, ok := c.contacts[h]
	if !ok {
		x = &contact{}
		c.contacts[h] = x
		at, _ := slices.BinarySearch(c.hosts, h)
		c.hosts = slices.Insert(slices.Clone(c.hosts), at, h)
	}
	x.missingSince = time.Time{}
	return !ok
}

// Named takes the list of a balancer and gives the balancers that are new here and
// those that nobody has named for long, which are forgotten.
func (c *Contacts) Named(now time.Time, list []frame.Host) (added, forgotten []frame.Host) {
	for _, h := range c.hosts {
		if x := c.contacts[h]; x.missingSince.IsZero() && !slices.Contains(list, h) {
			x.missingSince = now
		}
	}
	for _, h := range list {
		if c.Name(h) {
			added = append(added, h)
		}
	}
	c.hosts = slices.DeleteFunc(slices.Clone(c.hosts), func(h frame.Host) bool {
		x := c.contacts[h]
		if x.missingSince.IsZero() || !now.After(x.missingSince.Add(forgetContact)) {
			return false
		}
		delete(c.contacts, h)
		forgotten = append(forgotten, h)
		return true
	})
	return added, forgotten
}

// Hosts gives the balancers in order; the list is not to be changed.
func (c *Contacts) Hosts() []frame.Host {
	return c.hosts
}

// Digest identifies the balancers that the last list named or that were heard since.
func (c *Contacts) Digest() (sum uint64) {
	for h, x := range c.contacts {
		if x.missingSince.IsZero() {
			sum += digest(h)
		}
	}
	return sum
}

// NextRound gives the turn to check the list to the next balancer.
func (c *Contacts) NextRound() {
	c.turn++
}

// Checks tells whether a balancer is to check the list in this round.
func (c *Contacts) Checks(now time.Time, h frame.Host) bool {
	return now.Before(c.checkAllUntil) || len(c.hosts) > 0 && c.hosts[c.turn%len(c.hosts)] == h
}
