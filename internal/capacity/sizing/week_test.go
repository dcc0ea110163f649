package sizing_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"shallotramp/internal/capacity/forecast"
	"shallotramp/internal/capacity/sizing"
)

const (
	step             = time.Minute
	startMinutes     = 5
	regularPrice     = 3.0
	reclaimablePrice = 1.0
	// The target minutes are the longest waits that meet the latency targets of firm and flexible work. Work that would
	// wait longer than the deadline minutes is rejected.
	firmTargetMinutes, firmDeadlineMinutes = 0.2, 2.0
	flexTargetMinutes, flexDeadlineMinutes = 2.0, 15.0
	meanMinutesToCrash                     = 3 * 24 * 60 // of one server
	meanMinutesToReclaim                   = 2 * 24 * 60 // of one zone
)

var (
	zones = []string{"mid-a", "mid-b", "mid-c"}
	// monday is the start of the warm-up week. The week after it is measured.
	monday = time.Date(2026, 11, 23, 0, 0, 0, 0, time.UTC)
	week   = 7 * 24 * time.Hour
)

// demandAt returns the demand that arrives at t, in fully utilised servers.
func demandAt(t time.Time, r *rand.Rand) (firm, flex float64) {
	h := float64(t.Hour()) + float64(t.Minute())/60
	day := 0.25 + 0.75*math.Max(0, math.Sin((h-6)/14*math.Pi))
	if h < 6 || h > 20 {
		day = 0.25
	}
	if wd := t.Weekday(); wd == time.Saturday || wd == time.Sunday {
		day *= 0.5
	}
	burst := 1.0
	if t.Weekday() == time.Friday && h >= 13 && h < 17 {
		burst = 1 + 1.5*math.Min(1, math.Min((h-13)/0.25, (17-h)/0.25))
	}
	noise := func() float64 { return 1 + 0.08*r.NormFloat64() }
	return math.Max(0, 5*day*burst*noise()), math.Max(0, 8*day*burst*noise())
}

// policy returns the changes of the servers. It is called once a minute.
type policy func(now time.Time, firm, flex float64, have map[sizing.ServerGroup]sizing.Count, usable map[string]bool) []sizing.Change

// outcome is the result of the measured week.
type outcome struct {
	cost             float64
	firm, flex       float64 // fraction that met its latency target
	reclaimableShare float64 // fraction of the work that ran on reclaimable servers
	// firmAfterReclaim and flexAfterReclaim are the same as firm and flex, but for the ten minutes after the reclaimable
	// servers of a zone were reclaimed.
	firmAfterReclaim, flexAfterReclaim float64
	// exposed is the fraction of time in which the loss of a zone would have left too few regular servers for firm work.
	exposed          float64
	starts, reclaims int
}

// simulation is a simulated pool with crashes, reclaims and an outage of a zone.
type simulation struct {
	failures    *rand.Rand
	running     map[sizing.ServerGroup]int
	draining    map[sizing.ServerGroup]int
	starting    map[sizing.ServerGroup][]int // minutes until the start
	firmBacklog float64
	flexBacklog float64
}

func (s *simulation) counts() map[sizing.ServerGroup]sizing.Count {
	out := map[sizing.ServerGroup]sizing.Count{}
	for _, z := range zones {
		for _, k := range []sizing.Kind{sizing.Regular, sizing.Reclaimable} {
			p := sizing.ServerGroup{Zone: z, Kind: k}
			out[p] = sizing.Count{Running: s.running[p], Starting: len(s.starting[p]), Draining: s.draining[p]}
		}
	}
	return out
}

func (s *simulation) removeAll(p sizing.ServerGroup) {
	s.running[p], s.draining[p], s.starting[p] = 0, 0, nil
}

// injectFailures makes random servers crash and random zones lose their reclaimable servers. It sets reclaimed if a
// zone did.
func (s *simulation) injectFailures(reclaimed *bool) {
	for _, z := range zones {
		for _, k := range []sizing.Kind{sizing.Regular, sizing.Reclaimable} {
			p := sizing.ServerGroup{Zone: z, Kind: k}
			for range s.running[p] {
				if s.failures.Float64() < 1.0/meanMinutesToCrash {
					s.running[p]--
				}
			}
		}
		p := sizing.ServerGroup{Zone: z, Kind: sizing.Reclaimable}
		if s.failures.Float64() < 1.0/meanMinutesToReclaim && s.running[p] > 0 {
			s.removeAll(p)
			*reclaimed = true
		}
	}
}

