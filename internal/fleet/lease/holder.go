package lease

import (
	"net/netip"
	"time"
)

// Holders returns the homes that hold the leases of this process, in no particular
// order.
func (a *Announcer) Holders(now time.Time) (out []netip.AddrPort) {
	for home, s := range a.states {
		if now.Before(s.leaseUntil) {
			out = append(out, home)
		}
	}
	return out
}
