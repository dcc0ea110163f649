package station

import (
	"context"
	"strings"
	"time"

	"shallotramp/internal/capacity/supply"
	"shallotramp/internal/fleet/lease"
	"shallotramp/internal/provider/store"
	"shallotramp/internal/usage/freeze"
	"shallotramp/internal/usage/tally"
)

const (
	// dutyRole is the lease of the host that reports usage and orders servers.
	dutyRole = "duties"
	// settleShare is the part of the time in which a window is due, in percent, that is given to hosts whose
	// last counts are missing: they may be cut off for some seconds. The rest is for calls that fail.
	settleShare = 60
	// retryDuty is the time between two tries of a call.
	retryDuty = 700 * time.Millisecond
	// saveInterval is the time between two writes of the growing figures, and what is lost of them if all
	// hosts stop at once.
	saveInterval = time.Second
	// holderSilence is how long no host says that it holds the duties before this one looks at the lease.
	holderSilence = 1500 * time.Millisecond
	// warmUp is how long a host listens until it has heard all others: each tells its counts within a second.
	warmUp = 1200 * time.Millisecond
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
	c.SuccessorMargin, c.HolderMargin = term/10, term/10
	// Hosts hear of the holder from itself; reads without that are a last resort.
	c.RenewInterval, c.PollInterval, c.RetryDelay = term/3, 4*term, 200*time.Millisecond
	c.RequireHint = true
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
	planner *supply.Planner
	book    *freeze.Book
	// saved is when the book was written, tried when a call failed last.
	saved, tried time.Time
	// sent is the newest window that this holder has reported.
	sent tally.Window
}

func newDutyState(st store.Store) *dutyState {
	return &dutyState{planner: supply.New(), book: freeze.New(st)}
}

// duties does what is due, if this host holds the lease.
func (s *Station) duties(ctx context.Context, d *dutyState) {
	if s.duty == nil {
		return
	}
	now := time.Now()
	fence, ok := s.duty.Held(now)
	s.fleet.SetHolder(ok)
	if !ok {
		d.fence = 0
		s.seekHolder(now)
		return
	}
	if d.fence != fence {
		d.fence, d.since, d.sent = fence, now, 0
		d.planner.Reset()
		d.book.Doubt()
	}
	if s.cfg.Orders {
		s.order(ctx, d, now)
	}
	if s.cfg.ReportsUsage && now.Sub(d.tried) >= retryDuty {
		if err := s.account(ctx, d, now); err != nil {
			d.tried = now
			s.log.Warn().Str("Event", "UsageDelayed").Uint64("Fence", fence).Err(err).Send()
		}
	}
}

// seekHolder looks at the lease while no other host says that it holds it.
func (s *Station) seekHolder(now time.Time) {
	lost := false
	for _, m := range s.fleet.Members(now) {
		if m.Holder && now.Sub(m.Heard) < holderSilence {
			s.sought, s.holder = now, m.Host
			return
		}
		lost = lost || m.Host == s.holder
	}
	// The hosts that follow the store are candidates enough. One that was the holder and says that it is not
	// any more need not be waited for.
	if (lost || now.Sub(s.sought) > holderSilence) && len(s.neighbours()) == 0 {
		s.sought, s.holder = now, ""
		s.leases.Hint(dutyRole)
	}
}

// account writes the figures of all hosts to the store, decides those of windows that are over, and
// reports what is decided.
func (s *Station) account(ctx context.Context, d *dutyState, now time.Time) error {
	if !d.book.Known() {
		growing, err := d.book.Load(ctx)
		if err != nil {
			return err
		}
		for host, windows := range growing {
			s.tally.Merge(host, windows)
		}
	}
	decided := s.decide(d, now)
	if len(decided) > 0 || now.Sub(d.saved) >= saveInterval {
		if err := d.book.Save(ctx, decided, s.tally.All()); err != nil {
			return err
		}
		d.saved = now
	}
	return s.report(ctx, d)
}

// decide returns the figures of windows that are over and not decided yet.
func (s *Station) decide(d *dutyState, now time.Time) map[tally.Window]tally.Counts {
	out := map[tally.Window]tally.Counts{}
	at := s.clock.Now()
	live, over := s.processes(now)
	for w := max(s.firstDue(), d.book.Reported()+1); s.tally.End(w).Before(at); w++ {
		if _, ok := d.book.Frozen(w); ok {
			continue
		}
		heard := s.listening.Before(s.tally.End(w-1)) && s.fleet.TellsAll() || now.Sub(d.since) >= warmUp
		if late := at.Sub(s.tally.End(w)) > settleShare*s.cfg.UsageDue/100; !late && !(heard && s.tally.Settled(w, live, over)) {
			break
		}
		out[w] = s.tally.Total(w)
	}
	return out
}

// processes returns those that were heard of late, and whether another one runs on the host of a process.
func (s *Station) processes(now time.Time) (live []string, over func(process string) bool) {
	hosts := map[string]string{hostOf(s.id): s.id}
	for _, m := range s.fleet.Members(now) {
		if m.Host == "" {
			continue // Heard of only.
		}
		live = append(live, m.Host)
		hosts[hostOf(m.Host)] = m.Host
	}
	return live, func(process string) bool {
		other, ok := hosts[hostOf(process)]
		return ok && other != process
	}
}

// hostOf returns the host's name in a process's.
func hostOf(process string) string {
	host, _, _ := strings.Cut(process, "/")
	return host
}

// firstDue returns the oldest window that can still be reported in time, with some to spare.
func (s *Station) firstDue() tally.Window {
	return s.tally.Window(s.clock.Now().Add(-2 * (s.cfg.UsageDue + s.cfg.UsageWindow)))
}

// report sends the decided windows in order.
func (s *Station) report(ctx context.Context, d *dutyState) error {
	last := s.tally.Window(s.clock.Now())
	for w := max(s.firstDue(), d.book.Reported()+1, d.sent+1); w <= last; w++ {
		counts, ok := d.book.Frozen(w)
		if !ok {
			continue
		}
		fence, held := s.duty.Held(time.Now())
		if !held {
			return nil
		}
		err := s.platform.Duties.Report(ctx, fence, int64(w), counts)
		s.log.Info().Str("Event", "UsageReported").Int64("Window", int64(w)).Interface("Counts", counts).
			Uint64("Fence", fence).Err(err).Send()
		if err != nil {
			return err
		}
		d.sent = w
		d.book.NoteReported(w)
	}
	return nil
}

// order sends what the planner wants.
func (s *Station) order(ctx context.Context, d *dutyState, now time.Time) {
	table := s.edge.Table()
	if table == nil || !s.listed.Load() {
		return
	}
	servers := *s.servers.Load()
	s.mu.Lock()
	loads := s.loads
	s.mu.Unlock()
	for _, svc := range table.Services {
		for _, o := range d.planner.Plan(now, svc, servers, loads[svc.Name]) {
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
