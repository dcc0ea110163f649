package station

import (
	"context"
	"time"

	"shallotramp/internal/capacity/supply"
	"shallotramp/internal/fleet/lease"
	"shallotramp/internal/usage/tally"
)

const (
	// dutyRole is the lease of the host that reports usage and orders servers.
	dutyRole = "duties"
	// settleTime is how long after its end a window is reported: the hosts' last words have come by then.
	settleTime = 2500 * time.Millisecond
	// retryDuty is the time between two tries of a call.
	retryDuty = 700 * time.Millisecond
	// warmUp is how long a new holder listens before it reports: each host tells its counts within a second.
	warmUp = 1500 * time.Millisecond
)

// Duties are the calls that one host at a time makes, under a fencing number.
type Duties interface {
	// Report sends the requests of a usage window by organisation.
	Report(ctx context.Context, fence uint64, window int64, counts map[string]int64) error
	// Order asks for n servers of a service in an availability zone.
	Order(ctx context.Context, fence uint64, service, zone string, spot bool, n int) error
}

// leaseConfig derives the lease's times from its term.
func leaseConfig(term time.Duration) lease.Config {
	c := lease.DefaultConfig()
	c.Term = term
	c.Margin, c.Guard = term/10, term/10
	c.Renew, c.Poll, c.Retry = term/3, term/8, 200*time.Millisecond
	return c
}

func (s *Station) leaseChanged(c lease.Change) {
	s.log.Info().Str("Event", "Lease").Str("Role", c.Role).Stringer("From", c.From).Stringer("To", c.To).
		Stringer("Cause", c.Event).Uint64("Fence", c.Fence).Send()
}

// dutyState is what the holder remembers between two looks.
type dutyState struct {
	fence   uint64
	since   time.Time
	next    tally.Window
	tried   time.Time
	planner *supply.Planner
	frozen  map[tally.Window]tally.Counts
	ordered time.Time
}

func newDutyState() *dutyState {
	return &dutyState{planner: supply.New(), frozen: map[tally.Window]tally.Counts{}}
}

// duties does what is due, if this host holds the lease.
func (s *Station) duties(ctx context.Context, d *dutyState) {
	if s.duty == nil {
		return
	}
	now := time.Now()
	fence, ok := s.duty.Held(now)
	if !ok {
		d.fence = 0
		return
	}
	if d.fence != fence {
		d.fence, d.since = fence, now
		d.planner.Reset()
		d.next = 0
	}
	if s.cfg.Orders {
		s.order(ctx, d, now)
	}
	if s.cfg.ReportsUsage && now.Sub(d.since) >= warmUp {
		s.report(ctx, d, now)
	}
}

// report sends the oldest window that is over and not reported yet.
func (s *Station) report(ctx context.Context, d *dutyState, now time.Time) {
	at := s.clock.Now()
	if d.next == 0 {
		// A predecessor may have reported these: an equal report changes nothing.
		d.next = s.tally.Window(at.Add(-s.cfg.UsageDue))
	}
	if at.Sub(s.tally.End(d.next)) < settleTime || now.Sub(d.tried) < retryDuty {
		return
	}
	counts := s.tally.Total(d.next)
	fence, ok := s.duty.Held(time.Now())
	if !ok {
		return
	}
	d.tried = now
	err := s.platform.Duties.Report(ctx, fence, int64(d.next), counts)
	s.log.Info().Str("Event", "UsageReported").Int64("Window", int64(d.next)).Interface("Counts", counts).
		Uint64("Fence", fence).Err(err).Send()
	if err == nil {
		d.next++
		d.tried = time.Time{}
	}
}

// order sends what the planner wants.
func (s *Station) order(ctx context.Context, d *dutyState, now time.Time) {
	table := s.edge.Table()
	if table == nil || !s.listed.Load() {
		return
	}
	servers := *s.servers.Load()
	for _, svc := range table.Services {
		for _, o := range d.planner.Plan(now, svc, servers, nil) {
			fence, ok := s.duty.Held(time.Now())
			if !ok {
				return
			}
			err := s.platform.Duties.Order(ctx, fence, o.Service, o.Zone, o.Spot, o.Count)
			s.log.Info().Str("Event", "ServersOrdered").Str("Service", o.Service).Str("Zone", o.Zone).Bool("Spot", o.Spot).
				Int("Count", o.Count).Uint64("Fence", fence).Err(err).Send()
			switch {
			case err == nil:
				d.planner.Confirmed(time.Now(), o)
			default:
				d.planner.Refused(time.Now(), o)
			}
		}
	}
}

// resign gives the duties up, so that a successor need not wait for the term.
func (s *Station) resign() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := s.duty.Resign(ctx); err != nil {
		s.log.Warn().Str("Event", "ResignFailed").Err(err).Send()
	}
}
