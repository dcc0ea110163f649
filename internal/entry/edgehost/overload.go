package edgehost

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"shallotramp/internal/traffic/placement"
)

// overloadLogInterval is the least time between two lines on the overload of a service: each refusal has a line of its own.
const overloadLogInterval = time.Second

// loggedOverload is a report as last logged, and when.
type loggedOverload struct {
	placement.OverloadReport
	loggedAt time.Time
}

// logOverload counts the requests that this host has sent as late ones or refused because of overload, and logs on what
// the latest decision was based. The caller holds mu.
func (h *Host) logOverload(state placement.HostState) {
	for service, r := range state.Overload {
		last := h.overloads[service]
		if r.At.Equal(last.At) || state.At.Sub(last.loggedAt) < overloadLogInterval {
			continue
		}
		late, refused := r.Late-last.Late, r.Refused-last.Refused
		metrics.GetOrCreateCounter(fmt.Sprintf(`shallotramp_overload_total{service=%q,verdict="late"}`, service)).Add(late)
		metrics.GetOrCreateCounter(fmt.Sprintf(`shallotramp_overload_total{service=%q,verdict="refused"}`, service)).Add(refused)
		h.log.Info().Str("Event", "Overload").Str("Service", service).Int("Late", late).Int("Refused", refused).Int("Slots", r.Load.Slots).
			Int("InFlight", r.Load.InFlight).Int("Ahead", r.Load.Ahead).Dur("Wait", r.Load.Wait).Dur("WaitIfLate", r.Load.WaitIfLate).
			Dur("WordAge", state.NewsAge).Dur("Age", state.At.Sub(r.At)).Send()
		if h.overloads == nil {
			h.overloads = map[string]loggedOverload{}
		}
		h.overloads[service] = loggedOverload{r, state.At}
	}
}
