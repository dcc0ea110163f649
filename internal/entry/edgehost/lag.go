package edgehost

import "time"

// versionLag finds out for how long other hosts have had a newer version of an object than this host. New versions may
// come faster than they are acted upon, and hosts may report different ones, so each version keeps the time at which it
// was first reported.
type versionLag struct {
	// reports lists the newer versions that were reported, in increasing order of version and time.
	reports []versionReport
}

type versionReport struct {
	version int64
	at      time.Time
}

// maxVersionReports bounds the newer versions that are remembered while this host cannot read them.
const maxVersionReports = 64

// report records that another host has a version.
func (l *versionLag) report(version int64, now time.Time) {
	if n := len(l.reports); n < maxVersionReports && (n == 0 || version > l.reports[n-1].version) {
		l.reports = append(l.reports, versionReport{version, now})
	}
}

// behindFor returns the time since the first report of a version newer than own, or 0.
func (l *versionLag) behindFor(own int64, now time.Time) time.Duration {
	n := 0
	for n < len(l.reports) && l.reports[n].version <= own {
		n++
	}
	l.reports = l.reports[n:]
	if len(l.reports) == 0 {
		return 0
	}
	return now.Sub(l.reports[0].at)
}

// newest returns the newest version that was reported and is newer than this host's at the last call of behindFor, or 0.
func (l *versionLag) newest() int64 {
	if len(l.reports) == 0 {
		return 0
	}
	return l.reports[len(l.reports)-1].version
}
