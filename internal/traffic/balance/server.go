package balance

import (
	"math"
	"slices"
	"time"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/traffic/dispatch"
)

const (
	// slowStart is the time in which the limit of a new or returned server rises to the full one.
	slowStart = 10 * time.Second
	// minQuotaInterval is the shortest time between two draws of a quota: the time that hosts take to report to
	// each other. A quota lasts for the measured mean time between two reports of a peer if that is longer.
	minQuotaInterval = 250 * time.Millisecond
	// recheckInterval is how often a server without room for all tiers is updated when no event does so.
	recheckInterval = 250 * time.Millisecond
	// staleReportAge is the age from which a load report no longer counts for the work of other hosts.
	staleReportAge = 15 * time.Second
	// maxChanges bounds the changes that are kept since the last report.
	maxChanges = 256
	// overcommitShare is the number of slots, as a share of a server's limit, that the top tier may use
	// beyond the limit: the engine becomes a little slower, but the first token does not wait for a free slot.
	overcommitShare = 0.25
	// remoteReserveShare is the share of a server's slots that hosts of other zones leave free.
	remoteReserveShare = 0.3
	// unattributedWeight is the weight of a new report in the mean of unattributed requests when there are peers.
	unattributedWeight = 0.2
	// fullSpeed is the relative speed from which a server has the configured concurrency limit.
	fullSpeed = 0.8
)

// roomLevel tells for which tiers a server has room.
type roomLevel int8

const (
	// noRoom servers get no requests.
	noRoom roomLevel = iota - 1
	// regularRoom servers have room for any tier, overcommitRoom servers for the top tier only.
	regularRoom
	overcommitRoom

	// roomLevels is the number of levels with room.
	roomLevels = 2
)

// server is the state of one backend server.
type server struct {
	spec *object.BackendServerSpec
	pool *pool
	// removed is set when the current release does not have the server any more.
	removed bool
	// remote and reclaimable are 0 or 1, to index the buckets of a targetList.
	remote      int
	reclaimable int
	role        dispatch.Role

	// leaving and gone are set by [Balancer.Server], reportedLeaving by load reports. A load report measured after
	// goneAt clears gone.
	leaving, reportedLeaving, gone bool
	goneAt, slowStartAt            time.Time
	// saysLeaving is set if the server has said in an answer that it will stop. closedUntil is the time until which it takes
	// no requests of this host.
	saysLeaving bool
	closedUntil time.Time
	// usable is the last result of available.
	usable bool

	// ownAttempts counts this host's attempts, generating those of them that have generated tokens, and
	// peerAttempts those that the peers reported. unattributed estimates the requests of the load reports
	// that belong to neither. remoteUsers counts the peers of other zones that have requests on the server.
	ownAttempts, generating, peerAttempts, remoteUsers int
	unattributed                                       float64
	reportAt                                           time.Time
	// changes holds the starts and ends of own attempts since the last report.
	changes []change
	// quota is how many more attempts this host may send before the next draw.
	quota   int
	quotaAt time.Time

	// speed is relative to the mean of the pool. tokenRate is the server's tokens per second in one stream,
	// 0 when it was not measured.
	speed, tokenRate          float64
	tokenRateAt, lastProgress time.Time

	// failures counts the failures since the last completion.
	failures     int
	ejected      bool
	ejectedUntil time.Time
	// ejections counts the ejections since the last completion.
	ejections int

	// loaded is nil when the server does not report what it has loaded.
	loaded       map[string]bool
	loadedList   []string
	memberships  []membership
	level        roomLevel
	recheckAt    time.Time
	recheckIndex int

	cache cacheView
}

// change is a start (1) or an end (-1) of an own attempt.
type change struct {
	at    time.Time
	delta int
}

// configure applies the server's spec and resets its place in the lists.
func (v *server) configure(spec *object.BackendServerSpec, p *pool, zone string) {
	v.spec, v.pool = spec, p
	v.memberships, v.level, v.recheckAt, v.recheckIndex = nil, noRoom, time.Time{}, -1
	v.reclaimable, v.remote = 0, 0
	if spec.Zone != zone {
		v.remote = 1
	}
	if spec.Reclaimable {
		v.reclaimable = 1
	}
	if v.speed == 0 {
		v.speed = v.defaultSpeed()
	}
}

// defaultSpeed is the relative speed that is used until it was measured.
func (v *server) defaultSpeed() float64 {
	if v.spec.Speed > 0 {
		return v.spec.Speed
	}
	return 1
}

func (v *server) addAttempt(now time.Time) {
	v.ownAttempts++
	v.quota--
	v.recordChange(now, 1)
}

func (v *server) removeAttempt(now time.Time, generating bool) {
	v.ownAttempts--
	// This host may use the freed slot again, because no other host knows of it yet.
	v.quota++
	if generating {
		v.generating--
	}
	v.recordChange(now, -1)
}

func (v *server) recordChange(now time.Time, delta int) {
	if len(v.changes) >= maxChanges {
		v.changes = append(v.changes[:0], v.changes[maxChanges/2:]...)
	}
	v.changes = append(v.changes, change{now, delta})
}

