// Package sizing computes how many regular and reclaimable backend servers a pool
// needs in each availability zone, and which servers have to be started or drained
// to get there. Reclaimable servers, also called spot servers, are cheaper, but the
// platform may take them back at short notice. The package does no I/O and reads no
// clock.
package sizing

import (
	"math"
	"slices"
	"time"
)

// Kind is the kind of a server: its price, and whether the platform may reclaim it.
type Kind uint8

// The kinds of servers.
const (
	// Regular servers run until they are stopped.
	Regular Kind = iota
	// Reclaimable servers are cheaper. The platform may reclaim them at any time, all those of a zone at once.
	Reclaimable
)

// ServerGroup identifies the servers of one kind in one availability zone.
type ServerGroup struct {
	Zone string
	Kind Kind
}

// Demand is an amount of work, as the number of fully utilised servers that it needs.
type Demand struct {
	// Firm work must not run on reclaimable servers. Flexible work may.
	Firm, Flexible float64
}

// Bounds limits the size of a pool. Max is ignored if it is 0. See object.PoolSpec.
type Bounds struct {
	Min, Max int
	// MaxReclaimable is the largest fraction of reclaimable servers, from 0 to 1.
	MaxReclaimable float64
}

// Count is the number of servers of a group by state.
type Count struct {
	Running, Starting, Draining int
}

// live returns the number of servers that accept new work or will do so once started.
func (c Count) live() int { return c.Running + c.Starting }

// Change holds the numbers of servers of a group to start, and to drain before they are stopped.
type Change struct {
	Group ServerGroup
	// Undrain is the number of draining servers to put back into use, which comes before starting new ones.
	Undrain, Start, Drain int
}

// Settings configures a [Sizer].
type Settings struct {
	// TargetUtilisation is the fraction of a server's full rate at which latency targets are still met.
	TargetUtilisation float64
	// ScaleDownDelay is how long the target must stay lower before servers are drained.
	ScaleDownDelay time.Duration
	// MinMissingReclaimable is how many reclaimable servers must be missing before new ones are started. With a value
	// below 2 each is replaced at once. Regular servers are always replaced at once, because they include the
	// reserve for the loss of a zone.
	MinMissingReclaimable int
}

// DefaultSettings returns the default settings of hosts.
func DefaultSettings() Settings {
	return Settings{TargetUtilisation: 0.8, ScaleDownDelay: 30 * time.Minute, MinMissingReclaimable: 2}
}

// Sizer computes the size of one pool. It is not safe for concurrent use.
type Sizer struct {
	settings      Settings
	bounds        Bounds
	zones         []string
	recentTargets []target
}

// target is the number of servers that a pool needed at a time.
type target struct {
	decidedAt            time.Time
	regular, reclaimable int
}

// New returns a Sizer for a pool with servers in the given zones.
func New(settings Settings, b Bounds, zones []string) *Sizer {
	zones = slices.Clone(zones)
	slices.Sort(zones)
	return &Sizer{settings: settings, bounds: b, zones: zones}
}

// Matches reports whether s was created with the given bounds and zones.
func (s *Sizer) Matches(b Bounds, zones []string) bool {
	zones = slices.Clone(zones)
	slices.Sort(zones)
	return b == s.bounds && slices.Equal(zones, s.zones)
}

// requiredServers returns the numbers of servers for a demand. There are enough regular servers to run the firm work
// even if a zone is lost. Until then this reserve runs flexible work. The remaining flexible work runs on reclaimable
// servers, up to the fraction MaxReclaimable of all servers.
func (s *Sizer) requiredServers(d Demand) (regular, reclaimable int) {
	firm, all := d.Firm/s.settings.TargetUtilisation, (d.Firm+d.Flexible)/s.settings.TargetUtilisation
	n := float64(len(s.zones))
	reserve := firm
	if n > 1 {
		reserve = firm * n / (n - 1)
	}
	total := math.Ceil(max(all, reserve, float64(s.bounds.Min)))
	if s.bounds.Max > 0 {
		total = min(total, float64(s.bounds.Max))
	}
	maxReclaimable := math.Floor(total * s.bounds.MaxReclaimable)
	beyondReserve := max(total-math.Ceil(reserve), 0)
	reclaimable = int(min(maxReclaimable, beyondReserve))
	return int(total) - reclaimable, reclaimable
}

// maxRecent returns the highest targets within ScaleDownDelay, so that a short drop in demand does not stop servers.
func (s *Sizer) maxRecent(now time.Time, regular, reclaimable int) (int, int) {
	s.recentTargets = append(s.recentTargets, target{now, regular, reclaimable})
	for len(s.recentTargets) > 1 && now.Sub(s.recentTargets[0].decidedAt) > s.settings.ScaleDownDelay {
		s.recentTargets = s.recentTargets[1:]
	}
	for _, t := range s.recentTargets {
		regular, reclaimable = max(regular, t.regular), max(reclaimable, t.reclaimable)
	}
	return regular, reclaimable
}

// Decide returns the changes for the predicted demand d and the current servers of each group. Zones that cannot be
// reached have no true entry in usable and get no servers. The other zones get their share.
func (s *Sizer) Decide(now time.Time, d Demand, have map[ServerGroup]Count, usable map[string]bool) []Change {
	regular, reclaimable := s.requiredServers(d)
	regular, reclaimable = s.maxRecent(now, regular, reclaimable)
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
	return append(out, spread(Reclaimable, reclaimable, s.settings.MinMissingReclaimable, zones, have)...)
}

// spread distributes want servers of a kind evenly over the zones and returns the changes from the current servers.
// Servers are started if at least minMissing are missing or if there are none at all.
func spread(k Kind, want, minMissing int, zones []string, have map[ServerGroup]Count) []Change {
	live := 0
	for _, z := range zones {
		live += have[ServerGroup{z, k}].live()
	}
	belowMinMissing := live > 0 && want-live < minMissing
	var out []Change
	for i, z := range zones {
		share := want / len(zones)
		if i < want%len(zones) {
			share++
		}
		group := ServerGroup{z, k}
		c := Change{Group: group}
		switch diff := share - have[group].live(); {
		case diff > 0:
			c.Undrain = min(diff, have[group].Draining)
			if !belowMinMissing {
				c.Start = diff - c.Undrain
			}
		case diff < 0:
			c.Drain = min(-diff, have[group].Running)
		}
		if c.Undrain+c.Start+c.Drain > 0 {
			out = append(out, c)
		}
	}
	return out
}