func (s *simulation) apply(changes []sizing.Change) (starts int) {
	for _, c := range changes {
		s.draining[c.Group] += c.Drain - c.Undrain
		s.running[c.Group] += c.Undrain - c.Drain
		for range c.Start {
			s.starting[c.Group] = append(s.starting[c.Group], startMinutes)
			starts++
		}
	}
	return starts
}

// advance simulates one minute and returns its cost and the numbers of running servers of each kind.
func (s *simulation) advance() (price float64, regular, reclaimable float64) {
	for p, list := range s.starting {
		price += float64(len(list)) * priceOf(p)
		var left []int
		for _, m := range list {
			if m <= 1 {
				s.running[p]++
				continue
			}
			left = append(left, m-1)
		}
		s.starting[p] = left
	}
	for p, n := range s.draining {
		price += float64(n) * priceOf(p)
		s.draining[p] = 0 // requests end within a minute
	}
	for p, n := range s.running {
		price += float64(n) * priceOf(p)
		if p.Kind == sizing.Regular {
			regular += float64(n)
		} else {
			reclaimable += float64(n)
		}
	}
	return price / 60, regular, reclaimable
}

// largestZone returns the number of regular servers in the zone that has the most.
func (s *simulation) largestZone() float64 {
	n := 0
	for _, z := range zones {
		n = max(n, s.running[sizing.ServerGroup{Zone: z}])
	}
	return float64(n)
}

func priceOf(p sizing.ServerGroup) float64 {
	if p.Kind == sizing.Reclaimable {
		return reclaimablePrice
	}
	return regularPrice
}

// serveMinute processes one minute of work. It returns the arrived work that met its latency target, the work that ran
// on reclaimable servers, and all work that ran.
func (s *simulation) serveMinute(firm, flex, regular, reclaimable float64) (firmMet, flexMet, onReclaimable, done float64) {
	s.firmBacklog += firm
	ranFirm := math.Min(s.firmBacklog, regular)
	s.firmBacklog -= ranFirm
	s.flexBacklog += flex
	onReclaimable = math.Min(s.flexBacklog, reclaimable)
	onRegular := math.Min(s.flexBacklog-onReclaimable, regular-ranFirm)
	s.flexBacklog -= onReclaimable + onRegular
	if wait(s.firmBacklog, regular) <= firmTargetMinutes {
		firmMet = firm
	}
	if wait(s.flexBacklog, regular-ranFirm+reclaimable) <= flexTargetMinutes {
		flexMet = flex
	}
	s.firmBacklog = math.Min(s.firmBacklog, regular*firmDeadlineMinutes)
	s.flexBacklog = math.Min(s.flexBacklog, (regular-ranFirm+reclaimable)*flexDeadlineMinutes)
	return firmMet, flexMet, onReclaimable, ranFirm + onReclaimable + onRegular
}

func wait(backlog, rate float64) float64 {
	if backlog == 0 {
		return 0
	}
	return backlog / math.Max(rate, 1e-9)
}

// runWeek simulates the warm-up week and returns the outcome of the next. Arrivals and failures depend only on the
// seed.
func runWeek(seed uint64, decide policy) outcome {
	arrivals := rand.New(rand.NewPCG(seed, 1))
	sim := &simulation{failures: rand.New(rand.NewPCG(seed, 2)), running: map[sizing.ServerGroup]int{}, draining: map[sizing.ServerGroup]int{}, starting: map[sizing.ServerGroup][]int{}}
	var o outcome
	var firmArrived, flexArrived, done, reclaimableDone, firmAfterArrived, firmAfterMet, flexAfterArrived, flexAfterMet float64
	sinceReclaim := time.Duration(math.MaxInt64)
	outageBegin := monday.Add(week + 2*24*time.Hour + 11*time.Hour)
	for now := monday; now.Before(monday.Add(2 * week)); now = now.Add(step) {
		measured := !now.Before(monday.Add(week))
		firm, flex := demandAt(now, arrivals)
		usable := map[string]bool{"mid-a": true, "mid-b": true, "mid-c": true}
		if !now.Before(outageBegin) && now.Before(outageBegin.Add(time.Hour)) {
			usable["mid-b"] = false
			sim.removeAll(sizing.ServerGroup{Zone: "mid-b", Kind: sizing.Regular})
			sim.removeAll(sizing.ServerGroup{Zone: "mid-b", Kind: sizing.Reclaimable})
		}
		reclaimed := false
		sim.injectFailures(&reclaimed)
		sinceReclaim += step
		if sinceReclaim < 0 || reclaimed {
			sinceReclaim = 0
		}
		if reclaimed && measured {
			o.reclaims++
		}
		starts := sim.apply(decide(now, firm, flex, sim.counts(), usable))
		price, regular, reclaimable := sim.advance()
		firmMet, flexMet, onReclaimable, ran := sim.serveMinute(firm, flex, regular, reclaimable)
		if !measured {
			sinceReclaim = time.Duration(math.MaxInt64) - step
			continue
		}
		o.starts += starts
		if regular-sim.largestZone() < firm {
			o.exposed += step.Hours() / week.Hours()
		}
		o.cost += price
		o.firm, o.flex = o.firm+firmMet, o.flex+flexMet
		firmArrived, flexArrived, done, reclaimableDone = firmArrived+firm, flexArrived+flex, done+ran, reclaimableDone+onReclaimable
		if sinceReclaim < 10*time.Minute {
			firmAfterArrived, firmAfterMet = firmAfterArrived+firm, firmAfterMet+firmMet
			flexAfterArrived, flexAfterMet = flexAfterArrived+flex, flexAfterMet+flexMet
		}
	}
	o.firm, o.flex, o.reclaimableShare = o.firm/firmArrived, o.flex/flexArrived, reclaimableDone/done
	o.firmAfterReclaim, o.flexAfterReclaim = 1, 1
	if firmAfterArrived > 0 {
		o.firmAfterReclaim, o.flexAfterReclaim = firmAfterMet/firmAfterArrived, flexAfterMet/flexAfterArrived
	}
	return o
}