// applyReport applies a load report. Own attempts that started after the report was measured are not in it, and
// own attempts that ended since still are.
func (v *server) applyReport(l dispatch.Load, hasPeers bool) {
	ownThen := v.ownAttempts
	kept := v.changes[:0]
	for _, c := range v.changes {
		if c.at.After(l.At) {
			ownThen -= c.delta
			kept = append(kept, c)
		}
	}
	v.changes = kept
	unattributed := float64(l.Running + l.Waiting - ownThen - v.peerAttempts)
	if hasPeers {
		// The peers' counts and the load report are of different moments. Only a difference that lasts is work
		// of others, hence the running mean.
		unattributed = v.unattributed + unattributedWeight*(unattributed-v.unattributed)
	}
	v.unattributed = max(0, unattributed)
	v.reportAt = l.At
	v.reportedLeaving = l.Leaving
	if v.gone && l.At.After(v.goneAt) {
		v.gone = false
		v.slowStartAt = l.At
		v.startAgain()
	}
}

// startAgain drops what the server said about itself before it ended.
func (v *server) startAgain() { v.saysLeaving, v.closedUntil = false, time.Time{} }

// setLoaded sets the list of what the server has loaded, and returns whether it changed. A server with an empty
// list is assumed to have loaded everything.
func (v *server) setLoaded(list []string) bool {
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

// outstanding estimates how many requests the server has now, running and waiting.
func (v *server) outstanding(now time.Time) int {
	n := v.ownAttempts + v.peerAttempts
	if now.Sub(v.reportAt) < staleReportAge {
		n += int(v.unattributed)
	}
	return n
}

// concurrencyLimit is how many requests the server should have now. It is lower for a slow server and in a slow start.
func (v *server) concurrencyLimit(now time.Time) int {
	limit := float64(v.pool.concurrency)
	if v.speed < fullSpeed {
		limit *= v.speed
	}
	if age := now.Sub(v.slowStartAt); age < slowStart {
		limit *= float64(age) / float64(slowStart)
	}
	return max(1, int(math.Ceil(limit)))
}

// available reports whether the server may get requests now.
func (v *server) available(now time.Time) bool {
	return !v.removed && !v.spec.Leaving && !v.gone && !v.leaving && !v.reportedLeaving && !v.saysLeaving && !(v.ejected && now.Before(v.ejectedUntil))
}

// currentLevel returns for which tiers the server has room for one more attempt of this host. When peers compete for
// the server, this host needs quota, or must have less than its share of the limit on a server of its own zone.
func (v *server) currentLevel(now time.Time, peerWeight float64, reserved int) roomLevel {
	if !v.available(now) {
		return noRoom
	}
	limit := v.concurrencyLimit(now)
	free := limit - v.outstanding(now)
	if free > reserved && (peerWeight <= 0 || v.quota > 0 || v.remote == 0 && v.ownAttempts < int(float64(limit)/(1+peerWeight))) {
		return regularRoom
	}
	if free+int(overcommitShare*float64(limit)) > 0 {
		return overcommitRoom
	}
	return noRoom
}

// reservedSlots is how many free slots of a server in another zone are left to other hosts while peers of other zones
// have requests waiting, because what this host knows of them is outdated.
func (b *Balancer) reservedSlots(now time.Time, v *server) int {
	if v.spec.Zone == b.zone || b.remotePeersWaiting == 0 {
		return 0
	}
	return int(math.Ceil(remoteReserveShare * float64(v.concurrencyLimit(now))))
}

// update recomputes the server's state, moves it to the lists of its room level, and schedules the next recheck.
func (b *Balancer) update(now time.Time, v *server) {
	if v.removed {
		return
	}
	b.detectStall(now, v)
	ok := v.available(now)
	if ok != v.usable {
		v.usable = ok
		v.pool.usable += sign(ok)
	}
	peerWeight := b.peerWeight[v.spec.Zone] + float64(v.remoteUsers)
	if peerWeight > 0 && now.Sub(v.quotaAt) >= b.quotaInterval() {
		b.drawQuota(now, v, peerWeight)
	}
	l := v.currentLevel(now, peerWeight, b.reservedSlots(now, v))
	wait := b.untilTaken(now, v)
	if wait > 0 {
		l = noRoom
	}
	if l != v.level {
		v.moveTo(l)
	}
	if v.level != regularRoom && !v.gone && !v.leaving {
		next := b.nextRecheck(now, v)
		if wait > 0 {
			next = now.Add(min(wait, next.Sub(now)))
		}
		b.scheduleRecheck(v, next)
	}
}

func sign(b bool) int {
	if b {
		return 1
	}
	return -1
}

func (b *Balancer) quotaInterval() time.Duration {
	return max(minQuotaInterval, time.Duration(b.peerReportInterval.valueOr(0)*float64(time.Second)))
}

// drawQuota sets how many of the server's free slots this host may use until the next draw. The share of the host is
// rounded at random, so that the quotas of all hosts add up to the free slots on average.
func (b *Balancer) drawQuota(now time.Time, v *server, peerWeight float64) {
	free := float64(v.concurrencyLimit(now) - v.outstanding(now))
	share := max(0, free/(1+peerWeight))
	v.quota = int(share)
	if b.rng.Float64() < share-float64(v.quota) {
		v.quota++
	}
	v.quotaAt = now
}

// nextRecheck is the time at which the server may have more room although no event reported it.
func (b *Balancer) nextRecheck(now time.Time, v *server) time.Time {
	if v.ejected && now.Before(v.ejectedUntil) {
		return v.ejectedUntil
	}
	return now.Add(recheckInterval)
}
