package balance

import (
	"math"
	"slices"
	"time"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/traffic/dispatch"
)

const (
	// slowStart is how long a new or returned server takes to be filled.
	slowStart = 10 * time.Second
	// minShare is the shortest time after which a host's share of a server's free room is drawn
	// anew; it is as long as the hosts take to report.
	minShare = 250 * time.Millisecond
	// wakeInterval is how often a server without room is looked at though nothing happens.
	wakeInterval = 250 * time.Millisecond
	// staleReport is the age from which a load report says nothing of other hosts' work any more.
	staleReport = 15 * time.Second
	// maxChanges bounds the changes of own work kept since the last report.
	maxChanges = 256
	// overcommit is the share of a server's places that the first tier may use beyond the others:
	// an engine that is filled a little more is slower, but a first token need not wait for a place.
	overcommit = 0.25
	// farSpare is the share of a server's places that hosts of other zones leave free.
	farSpare = 0.3
	// foreignWeight is how much a report counts in the mean of unknown work when other hosts are known.
	foreignWeight = 0.2
	// fullSpeed is the relative speed from which a server is filled as configured.
	fullSpeed = 0.8
)

// level is how much room a server has.
type level int8

const (
	// closed servers get no work.
	closed level = iota - 1
	// roomy servers have room for any tier, packed ones for the first tier only.
	roomy
	packed

	levels = 2
)

// server is what is known of one backend server.
type server struct {
	spec    *object.BackendServerSpec
	pool    *pool
	removed bool
	remote  int
	cheap   int
	role    dispatch.Role

	leaving, leavingLoad, gone bool
	goneAt, slowSince          time.Time
	usable                     bool

	// own counts this host's attempts, streams those that have generated tokens, others those that the peers told of, and foreign
	// those of the load reports that belonged to neither. users counts the peers of other zones
	// that have work on the server.
	own, streams, others, users int
	foreign                     float64
	reportAt                    time.Time
	changes                     []change
	// grant is how many more attempts this host may send before its share is drawn anew.
	grant   int
	grantAt time.Time

	// speed relates the server to its pool, rate is its tokens a second in one stream, 0 for unknown.
	speed, rate      float64
	rateAt, progress time.Time

	failures     int
	ejected      bool
	ejectedUntil time.Time
	ejections    int

	// loaded is nil when the server tells nothing.
	loaded     map[string]bool
	loadedList []string
	slots      []slot
	level      level
	wakeAt     time.Time
	wakeIndex  int

	cache cacheView
}

// change is a start or an end of own work.
type change struct {
	at    time.Time
	delta int
}

// adopt takes the server's configuration.
func (v *server) adopt(spec *object.BackendServerSpec, p *pool, zone string) {
	v.spec, v.pool = spec, p
	v.slots, v.level, v.wakeAt, v.wakeIndex = nil, closed, time.Time{}, -1
	v.cheap, v.remote = 0, 0
	if spec.Zone != zone {
		v.remote = 1
	}
	if spec.Reclaimable {
		v.cheap = 1
	}
	if v.speed == 0 {
		v.speed = v.usualSpeed()
	}
}

// usualSpeed is the relative speed that is assumed without measurements.
func (v *server) usualSpeed() float64 {
	if v.spec.Speed > 0 {
		return v.spec.Speed
	}
	return 1
}

func (v *server) enter(now time.Time) {
	v.own++
	v.grant--
	v.change(now, 1)
}

func (v *server) leave(now time.Time, generating bool) {
	v.own--
	// The place is this host's to fill again: no other host knows of it yet.
	v.grant++
	if generating {
		v.streams--
	}
	v.change(now, -1)
}

func (v *server) change(now time.Time, delta int) {
	if len(v.changes) >= maxChanges {
		v.changes = append(v.changes[:0], v.changes[maxChanges/2:]...)
	}
	v.changes = append(v.changes, change{now, delta})
}

