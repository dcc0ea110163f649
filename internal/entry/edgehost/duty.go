package edgehost

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"shallotramp/internal/capacity/supply"
	"shallotramp/internal/fleet/lease"
	"shallotramp/internal/provider/store"
	"shallotramp/internal/usage/tally"
	"shallotramp/internal/usage/usagestore"
)

const (
	// dutiesLease names the lease of the host that performs the [Duties].
	dutiesLease = "duties"
	// missingCountsWaitPercent is the part of Config.UsageDue for which the holder waits for hosts whose last counts
	// are missing, as they may be disconnected for some seconds. The rest is left for retries of failed calls.
	missingCountsWaitPercent = 60
	// usageRetryInterval is the time between a failed update of the usage counts and the next attempt.
	usageRetryInterval = 700 * time.Millisecond
	// saveInterval is the time between two writes of the counts of open windows. If all hosts stop at once, at most
	// the counts of this time are lost.
	saveInterval = time.Second
	// holderSilenceTimeout is how long this host waits for a message from the holder before it reads the lease.
	holderSilenceTimeout = 1500 * time.Millisecond
	// warmUp is how long a host that starts, or that takes the duties lease, waits until it has received the counts
	// of all others: each sends them within a second.
	warmUp = 1200 * time.Millisecond
)

// Duties are the calls to the platform that only the holder of the duties lease makes. Each carries the lease's fencing
// number, so that the platform can reject calls of an earlier holder.
type Duties interface {
	// Report sends the number of requests of each organisation in a usage window.
	Report(ctx context.Context, fence uint64, window int64, counts map[string]int64) error
	// Order requests n backend servers of a service in an availability zone. An error with a method Rejected that returns
	// true says that the platform refused the order; after any other error it may still carry the order out.
	Order(ctx context.Context, fence uint64, service, zone string, spot bool, n int) error
}

// leaseConfig derives the intervals of the lease from its term.
func leaseConfig(term time.Duration) lease.Config {
	c := lease.DefaultConfig()
	c.Term = term
	c.SuccessorMargin, c.HolderMargin = term/10, term/10
	// The holder announces itself to the other hosts by gossip. Polling the lease is only a fallback.
	c.RenewInterval, c.PollInterval, c.RetryDelay = term/3, 4*term, 200*time.Millisecond
	c.RequireHint = true
	return c
}

func (h *Host) logLeaseChange(c lease.Change) {
	h.log.Info().Str("Event", "Lease").Str("Role", c.Role).Stringer("From", c.From).Stringer("To", c.To).
		Stringer("Cause", c.Event).Uint64("Fence", c.Fence).Send()
}

// dutyState is the holder's state between two runs of its duties.
type dutyState struct {
	fence       uint64
	heldSince   time.Time
	planner     *supply.Planner
	usageRecord *usagestore.CachedRecord
	// savedAt is when usageRecord was last written, and failedAt when a usage update last failed.
	savedAt, failedAt time.Time
	// lastReported is the newest window that this host has reported since it took the lease.
	lastReported tally.Window
}

func newDutyState(st store.Store) *dutyState {
	return &dutyState{planner: supply.New(), usageRecord: usagestore.New(st)}
}

// runDuties performs the duties that are due if this host holds the lease.
func (h *Host) runDuties(ctx context.Context, d *dutyState) {
	if h.dutyLease == nil {
		return
	}
	now := time.Now()
	fence, ok := h.dutyLease.Held(now)
	h.gossip.SetHolder(ok)
	if !ok {
		d.fence = 0
		h.checkHolder(now)
		return
	}
	if d.fence != fence {
		d.fence, d.heldSince, d.lastReported = fence, now, 0
		d.planner.Reset()
		d.usageRecord.MarkStale(!h.dutyLease.Continues())
	}
	if h.cfg.OrdersServers {
		h.orderServers(ctx, d, now)
	}
	if h.cfg.ReportsUsage && now.Sub(d.failedAt) >= usageRetryInterval {
		if err := h.updateUsage(ctx, d, now); err != nil {
			d.failedAt = now
			h.log.Warn().Str("Event", "UsageDelayed").Uint64("Fence", fence).Err(err).Send()
		}
	}
}

