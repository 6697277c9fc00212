package peer

import (
	"net/netip"
	"time"
)

// Holders are the balancers that hold the leases of this process.
func (a *Announcer) Holders() []netip.AddrPort {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.machine.Holders(time.Now())
}