// forecastPolicy sizes the pool by forecast, as the planner does.
func forecastPolicy(settings sizing.Settings, maxReclaimable float64) policy {
	firmF, flexF := forecast.New(), forecast.New()
	s := sizing.New(settings, sizing.Bounds{Min: 3, Max: 80, MaxReclaimable: maxReclaimable}, zones)
	const horizon = (startMinutes + 10) * time.Minute
	return func(now time.Time, firm, flex float64, have map[sizing.ServerGroup]sizing.Count, usable map[string]bool) []sizing.Change {
		firmF.Observe(now, firm)
		flexF.Observe(now, flex)
		return s.Decide(now, sizing.Demand{Firm: firmF.Peak(now, horizon), Flexible: flexF.Peak(now, horizon)}, have, usable)
	}
}

// fixedPolicy keeps a fixed number of regular servers and replaces lost ones at once.
func fixedPolicy(servers int) policy {
	s := sizing.New(sizing.Settings{TargetUtilisation: 1}, sizing.Bounds{Min: servers, Max: servers}, zones)
	return func(now time.Time, _, _ float64, have map[sizing.ServerGroup]sizing.Count, usable map[string]bool) []sizing.Change {
		return s.Decide(now, sizing.Demand{}, have, usable)
	}
}

// utilisationPolicy sizes the pool by the measured demand at a fixed utilisation, with regular servers only.
func utilisationPolicy(u float64) policy {
	return func(_ time.Time, firm, flex float64, have map[sizing.ServerGroup]sizing.Count, usable map[string]bool) []sizing.Change {
		want := int(math.Ceil((firm + flex) / u))
		return spreadRegular(want, have, usable)
	}
}

// spreadRegular distributes want regular servers over the usable zones.
func spreadRegular(want int, have map[sizing.ServerGroup]sizing.Count, usable map[string]bool) []sizing.Change {
	n := 0
	for _, z := range zones {
		if usable[z] {
			n++
		}
	}
	var out []sizing.Change
	for i, z := range zones {
		if !usable[z] {
			continue
		}
		share := want / n
		if i < want%n {
			share++
		}
		p := sizing.ServerGroup{Zone: z, Kind: sizing.Regular}
		diff := share - have[p].Running - have[p].Starting
		switch {
		case diff > 0:
			out = append(out, sizing.Change{Group: p, Start: diff})
		case diff < 0:
			out = append(out, sizing.Change{Group: p, Drain: min(-diff, have[p].Running)})
		}
	}
	return out
}

// peakServers returns the number of servers for the highest demand of the week at the default target utilisation.
func peakServers() int {
	r := rand.New(rand.NewPCG(1, 1))
	highest := 0.0
	for now := monday; now.Before(monday.Add(week)); now = now.Add(step) {
		firm, flex := demandAt(now, r)
		highest = max(highest, firm+flex)
	}
	return int(math.Ceil(highest / sizing.DefaultSettings().TargetUtilisation))
}

const weekSeeds = 3

