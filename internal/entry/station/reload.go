package station

import (
	"time"

	"shallotramp/internal/traffic/dispatch"
)

// Reload adopts new settings. Retry limits, seeds and the grace of a stop change at once; addresses, the
// lease's term and usage windows need a restart, which a log line says.
func (s *Host) Reload(next Config, cause string) {
	s.mu.Lock()
	old := s.cfg
	s.cfg.Retry, s.cfg.Grace, s.cfg.Seeds = next.Retry, next.Grace, next.Seeds
	s.mu.Unlock()
	s.loop.Apply(func(time.Time) []dispatch.Effect {
		s.policy.SetRetryLimits(next.Retry)
		return nil
	})
	s.fleet.SetSeeds(next.Seeds)
	restart := old.CallersAddr != next.CallersAddr || old.ReadyAddr != next.ReadyAddr || old.MetricsAddr != next.MetricsAddr ||
		old.FleetPort != next.FleetPort || old.LeaseTerm != next.LeaseTerm || old.UsageWindow != next.UsageWindow
	s.log.Info().Str("Event", "Reloaded").Str("Cause", cause).Bool("NeedsRestart", restart).Send()
}

// config returns the settings in force.
func (s *Host) config() Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cfg
}
