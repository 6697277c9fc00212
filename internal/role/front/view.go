package front

import (
	"context"
	"net/netip"
	"time"

	"github.com/clementinewing/clementinewing/internal/board/adopt"
	"github.com/clementinewing/clementinewing/internal/board/file"
	"github.com/clementinewing/clementinewing/internal/board/head"
	"github.com/clementinewing/clementinewing/internal/fleet/member"
	"github.com/clementinewing/clementinewing/internal/flow/route"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// applyFile applies a file and announces it to the fleet.
func (f *Balancer) applyFile(h *adopt.ActiveFile) {
	f.updateServices()
	f.member.SetHead(member.Head{
		Revision: h.Revision(),
		Hash:     h.RecordHash.String(),
	})
	f.logger.Info().Uint64("revision", h.Revision()).Str("file", h.File.Name).Msg("file in force")
}

// logRestore logs the result of writing the file in force back to a store that had an
// older one.
func (f *Balancer) logRestore(r head.Result) {
	switch {
	case r.Refusal != nil:
		f.logger.Warn().Err(r.Refusal).Msg("store has an older file in force; writing the one in force back failed or waits for the chair")
	case r.Changed:
		f.logger.Warn().Uint64("revision", r.Revision).Msg("store had an older file in force; the one in force was written back")
	}
}

// followHead passes the head of a peer, which names a newer file in force there, to
// the follower.
func (f *Balancer) followHead(h member.Head) {
	var record file.Hash
	err := record.UnmarshalText([]byte(h.Hash))
	if err != nil {
		f.logger.Warn().Err(err).Uint64("revision", h.Revision).Msg("invalid record hash in the head of a peer")
		return
	}
	f.follower.HandleAnnouncement(h.Revision, record)
}

// Ready reports whether the fabric may send packets to this balancer: the balancer
// knows the fleet and has a file in force.
func (f *Balancer) Ready() bool {
	return f.member.Ready() && f.follower.ActiveFile() != nil
}

func (f *Balancer) setEndpoints(endpoints []node.Endpoint) {
	f.mutex.Lock()
	f.endpoints = endpoints
	f.mutex.Unlock()
	f.updateServices()
}

// updateServices applies the file in force and the current endpoints to the packet
// path. A new balancer applies at once the endpoints that it knows, because the
// fabric might send packets before Ready. A flow whose owner is not among them
// survives: it is reset only after its packets have failed for longer than a new
// balancer needs to learn all endpoints.
func (f *Balancer) updateServices() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.entry.SetServices(route.Build(f.File(), f.endpoints))
}

// recordSilence records which agents are silent, for State.
func (f *Balancer) recordSilence(agent netip.AddrPort, silent bool) {
	f.mutex.Lock()
	f.silent[agent] = silent
	if !silent {
		delete(f.silent, agent)
	}
	f.mutex.Unlock()
	f.logger.Warn().Stringer("agent", agent).Bool("silent", silent).Msg("silence of an agent changed")
}

// File returns the file in force; before the first it is empty.
func (f *Balancer) File() file.File {
	h := f.follower.ActiveFile()
	if h == nil {
		return file.File{}
	}
	return h.File
}

// updateFollower tells the follower, at a fixed interval until ctx ends, the names of
// the balancers in this failure domain.
func (f *Balancer) updateFollower(ctx context.Context) {
	ticker := time.NewTicker(membersInterval)
	defer ticker.Stop()
	for {
		names := []string{f.settings.Name}
		for _, b := range f.member.Balancers() {
			if b.Place == f.settings.Place {
				names = append(names, b.Upstream)
			}
		}
		f.follower.SetMembers(names)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
