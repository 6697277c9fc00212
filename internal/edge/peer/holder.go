package peer

import (
	"context"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
)

// LeaseHolders lists the balancers that hold the leases of this agent.
func (a *Announcer) LeaseHolders() []netip.AddrPort {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.machine.Holders(time.Now())
}

// FetchFile fetches a part of a file from the first lease holder that has it.
func (a *Announcer) FetchFile(ctx context.Context, hash string) (content []byte, err error) {
	defer func() { err = eris.Wrap(err, "fetching a file from lease holders") }()
	return a.links.fetchFile(ctx, a.LeaseHolders(), hash)
}
