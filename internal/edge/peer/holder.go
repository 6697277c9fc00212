package peer

import (
	"context"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
)

// Holders are the balancers that hold the leases of this process.
func (a *Announcer) Holders() []netip.AddrPort {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.machine.Holders(time.Now())
}

// FetchFile gets a part of a file from the first balancer that holds a lease of
// this process and has it.
func (a *Announcer) FetchFile(ctx context.Context, hash string) (content []byte, err error) {
	defer func() { err = eris.Wrap(err, "fetching a file from balancers") }()
	return a.links.fetch(ctx, a.Holders(), hash)
}