// checkHolder makes the lease manager read the lease if no other host has recently said that it holds the lease.
func (h *Host) checkHolder(now time.Time) {
	holderLost := false
	for _, m := range h.gossip.Members(now) {
		if m.Holder && now.Sub(m.LastSeen) < holderSilenceTimeout {
			h.holderCheckedAt, h.lastHolder = now, m.Host
			return
		}
		holderLost = holderLost || m.Host == h.lastHolder
	}
	// Only hosts that watch the store themselves read the lease: they are enough candidates. If the last holder is
	// alive and says that it no longer holds the lease, there is no need to wait for the timeout.
	if (holderLost || now.Sub(h.holderCheckedAt) > holderSilenceTimeout) && len(h.neighbours()) == 0 {
		h.holderCheckedAt, h.lastHolder = now, ""
		h.leases.Hint(dutiesLease)
	}
}

// updateUsage writes the counts of all hosts to the store, freezes the counts of windows that are over, and reports the
// frozen counts. Package usagestore explains why counts are frozen before they are reported.
func (h *Host) updateUsage(ctx context.Context, d *dutyState, now time.Time) error {
	if !d.usageRecord.Loaded() {
		open, err := d.usageRecord.Load(ctx)
		if err != nil {
			return err
		}
		for host, windows := range open {
			h.tally.Merge(host, windows)
		}
		if d.usageRecord.Incomplete() {
			h.skipEndedWindows(d)
		}
	}
	frozen := h.countsToFreeze(d, now)
	if len(frozen) > 0 || now.Sub(d.savedAt) >= saveInterval {
		if err := d.usageRecord.Save(ctx, frozen, h.tally.All()); err != nil {
			return err
		}
		d.savedAt = now
	}
	return h.reportUsage(ctx, d)
}

// skipEndedWindows gives up the windows that have ended. The store was restored from a copy or has no record yet. In the
// first case an earlier holder may have reported them with counts that this host does not know, and a second report with
// other counts would be wrong. In the second there was no usage.
func (h *Host) skipEndedWindows(d *dutyState) {
	last := h.tally.Window(h.clock.Now()) - 1
	if reported := d.usageRecord.Reported(); reported > 0 {
		h.log.Warn().Str("Event", "UsageSkipped").Int64("Reported", int64(reported)).Int64("Through", int64(last)).Send()
	}
	d.usageRecord.SetReported(last)
}

// countsToFreeze returns the counts of windows that are over and not frozen yet. It stops at the first window for which
// the last counts of a host are missing and may still arrive.
func (h *Host) countsToFreeze(d *dutyState, now time.Time) map[tally.Window]tally.Counts {
	out := map[tally.Window]tally.Counts{}
	trueNow := h.clock.Now()
	live, replaced := h.liveProcesses(now)
	for w := max(h.oldestReportable(), d.usageRecord.Reported()+1); h.tally.End(w).Before(trueNow); w++ {
		if _, ok := d.usageRecord.Frozen(w); ok {
			continue
		}
		complete := h.countsCompleteFrom.Before(h.tally.End(w-1)) && h.gossip.SendsCountsToAll() || now.Sub(d.heldSince) >= warmUp
		if late := trueNow.Sub(h.tally.End(w)) > missingCountsWaitPercent*h.cfg.UsageDue/100; !late && !(complete && h.tally.AllReceived(w, live, replaced)) {
			break
		}
		out[w] = h.tally.Total(w)
	}
	return out
}

