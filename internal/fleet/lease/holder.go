package lease

import (
	"net/netip"
	"time"
)

// Holders are the homes that hold the leases of this process, in no order.
func (a *Announcer) Holders(now time.Time) (out []netip.AddrPort) {
	for home, s := range a.states {
		if now.Before(s.until) {
			out = append(out, home)
		}
	}
	return out
}
