package station

import (
	"time"

	"shallotramp/internal/traffic/dispatch"
)

// Reload adopts new settings. Retry limits, seeds and the grace of a stop change at once; addresses, the
// lease's term and usage windows need a restart, which a log line says.
func (s *Station) Reload(next Config, cause string) {
	s.mu.Lock()
	old := s.cfg
	s.cfg.Retry, s.cfg.Grace, s.cfg.Seeds = next.Retry, next.Grace, next.Seeds
	s.mu.Unlock()
	s.loop.Apply(func(time.Time) []dispatch.Effect {
		s.policy.SetRetryLimits(next.Retry)
		return nil
	})
	s.fleet.SetSeeds(next.Seeds)
	restart := old.Callers != next.Callers || old.Ready != next.Ready || old.Metrics != next.Metrics ||
		old.FleetPort != next.FleetPort || old.Term != next.Term || old.UsageWindow != next.UsageWindow
	s.log.Info().Str("Event", "Reloaded").Str("Cause", cause).Bool("NeedsRestart", restart).Send()
}

// config returns the settings in force.
func (s *Station) config() Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cfg
}
