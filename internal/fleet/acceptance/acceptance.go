// Package acceptance tells where a release is in force. The conditional update of
// the platform's head commits a release; it is accepted when each zone has
// acknowledged it, or when a host that has not can serve no keyed work any more,
// because it could not confirm its release for longer than any organisation's
// CutOffGrace. So a withdrawn key is reported as withdrawn only when it works nowhere.
package acceptance

import (
	"slices"
	"sort"
	"time"
)

//go:generate go tool stringer -type State -output state_string.go

// Kind is the kind of the platform's objects that hold a [ZoneStatus], named by zone.
const Kind = "ZoneStatus"

const (
	// StatusInterval is how often a relay writes an unchanged status.
	StatusInterval = 30 * time.Second
	// staleAfter is the age at which a status no longer tells that its zone is connected.
	staleAfter = 3 * StatusInterval
	// clockMargin is added to a grace for the difference between clocks of hosts, publisher and reader.
	clockMargin = 5 * time.Second
)

// ZoneStatus is what a relay tells of the hosts of its zone.
type ZoneStatus struct {
	Zone  string
	Relay string
	// Release is the newest release that the relay knows; Acked names the hosts that have it in force.
	Release uint64
	Acked   []string
	Late    []LateHost `json:",omitempty"`
	// Grace is the longest CutOffGrace of an organisation in the relay's release.
	Grace time.Duration
	// Confirmed is when the relay's release was last known to be the newest, Time when this was written.
	Confirmed time.Time `json:",omitzero"`
	Time      time.Time
}

// LateHost is a host that is not known to have the release in force.
type LateHost struct {
	Name    string
	Release uint64
	// Silent hosts are not heard now.
	Silent bool `json:",omitempty"`
}

// Equal reports whether both tell the same, apart from times.
func (z *ZoneStatus) Equal(o *ZoneStatus) bool {
	return z.Zone == o.Zone && z.Relay == o.Relay && z.Release == o.Release && z.Grace == o.Grace &&
		slices.Equal(z.Acked, o.Acked) && slices.Equal(z.Late, o.Late)
}

// Merge adds the acknowledgements of old, for a host that has a release in force never goes back. Two
// relays of a split zone then complete each other.
func (z *ZoneStatus) Merge(old *ZoneStatus) {
	if old.Release != z.Release {
		return
	}
	for _, name := range old.Acked {
		if !slices.Contains(z.Acked, name) {
			z.Acked = append(z.Acked, name)
		}
	}
	sort.Strings(z.Acked)
	z.Late = slices.DeleteFunc(z.Late, func(h LateHost) bool { return slices.Contains(z.Acked, h.Name) })
}

// State is where a release stands in a zone.
type State uint8

// The states of a release in a zone.
const (
	// InForce zones have the release on each host.
	InForce State = iota
	// Late zones are connected and have hosts without the release.
	Late
	// CutOff zones cannot be heard; keyed work there may go on until Zone.Until.
	CutOff
	// Expired zones have hosts without the release that serve no keyed work any more.
	Expired
)

// MarshalText writes the name of s.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Zone is where a release stands in one zone.
type Zone struct {
	Zone  string
	State State
	// Release is the newest release that the zone is known to have.
	Release uint64
	// Missing names the hosts that have not acknowledged the release.
	Missing []string
	// Until is when keyed work under an earlier release ends at the latest; zero for zones with the release in force.
	Until time.Time
}

// Verdict is where a release stands everywhere.
type Verdict struct {
	Release  uint64
	Accepted bool
	Zones    []Zone
	// By is when the release is accepted at the latest; zero when it is.
	By time.Time
}

// Input is what a verdict rests on.
type Input struct {
	// Release is the number of the committed release and Committed when it was.
	Release   uint64
	Committed time.Time
	// Grace is the longest CutOffGrace of an organisation, of the release and of those before that may be in force.
	Grace time.Duration
	// Hosts are the hosts that the platform's list names, by zone.
	Hosts    map[string][]string
	Statuses []ZoneStatus
}

// Evaluate works out where a release stands at now. A host without the release cannot have confirmed an
// earlier one after the commit, so that its keyed work ends a grace after the commit at the latest.
func Evaluate(now time.Time, in Input) Verdict {
	grace := in.Grace
	byZone := map[string]*ZoneStatus{}
	for i := range in.Statuses {
		s := &in.Statuses[i]
		byZone[s.Zone] = s
		grace = max(grace, s.Grace)
	}
	until := in.Committed.Add(grace + clockMargin)
	v := Verdict{Release: in.Release, Accepted: true}
	for _, zone := range zonesOf(in, byZone) {
		z := evaluateZone(now, in, zone, byZone[zone], until)
		v.Zones = append(v.Zones, z)
		if z.State == Late || z.State == CutOff {
			v.Accepted = false
			v.By = until
		}
	}
	return v
}

func zonesOf(in Input, byZone map[string]*ZoneStatus) []string {
	var out []string
	for z := range in.Hosts {
		out = append(out, z)
	}
	for z := range byZone {
		if _, ok := in.Hosts[z]; !ok {
			out = append(out, z)
		}
	}
	sort.Strings(out)
	return out
}

func evaluateZone(now time.Time, in Input, zone string, s *ZoneStatus, until time.Time) Zone {
	z := Zone{Zone: zone}
	if s != nil {
		z.Release = s.Release
	}
	z.Missing = missing(in, zone, s)
	acked := s != nil && s.Release >= in.Release && len(z.Missing) == 0
	switch {
	case acked:
		z.State = InForce
	case !now.Before(until):
		z.State, z.Until = Expired, until
	case s == nil || now.Sub(s.Time) >= staleAfter:
		z.State, z.Until = CutOff, until
	default:
		z.State, z.Until = Late, until
	}
	return z
}

// missing lists the hosts of a zone that are not known to have the release.
func missing(in Input, zone string, s *ZoneStatus) []string {
	var out []string
	known := s != nil && s.Release >= in.Release
	for _, h := range in.Hosts[zone] {
		if !known || !slices.Contains(s.Acked, h) {
			out = append(out, h)
		}
	}
	if s == nil {
		sort.Strings(out)
		return out
	}
	for _, h := range s.Late {
		if h.Release < in.Release && !slices.Contains(out, h.Name) {
			out = append(out, h.Name)
		}
	}
	if !known {
		for _, h := range s.Acked {
			if !slices.Contains(out, h) {
				out = append(out, h)
			}
		}
	}
	sort.Strings(out)
	return out
}