func meanOutcome(p func() policy) outcome {
	var m outcome
	for seed := range uint64(weekSeeds) {
		o := runWeek(seed, p())
		m.cost += o.cost / weekSeeds
		m.firm += o.firm / weekSeeds
		m.flex += o.flex / weekSeeds
		m.reclaimableShare += o.reclaimableShare / weekSeeds
		m.exposed += o.exposed / weekSeeds
		m.firmAfterReclaim += o.firmAfterReclaim / weekSeeds
		m.flexAfterReclaim += o.flexAfterReclaim / weekSeeds
		m.starts += o.starts
		m.reclaims += o.reclaims
	}
	return m
}

func (o outcome) String() string {
	return fmt.Sprintf("cost %.0f, firm %.5f, flexible %.5f, reclaimable share %.2f, after a reclaim firm %.5f and flexible %.5f, exposed %.5f, %d starts, %d reclaims",
		o.cost, o.firm, o.flex, o.reclaimableShare, o.firmAfterReclaim, o.flexAfterReclaim, o.exposed, o.starts/weekSeeds, o.reclaims)
}

// TestSyntheticWeek compares the sizing by forecast with simpler policies: it must cost less and meet the latency
// targets of at least as much work.
func TestSyntheticWeek(t *testing.T) {
	current := meanOutcome(func() policy { return forecastPolicy(sizing.DefaultSettings(), 0.6) })
	byUtilisation := meanOutcome(func() policy { return utilisationPolicy(0.7) })
	fixedSize := meanOutcome(func() policy { return fixedPolicy(peakServers()) })
	t.Logf("forecast:          %s", current)
	t.Logf("forecast, regular: %s", meanOutcome(func() policy { return forecastPolicy(sizing.DefaultSettings(), 0) }))
	t.Logf("utilisation 0.7:   %s", byUtilisation)
	t.Logf("utilisation 0.8:   %s", meanOutcome(func() policy { return utilisationPolicy(0.8) }))
	t.Logf("fixed, %2d servers: %s", peakServers(), fixedSize)
	for name, base := range map[string]outcome{"the utilisation policy": byUtilisation, "a fixed size for the peak": fixedSize} {
		if current.cost >= base.cost {
			t.Errorf("cost %.0f, want less than that of %s, %.0f", current.cost, name, base.cost)
		}
		if current.firm < base.firm || current.flex < base.flex {
			t.Errorf("firm and flexible attainment %.4f and %.4f, want at least those of %s, %.4f and %.4f", current.firm, current.flex, name, base.firm, base.flex)
		}
	}
}

// optimalSpares returns the number of spare servers at which replacement below the threshold costs least for need
// servers, by equation 4 of F. Giroire, J. Monteiro, S. Pérennes, "Peer-to-Peer Storage Systems: a Practical Guideline
// to be Lazy" (GlobeCom 2010). need corresponds to the initial fragments, and the spares to the redundancy.
func optimalSpares(need, threshold int) int {
	s, r0 := float64(need), float64(threshold)
	r := threshold + 1
	for r0-s-float64(r)+(s+float64(r))*math.Log((s+float64(r))/(s+r0)) < 0 {
		r++
	}
	return r
}

// lazyPolicy adds spare servers to the required ones and starts servers only when at most threshold spares are left.
func lazyPolicy(spares, threshold int) policy {
	set := sizing.DefaultSettings()
	decide := forecastPolicy(set, 0.6)
	return func(now time.Time, firm, flex float64, have map[sizing.ServerGroup]sizing.Count, usable map[string]bool) []sizing.Change {
		changes := decide(now, firm, flex+float64(spares)*set.TargetUtilisation, have, usable)
		missing := 0
		for _, c := range changes {
			missing += c.Start + c.Undrain - c.Drain
		}
		if missing >= spares-threshold {
			return changes
		}
		for i := range changes {
			changes[i].Start = 0
		}
		return changes
	}
}

// noWorse reports whether o meets the latency targets of at least as much work as p, is no more exposed to the loss of
// a zone, and runs at least as large a fraction of the work on reclaimable servers.
func (o outcome) noWorse(p outcome) bool {
	return o.firm >= p.firm && o.flex >= p.flex && o.exposed <= p.exposed && o.reclaimableShare >= p.reclaimableShare
}

