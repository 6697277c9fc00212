package side

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/board/adopt"
	"github.com/clementinewing/clementinewing/internal/board/file"
	"github.com/clementinewing/clementinewing/internal/fleet/member"
	"github.com/clementinewing/clementinewing/internal/flow/admit"
)

// followHead passes the head of a balancer, which names the file in force there, to
// the follower.
func (s *Agent) followHead(h member.Head) {
	var record file.Hash
	err := record.UnmarshalText([]byte(h.Hash))
	if err != nil {
		s.logger.Warn().Err(err).Uint64("revision", h.Revision).Msg("invalid record hash in the head of a balancer")
		return
	}
	s.follower.HandleAnnouncement(h.Revision, record)
}

// applyFile applies the limits that a file sets for the service of this upstream.
// If the file does not contain the service, the limits of the settings apply.
func (s *Agent) applyFile(h *adopt.ActiveFile) {
	limits, policy := s.limitsOf(h.File)
	s.agent.RunLocked(func() {
		s.admission.SetLimits(limits)
		s.admission.SetPolicy(policy)
	})
	s.logger.Info().
		Uint64("revision", h.Revision()).
		Int("slots", limits.Slots).
		Int("connections", limits.Connections).
		Msg("file in force")
}

// limitsOf returns the limits and the admission policy for the service of this
// upstream. Where the file sets no limit, that of the settings applies.
func (s *Agent) limitsOf(f file.File) (admit.Limits, admit.Policy) {
	limits := admit.Limits{
		Slots:       int(s.settings.Slots),
		Connections: int(s.settings.Connections),
	}
	service, ok := f.Service(s.settings.Service)
	if !ok {
		return limits, admit.ForwardWhenFull()
	}
	if service.Slots > 0 {
		limits.Slots = int(service.Slots)
	}
	if service.Connections > 0 {
		limits.Connections = int(service.Connections)
	}
	if service.WeightOn == file.Imbalance {
		return limits, admit.ForwardEarly()
	}
	return limits, admit.ForwardWhenFull()
}

// drainDeadline returns the deadline of a drain that begins now. It follows the
// file in force for the service, or the settings if the file has none.
func (s *Agent) drainDeadline(now time.Time) time.Time {
	h := s.follower.ActiveFile()
	if h == nil {
		return now.Add(s.settings.DrainTimeout)
	}
	service, ok := h.File.Service(s.settings.Service)
	if !ok {
		return now.Add(s.settings.DrainTimeout)
	}
	return service.DrainDeadline(now)
}
