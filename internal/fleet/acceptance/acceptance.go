// Package acceptance determines in which zones a release, a numbered version of the
// configuration, is in force. A release is in force on a host that uses it. It is
// committed by the conditional update of the head, the platform object that names
// the newest release. It is accepted when each host has acknowledged it or no
// longer serves requests with API keys, because the host could not confirm that its
// own release is the newest for longer than the CutOffGrace of every organisation.
// So a withdrawn key is reported as withdrawn only when no host accepts it any
// more.
//
// The relay of a zone is the host that reports the acknowledgements of the zone's
// hosts, as a [ZoneStatus] in the platform's store.
package acceptance

import (
	"slices"
	"sort"
	"time"
)

//go:generate go tool stringer -type State -output state_string.go

// Kind is the kind of the objects in the platform's store that hold a [ZoneStatus]. They are named by zone.
const Kind = "ZoneStatus"

const (
	// StatusInterval is the interval at which a relay rewrites an unchanged status.
	StatusInterval = 30 * time.Second
	// staleAfter is the age from which a status no longer shows that its zone is connected.
	staleAfter = 3 * StatusInterval
	// clockMargin is added to the grace, because the clocks of hosts, publisher and reader may differ.
	clockMargin = 5 * time.Second
)

// ZoneStatus is what a relay reports about the hosts of its zone.
type ZoneStatus struct {
	Zone  string
	Relay string
	// Release is the newest release that the relay knows, and Acked names the hosts that have it in force.
	Release uint64
	Acked   []string
	Late    []LateHost `json:",omitempty"`
	// Grace is the longest CutOffGrace of an organisation in the relay's release.
	Grace time.Duration
	// Confirmed is when the relay's release was last known to be the newest, and Time when this status was written.
	Confirmed time.Time `json:",omitzero"`
	Time      time.Time
}

// LateHost is a host that is not known to have the release in force.
type LateHost struct {
	Name    string
	Release uint64
	// Silent is set when the host is not alive at present, as far as the relay knows.
	Silent bool `json:",omitempty"`
}

// Equal reports whether both statuses are the same, apart from Confirmed and Time.
func (z *ZoneStatus) Equal(o *ZoneStatus) bool {
	return z.Zone == o.Zone && z.Relay == o.Relay && z.Release == o.Release && z.Grace == o.Grace &&
		slices.Equal(z.Acked, o.Acked) && slices.Equal(z.Late, o.Late)
}

// Merge adds the acknowledgements of old, because a host never goes back to an earlier release. In a partitioned
// zone with two relays, each relay thus keeps the acknowledgements that the other one has written.
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

// State is the state of a release in a zone.
type State uint8

// The states of a release in a zone.
const (
	// InForce means that each host of the zone has the release in force.
	InForce State = iota
	// Late means that the zone is connected, but not all of its hosts have the release in force.
	Late
	// CutOff means that no recent status has come from the zone. Its hosts may serve requests with API keys under an
	// earlier release until Zone.Until.
	CutOff
	// Expired means that the hosts without the release no longer serve requests with API keys.
	Expired
)

// MarshalText returns the name of s.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Zone reports the state of a release in one zone.
type Zone struct {
	Zone  string
	State State
	// Release is the newest release that the zone is known to have.
	Release uint64
	// Missing names the hosts that have not acknowledged the release.
	Missing []string
	// Until is the latest time at which a host may serve requests with API keys under an earlier release. It is zero
	// if the release is in force.
	Until time.Time
}

// Verdict reports whether a release is accepted, and its state in each zone.
type Verdict struct {
	Release  uint64
	Accepted bool
	Zones    []Zone
	// By is when the release will be accepted at the latest. It is zero if the release is accepted.
	By time.Time
}

// Input has the data that [Evaluate] needs.
type Input struct {
	// Release is the number of the committed release, and Committed the time of the commit.
	Release   uint64
	Committed time.Time
	// Grace is the longest CutOffGrace of an organisation, in this release and in earlier ones that may still be in
	// force.
	Grace time.Duration
	// Hosts has the names of the hosts that are registered on the platform, by zone.
	Hosts    map[string][]string
	Statuses []ZoneStatus
}

// Evaluate determines the state of a release at now. A host without the release cannot have confirmed an earlier
// one after the commit. It therefore stops serving requests with API keys at the latest when the grace after the
// commit has run out.
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

// missing returns the hosts of a zone that are not known to have the release in force.
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