// TestReplacementAtOnceOrBelowAThreshold fails if another rule for the replacement of lost servers costs less than that
// of the default settings without a worse outcome.
func TestReplacementAtOnceOrBelowAThreshold(t *testing.T) {
	current := meanOutcome(func() policy { return forecastPolicy(sizing.DefaultSettings(), 0.6) })
	t.Logf("reclaimable servers when 2 are missing, others at once: %s", current)
	missing := func(n int) policy {
		set := sizing.DefaultSettings()
		set.MinMissingReclaimable = n
		return forecastPolicy(set, 0.6)
	}
	for name, p := range map[string]func() policy{
		"all at once":                            func() policy { return missing(1) },
		"reclaimable servers when 4 are missing": func() policy { return missing(4) },
		"all when 2 are missing":                 func() policy { return lazyPolicy(0, -2) },
		"all when 4 are missing":                 func() policy { return lazyPolicy(0, -4) },
		"2 spares, when none is left":            func() policy { return lazyPolicy(2, 0) },
		"3 spares, when 1 is left":               func() policy { return lazyPolicy(3, 1) },
		"spares by equation 4, when 1 is left":   func() policy { return lazyPolicy(optimalSpares(12, 1), 1) },
	} {
		t.Run(name, func(t *testing.T) {
			o := meanOutcome(p)
			t.Log(o)
			if o.cost < current.cost && o.noWorse(current) {
				t.Errorf("cost %.0f with no worse outcome, below %.0f of the default settings: change the defaults", o.cost, current.cost)
			}
		})
	}
}

func TestDecide(t *testing.T) {
	usable := map[string]bool{"mid-a": true, "mid-b": true, "mid-c": true}
	a := sizing.ServerGroup{Zone: "mid-a"}
	even := map[sizing.ServerGroup]sizing.Count{a: {Running: 3}, {Zone: "mid-b"}: {Running: 3}, {Zone: "mid-c"}: {Running: 3}}
	for name, c := range map[string]struct {
		demand sizing.Demand
		have   map[sizing.ServerGroup]sizing.Count
		usable map[string]bool
		want   int // servers to start, less those to drain
	}{
		"firm work for 6 servers keeps 9, so that 6 are left if a zone is lost": {sizing.Demand{Firm: 6}, even, usable, 0},
		"a lost server is replaced at once": {
			sizing.Demand{Firm: 6},
			map[sizing.ServerGroup]sizing.Count{a: {Running: 2}, {Zone: "mid-b"}: {Running: 3}, {Zone: "mid-c"}: {Running: 3}},
			usable, 1,
		},
		"the remaining zones take over from a lost one": {
			sizing.Demand{Firm: 6},
			map[sizing.ServerGroup]sizing.Count{a: {Running: 3}, {Zone: "mid-b"}: {Running: 3}},
			map[string]bool{"mid-a": true, "mid-b": true},
			3,
		},
		"the reserve runs flexible work before reclaimable servers do": {sizing.Demand{Firm: 6, Flexible: 3}, even, usable, 0},
		"flexible work beyond the reserve runs on reclaimable servers": {sizing.Demand{Firm: 6, Flexible: 6}, even, usable, 3},
		"starting servers count":                {sizing.Demand{Firm: 6}, map[sizing.ServerGroup]sizing.Count{a: {Running: 3}, {Zone: "mid-b"}: {Starting: 3}, {Zone: "mid-c"}: {Running: 3}}, usable, 0},
		"surplus servers are drained":           {sizing.Demand{Firm: 4}, even, usable, -3},
		"without a usable zone nothing changes": {sizing.Demand{Firm: 6}, even, nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := sizing.New(sizing.Settings{TargetUtilisation: 1}, sizing.Bounds{MaxReclaimable: 0.5}, zones)
			got := 0
			for _, ch := range s.Decide(monday, c.demand, c.have, c.usable) {
				got += ch.Start + ch.Undrain - ch.Drain
			}
			if got != c.want {
				t.Fatalf("the changes add %d servers, want %d", got, c.want)
			}
		})
	}
}

// TestLullDrainsNothing guards against draining servers during a short drop in demand.
func TestLullDrainsNothing(t *testing.T) {
	s := sizing.New(sizing.DefaultSettings(), sizing.Bounds{}, zones)
	have := map[sizing.ServerGroup]sizing.Count{}
	for _, z := range zones {
		have[sizing.ServerGroup{Zone: z}] = sizing.Count{Running: 5}
	}
	usable := map[string]bool{"mid-a": true, "mid-b": true, "mid-c": true}
	for minute := range 40 {
		d := sizing.Demand{Firm: 8}
		if minute > 0 {
			d.Firm = 4
		}
		changes := s.Decide(monday.Add(time.Duration(minute)*time.Minute), d, have, usable)
		if drained := len(changes) > 0; drained != (minute > 30) {
			t.Fatalf("minute %d of low demand: the changes are %+v, want them only after 30 minutes", minute, changes)
		}
	}
}