// liveProcesses returns the other processes that recently sent a packet. The function replaced reports whether another
// process now runs on the host of the given one.
func (h *Host) liveProcesses(now time.Time) (live []string, replaced func(process string) bool) {
	hosts := map[string]string{hostName(h.processID): h.processID}
	for _, m := range h.gossip.Members(now) {
		if m.Host == "" {
			continue // Other hosts listed its address, but it has not sent a packet itself.
		}
		live = append(live, m.Host)
		hosts[hostName(m.Host)] = m.Host
	}
	return live, func(process string) bool {
		other, ok := hosts[hostName(process)]
		return ok && other != process
	}
}

// hostName returns the name of the host from the ID of one of its processes.
func hostName(process string) string {
	host, _, _ := strings.Cut(process, "/")
	return host
}

// oldestReportable returns the oldest window that is still considered for a report. To have a reserve, it goes back
// twice as far as a window can be reported in time.
func (h *Host) oldestReportable() tally.Window {
	return h.tally.Window(h.clock.Now().Add(-2 * (h.cfg.UsageDue + h.cfg.UsageWindow)))
}

// reportUsage sends the counts of frozen windows to the platform in order.
func (h *Host) reportUsage(ctx context.Context, d *dutyState) error {
	last := h.tally.Window(h.clock.Now())
	for w := max(h.oldestReportable(), d.usageRecord.Reported()+1, d.lastReported+1); w <= last; w++ {
		counts, ok := d.usageRecord.Frozen(w)
		if !ok {
			continue
		}
		fence, held := h.dutyLease.Held(time.Now())
		if !held {
			return nil
		}
		err := h.platform.Duties.Report(ctx, fence, int64(w), counts)
		h.log.Info().Str("Event", "UsageReported").Int64("Window", int64(w)).Interface("Counts", counts).
			Uint64("Fence", fence).Err(err).Send()
		if err != nil {
			return err
		}
		d.lastReported = w
		d.usageRecord.SetReported(w)
	}
	return nil
}

// orderServers sends the planner's orders for backend servers to the platform. It ends at an order that is not answered:
// the platform is slow or away, and by the next round there are newer numbers.
func (h *Host) orderServers(ctx context.Context, d *dutyState, now time.Time) {
	table := h.proxy.Table()
	if table == nil || !h.serversListed.Load() {
		return
	}
	servers := *h.servers.Load()
	h.mu.Lock()
	loads := h.serviceLoads
	h.mu.Unlock()
	evacuated := h.evacuatedZoneNames()
	for _, svc := range table.Services {
		for _, o := range supply.HoldEvacuated(d.planner.Plan(now, svc, servers, loads[svc.Name].Evacuated(svc, evacuated)), evacuated) {
			fence, ok := h.dutyLease.Held(time.Now())
			if !ok {
				return
			}
			sent := time.Now()
			err := h.platform.Duties.Order(ctx, fence, o.Service, o.Zone, o.Spot, o.Count)
			h.log.Info().Str("Event", "ServersOrdered").Str("Service", o.Service).Str("Zone", o.Zone).Bool("Spot", o.Spot).
				Int("Count", o.Count).Stringer("Cause", o.Cause).Float64("Load", o.Load).Int("Needed", o.Needed).
				Int("SpotReady", o.Ready).Int("SpotComing", o.Coming).Dur("InputAge", sent.Sub(now)).
				Uint64("Fence", fence).Err(err).Send()
			var answer interface{ Rejected() bool }
			switch {
			case err == nil:
				d.planner.Confirmed(time.Now(), o)
				countOrder(o, "accepted")
			case errors.As(err, &answer) && answer.Rejected():
				d.planner.Rejected(time.Now(), o)
				countOrder(o, "rejected")
			default:
				d.planner.Unanswered(time.Now(), o)
				countOrder(o, "unanswered")
				return
			}
		}
	}
}

func countOrder(o supply.Order, result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("shallotramp_servers_ordered_total{cause=%q,result=%q}", o.Cause.String(), result)).Inc()
}

// resignLease releases the duties lease, so that a successor need not wait for the end of the term.
func (h *Host) resignLease() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := h.dutyLease.Resign(ctx); err != nil {
		h.log.Warn().Str("Event", "ResignFailed").Err(err).Send()
	}
}