// report takes a load report. Own work that began after it was measured is not in it,
// and own work that ended since still is.
func (v *server) report(l dispatch.Load, peers bool) {
	then := v.own
	kept := v.changes[:0]
	for _, c := range v.changes {
		if c.at.After(l.At) {
			then -= c.delta
			kept = append(kept, c)
		}
	}
	v.changes = kept
	unknown := float64(l.Running + l.Waiting - then - v.others)
	if peers {
		// What the peers told is of another moment than the report: only what stays is others' work.
		unknown = v.foreign + foreignWeight*(unknown-v.foreign)
	}
	v.foreign = max(0, unknown)
	v.reportAt = l.At
	v.leavingLoad = l.Leaving
	if v.gone && l.At.After(v.goneAt) {
		v.gone = false
		v.slowSince = l.At
	}
}

// load takes the list of what the server has loaded, and returns whether it changed. A server
// that tells nothing is taken to have loaded all.
func (v *server) load(list []string) bool {
	if slices.Equal(list, v.loadedList) {
		return false
	}
	v.loadedList = append([]string(nil), list...)
	v.loaded = nil
	if len(list) > 0 {
		v.loaded = make(map[string]bool, len(list))
		for _, s := range list {
			v.loaded[s] = true
		}
	}
	return true
}

// outstanding estimates the requests that the server has now.
func (v *server) outstanding(now time.Time) int {
	n := v.own + v.others
	if now.Sub(v.reportAt) < staleReport {
		n += int(v.foreign)
	}
	return n
}

// limit is how many requests the server should have now: a slow or a new one has fewer.
func (v *server) limit(now time.Time) int {
	c := float64(v.pool.concurrency)
	if v.speed < fullSpeed {
		c *= v.speed
	}
	if age := now.Sub(v.slowSince); age < slowStart {
		c *= float64(age) / float64(slowStart)
	}
	return max(1, int(math.Ceil(c)))
}

// available reports whether the server may get any work now.
func (v *server) available(now time.Time) bool {
	return !v.removed && !v.spec.Leaving && !v.gone && !v.leaving && !v.leavingLoad && !(v.ejected && now.Before(v.ejectedUntil))
}

// room returns how much room the server has for one more attempt of this host.
func (v *server) room(now time.Time, contenders float64, spare int) level {
	if !v.available(now) {
		return closed
	}
	limit := v.limit(now)
	free := limit - v.outstanding(now)
	if free > spare && (contenders <= 0 || v.grant > 0 || v.remote == 0 && v.own < int(float64(limit)/(1+contenders))) {
		return roomy
	}
	if free+int(overcommit*float64(limit)) > 0 {
		return packed
	}
	return closed
}

// spare is how many places of a server of another zone are left to the hosts there while they have
// work waiting: what this host knows of them is late.
func (b *Balancer) spare(now time.Time, v *server) int {
	if v.spec.Zone == b.zone || b.farWaits == 0 {
		return 0
	}
	return int(math.Ceil(farSpare * float64(v.limit(now))))
}

// update brings the server's place in the lists up to date.
func (b *Balancer) update(now time.Time, v *server) {
	if v.removed {
		return
	}
	b.stall(now, v)
	ok := v.available(now)
	if ok != v.usable {
		v.usable = ok
		v.pool.usable += sign(ok)
	}
	contenders := b.contenders[v.spec.Zone] + float64(v.users)
	if contenders > 0 && now.Sub(v.grantAt) >= b.shareInterval() {
		b.share(now, v, contenders)
	}
	if l := v.room(now, contenders, b.spare(now, v)); l != v.level {
		v.list(l)
	}
	if v.level != roomy && !v.gone && !v.leaving {
		b.wake(v, b.wakeTime(now, v))
	}
}

func sign(b bool) int {
	if b {
		return 1
	}
	return -1
}

func (b *Balancer) shareInterval() time.Duration {
	return max(minShare, time.Duration(b.heard.or(0)*float64(time.Second)))
}

// share draws how much of the server's free room this host may fill until it hears of the others
// again. All hosts' shares add up to the free room on average.
func (b *Balancer) share(now time.Time, v *server, contenders float64) {
	free := float64(v.limit(now) - v.outstanding(now))
	part := max(0, free/(1+contenders))
	v.grant = int(part)
	if b.rng.Float64() < part-float64(v.grant) {
		v.grant++
	}
	v.grantAt = now
}

// wakeTime is when a server without room may have some though nothing happens.
func (b *Balancer) wakeTime(now time.Time, v *server) time.Time {
	if v.ejected && now.Before(v.ejectedUntil) {
		return v.ejectedUntil
	}
	return now.Add(wakeInterval)
}
