// Package sizing decides how many backend servers of which kind a pool needs in
// which availability zone, and turns the difference to what runs into starts and
// drains. It does no I/O and reads no clock.
package sizing

import (
	"math"
	"slices"
	"time"
)

// Kind tells at which price a server runs.
type Kind uint8

// The kinds of servers.
const (
	// Regular servers stay until they are stopped.
	Regular Kind = iota
	// Reclaimable servers are cheaper and can vanish, a zone at a time.
	Reclaimable
)

// ServerGroup is where servers run and at which price.
type ServerGroup struct {
	Zone string
	Kind Kind
}

// Demand is predicted work in servers, each busy to the full.
type Demand struct {
	// Firm work must not run on reclaimable servers; Flexible work may.
	Firm, Flexible float64
}

// Bounds limit a pool, see [object.PoolSpec].
type Bounds struct {
	Min, Max int
	// MaxReclaimable is the highest share of reclaimable servers, 0 to 1.
	MaxReclaimable float64
}

// Count is what a place has.
type Count struct {
	Running, Starting, Draining int
}

// live returns the servers that take work or will.
func (c Count) live() int { return c.Running + c.Starting }

// Change is what to do at a place: servers to start, or to drain before they are stopped.
type Change struct {
	Group ServerGroup
	// Undrain takes servers that drain back into use, before any is started.
	Undrain, Start, Drain int
}

// Settings tune a [Sizer].
type Settings struct {
	// TargetUtilisation is the share of a server's full rate at which latency targets still hold.
	TargetUtilisation float64
	// ScaleDownDelay is how long a target must stay lower before servers are drained.
	ScaleDownDelay time.Duration
	// MinMissingReclaimable is how many reclaimable servers must be missing before new ones are started; below 2, each is
	// replaced at once. Regular servers always are, for they carry the reserve for a zone's loss.
	MinMissingReclaimable int
}

// DefaultSettings returns the settings that hosts use.
func DefaultSettings() Settings {
	return Settings{TargetUtilisation: 0.8, ScaleDownDelay: 30 * time.Minute, MinMissingReclaimable: 2}
}

// Sizer sizes one pool. It is used by one goroutine.
type Sizer struct {
	set    Settings
	bounds Bounds
	zones  []string
	recent []target
}

// target is what a pool needed at a time.
type target struct {
	at                   time.Time
	regular, reclaimable int
}

// New returns a Sizer of a pool with servers in the zones.
func New(set Settings, b Bounds, zones []string) *Sizer {
	zones = slices.Clone(zones)
	slices.Sort(zones)
	return &Sizer{set: set, bounds: b, zones: zones}
}

// Matches reports whether the pool's bounds and zones are still those of s.
func (s *Sizer) Matches(b Bounds, zones []string) bool {
	zones = slices.Clone(zones)
	slices.Sort(zones)
	return b == s.bounds && slices.Equal(zones, s.zones)
}

// need returns the servers for a demand. Regular servers carry the firm work even when a zone is gone;
// until then the reserve runs flexible work. What is left of that runs on reclaimable servers.
func (s *Sizer) need(d Demand) (regular, reclaimable int) {
	firm, all := d.Firm/s.set.TargetUtilisation, (d.Firm+d.Flexible)/s.set.TargetUtilisation
	n := float64(len(s.zones))
	reserve := firm
	if n > 1 {
		reserve = firm * n / (n - 1)
	}
	total := math.Ceil(max(all, reserve, float64(s.bounds.Min)))
	if s.bounds.Max > 0 {
		total = min(total, float64(s.bounds.Max))
	}
	most := math.Floor(total * s.bounds.MaxReclaimable)
	left := max(total-math.Ceil(reserve), 0)
	reclaimable = int(min(most, left))
	return int(total) - reclaimable, reclaimable
}

// hold returns the highest target of the last Hold, so that servers are not stopped for a short lull.
func (s *Sizer) hold(now time.Time, regular, reclaimable int) (int, int) {
	s.recent = append(s.recent, target{now, regular, reclaimable})
	for len(s.recent) > 1 && now.Sub(s.recent[0].at) > s.set.ScaleDownDelay {
		s.recent = s.recent[1:]
	}
	for _, t := range s.recent {
		regular, reclaimable = max(regular, t.regular), max(reclaimable, t.reclaimable)
	}
	return regular, reclaimable
}

// Decide returns what to change, given the predicted demand and what each place has. Zones that are gone have no
// entry in usable and get nothing; the others share their part.
func (s *Sizer) Decide(now time.Time, d Demand, have map[ServerGroup]Count, usable map[string]bool) []Change {
	regular, reclaimable := s.need(d)
	regular, reclaimable = s.hold(now, regular, reclaimable)
	var zones []string
	for _, z := range s.zones {
		if usable[z] {
			zones = append(zones, z)
		}
	}
	if len(zones) == 0 {
		return nil
	}
	out := spread(Regular, regular, 1, zones, have)
	return append(out, spread(Reclaimable, reclaimable, s.set.MinMissingReclaimable, zones, have)...)
}

// spread shares want servers of a kind evenly over the zones and compares with what is there. Missing servers
// are started once there are at least minimum of them, or no server at all.
func spread(k Kind, want, minimum int, zones []string, have map[ServerGroup]Count) []Change {
	live := 0
	for _, z := range zones {
		live += have[ServerGroup{z, k}].live()
	}
	enough := live > 0 && want-live < minimum
	var out []Change
	for i, z := range zones {
		share := want / len(zones)
		if i < want%len(zones) {
			share++
		}
		p := ServerGroup{z, k}
		c := Change{Group: p}
		switch diff := share - have[p].live(); {
		case diff > 0:
			c.Undrain = min(diff, have[p].Draining)
			if !enough {
				c.Start = diff - c.Undrain
			}
		case diff < 0:
			c.Drain = min(-diff, have[p].Running)
		}
		if c.Undrain+c.Start+c.Drain > 0 {
			out = append(out, c)
		}
	}
	return out
}
