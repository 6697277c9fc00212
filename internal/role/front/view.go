package front

import (
	"context"
	"net/netip"
	"time"

	"github.com/clementinewing/clementinewing/internal/board/adopt"
	"github.com/clementinewing/clementinewing/internal/board/file"
	"github.com/clementinewing/clementinewing/internal/fleet/member"
	"github.com/clementinewing/clementinewing/internal/flow/route"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// adopted puts a file in force and tells the fleet.
func (f *Front) adopted(h *adopt.Held) {
	f.rebuild()
	f.member.SetHead(member.Head{
		Revision: h.Revision(),
		Hash:     h.RecordHash.String(),
	})
	f.logger.Info().Uint64("revision", h.Revision()).Str("file", h.File.Name).Msg("file in force")
}

// behind hears from the fleet that a later file is in force elsewhere.
func (f *Front) behind(h member.Head) {
	var record file.Hash
	err := record.UnmarshalText([]byte(h.Hash))
	if err != nil {
		f.logger.Warn().Err(err).Uint64("revision", h.Revision).Msg("a peer names no record")
		return
	}
	f.follower.Heard(h.Revision, record)
}

// Ready tells whether the fabric may hand packets to this balancer: it knows the
// fleet and has a file.
func (f *Front) Ready() bool {
	return f.member.Ready() && f.follower.Held() != nil
}

func (f *Front) setEndpoints(endpoints []node.Endpoint) {
	f.mutex.Lock()
	f.endpoints = endpoints
	f.mutex.Unlock()
	f.rebuild()
}

// rebuild steers by the file in force and the endpoints of now. A newcomer steers
// by what it knows at once, because the fabric may not wait for Ready: a flow whose
// owner it does not know of is not reset before its packets have come in vain for
// longer than the view of a newcomer takes.
func (f *Front) rebuild() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.entry.SetServices(route.Build(f.File(), f.endpoints))
}

// suspect keeps which side processes leave packets unanswered, for State.
func (f *Front) suspect(agent netip.AddrPort, silent bool) {
	f.mutex.Lock()
	f.silent[agent] = silent
	if !silent {
		delete(f.silent, agent)
	}
	f.mutex.Unlock()
	f.logger.Warn().Stringer("agent", agent).Bool("silent", silent).Msg("link to a side process")
}

// File is the file in force; before the first it has no service.
func (f *Front) File() file.File {
	h := f.follower.Held()
	if h == nil {
		return file.File{}
	}
	return h.File
}

// tellMembers tells the follower who else is in this failure domain.
func (f *Front) tellMembers(ctx context.Context) {
	ticker := time.NewTicker(membersInterval)
	defer ticker.Stop()
	for {
		names := []string{f.settings.Name}
		for _, b := range f.member.Balancers() {
			if b.Place == f.settings.Place {
				names = append(names, b.Upstream)
			}
		}
		f.follower.Members(names)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
