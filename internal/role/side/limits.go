package side

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/board/adopt"
	"github.com/clementinewing/clementinewing/internal/board/file"
	"github.com/clementinewing/clementinewing/internal/fleet/member"
	"github.com/clementinewing/clementinewing/internal/flow/admit"
)

// heard tells the follower which file a balancer has in force.
func (s *Side) heard(h member.Head) {
	var record file.Hash
	err := record.UnmarshalText([]byte(h.Hash))
	if err != nil {
		s.logger.Warn().Err(err).Uint64("revision", h.Revision).Msg("a balancer names no record")
		return
	}
	s.follower.Heard(h.Revision, record)
}

// adopted puts the limits in force that a file sets for this upstream's service.
// A service that the file does not have keeps the settings' limits.
func (s *Side) adopted(h *adopt.Held) {
	limits, policy := s.limits(h.File)
	s.agent.Adjust(func() {
		s.gate.SetLimits(limits)
		s.gate.SetPolicy(policy)
	})
	s.logger.Info().
		Uint64("revision", h.Revision()).
		Int("slots", limits.Slots).
		Int("connections", limits.Connections).
		Msg("file in force")
}

func (s *Side) limits(f file.File) (admit.Limits, admit.Policy) {
	limits := admit.Limits{
		Slots:       int(s.settings.Slots),
		Connections: int(s.settings.Connections),
	}
	set, ok := f.Service(s.settings.Service)
	if !ok {
		return limits, admit.ForwardWhenFull()
	}
	if set.Slots > 0 {
		limits.Slots = int(set.Slots)
	}
	if set.Connections > 0 {
		limits.Connections = int(set.Connections)
	}
	if set.WeightOn == file.Imbalance {
		return limits, admit.ForwardEarly()
	}
	return limits, admit.ForwardWhenFull()
}

// drainDeadline is when a stop that begins now must end: as the file in force
// says for the service, else as the settings say.
func (s *Side) drainDeadline(now time.Time) time.Time {
	h := s.follower.Held()
	if h == nil {
		return now.Add(s.settings.Drain)
	}
	set, ok := h.File.Service(s.settings.Service)
	if !ok {
		return now.Add(s.settings.Drain)
	}
	return set.DrainDeadline(now)
}
