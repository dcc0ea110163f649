package edgehost

import (
	"time"

	"shallotramp/internal/traffic/dispatch"
)

// Reload applies new settings. Retry limits, seeds and the grace period take effect at once. Listener addresses, the
// lease term, the usage window and the time for an evacuation need a restart; the log line says so if one of them has
// changed.
func (h *Host) Reload(next Config, cause string) {
	h.mu.Lock()
	old := h.cfg
	h.cfg.Retry, h.cfg.Grace, h.cfg.Seeds = next.Retry, next.Grace, next.Seeds
	h.mu.Unlock()
	h.loop.Apply(func(time.Time) []dispatch.Effect {
		h.policy.SetRetryLimits(next.Retry)
		return nil
	})
	h.gossip.SetSeeds(next.Seeds)
	restart := old.CallersAddr != next.CallersAddr || old.ReadyAddr != next.ReadyAddr || old.MetricsAddr != next.MetricsAddr ||
		old.FleetPort != next.FleetPort || old.LeaseTerm != next.LeaseTerm || old.UsageWindow != next.UsageWindow ||
		old.EvacuateTimeout != next.EvacuateTimeout
	h.log.Info().Str("Event", "Reloaded").Str("Cause", cause).Bool("NeedsRestart", restart).Send()
}

// config returns the current settings.
func (h *Host) config() Config {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cfg
}
