package roster

import (
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
)

// contactTTL is how long a balancer that is missing from the lists of others still gets
// load reports: longer than balancerTTL, for which balancers keep each other.
const contactTTL = 20 * time.Second

// checkAllTimeout is how long after the start of an agent every balancer checks the
// agent's list: while all balancers start together, each knows only a few of the others.
const checkAllTimeout = 3 * time.Second

// Contacts are the balancers that an agent reports to. In each round of reports one of
// them in turn is asked to check the list: it compares the digest in the report with that
// of its own list and sends its list if they differ. Each round then costs one answer at
// most, instead of one for each report, even while the lists of the balancers differ
// because some of them join or leave.
type Contacts struct {
	// checkAllUntil is until when every balancer checks the list.
	checkAllUntil time.Time
	contacts      map[frame.Host]*contact
	// hosts are the keys of contacts, sorted.
	hosts []frame.Host
	round int
}

type contact struct {
	// missingSince is when a list first lacked the balancer; zero if the last list had
	// the balancer or it was added since, as with each heartbeat.
	missingSince time.Time
}

// NewContacts returns the empty list of an agent that starts now.
func NewContacts(now time.Time) *Contacts {
	return &Contacts{
		checkAllUntil: now.Add(checkAllTimeout),

		contacts: map[frame.Host]*contact{},
	}
}

// Add adds a balancer and reports whether it is new.
func (c *Contacts) Add(h frame.Host) (added bool) {
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

// ApplyList applies the list that a balancer sent. It returns the balancers that are new,
// and those that it removes because they have been missing for longer than contactTTL.
func (c *Contacts) ApplyList(now time.Time, list []frame.Host) (added, removed []frame.Host) {
	for _, h := range c.hosts {
		if x := c.contacts[h]; x.missingSince.IsZero() && !slices.Contains(list, h) {
			x.missingSince = now
		}
	}
	for _, h := range list {
		if c.Add(h) {
			added = append(added, h)
		}
	}
	c.hosts = slices.DeleteFunc(slices.Clone(c.hosts), func(h frame.Host) bool {
		x := c.contacts[h]
		if x.missingSince.IsZero() || !now.After(x.missingSince.Add(contactTTL)) {
			return false
		}
		delete(c.contacts, h)
		removed = append(removed, h)
		return true
	})
	return added, removed
}

// Hosts returns the balancers in order of address. The slice must not be changed.
func (c *Contacts) Hosts() []frame.Host {
	return c.hosts
}

// Digest identifies the set of balancers that the last list had or that were added since.
func (c *Contacts) Digest() (sum uint64) {
	for h, x := range c.contacts {
		if x.missingSince.IsZero() {
			sum += digest(h)
		}
	}
	return sum
}

// NextRound starts a round of reports, in which the next balancer checks the list.
func (c *Contacts) NextRound() {
	c.round++
}

// ChecksList reports whether a balancer is to check the list in this round.
func (c *Contacts) ChecksList(now time.Time, h frame.Host) bool {
	return now.Before(c.checkAllUntil) || len(c.hosts) > 0 && c.hosts[c.round%len(c.hosts)] == h
}
