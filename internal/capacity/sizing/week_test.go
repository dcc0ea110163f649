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
	step         = time.Minute
	startMinutes = 5
	regularPrice = 3.0
	cheapPrice   = 1.0
	// firmTarget and flexTarget are the waits, in minutes, that still meet the classes' targets; beyond
	// the deadlines work is refused.
	firmTarget, firmDeadline = 0.2, 2.0
	flexTarget, flexDeadline = 2.0, 15.0
	meanLife                 = 3 * 24 * 60 // minutes from start to crash of one server
	meanReclaim              = 2 * 24 * 60 // minutes between two reclaims of a zone
)

var (
	zones = []string{"mid-a", "mid-b", "mid-c"}
	// monday begins the warm-up week; the week after it is measured.
	monday = time.Date(2026, 11, 23, 0, 0, 0, 0, time.UTC)
	week   = 7 * 24 * time.Hour
)

// demandAt returns the work that arrives, in servers at full rate.
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

// policy decides each minute.
type policy func(now time.Time, firm, flex float64, have map[sizing.ServerGroup]sizing.Count, usable map[string]bool) []sizing.Change

// week's outcome.
type outcome struct {
	spend      float64
	firm, flex float64 // attainment
	cheap      float64 // share of work on reclaimable servers
	// afterFirm and afterFlex are attainment in the ten minutes after a zone's cheap servers were reclaimed.
	afterFirm, afterFlex float64
	// exposed is the share of minutes in which the loss of a zone would have left firm work without a server.
	exposed          float64
	starts, reclaims int
}

// bed is a pool among crashes, reclaims and an outage of a zone.
type bed struct {
	r        *rand.Rand
	running  map[sizing.ServerGroup]int
	draining map[sizing.ServerGroup]int
	starting map[sizing.ServerGroup][]int // minutes left
	firm     float64                      // backlogs
	flex     float64
}

func (b *bed) counts() map[sizing.ServerGroup]sizing.Count {
	out := map[sizing.ServerGroup]sizing.Count{}
	for _, z := range zones {
		for _, k := range []sizing.Kind{sizing.Regular, sizing.Reclaimable} {
			p := sizing.ServerGroup{Zone: z, Kind: k}
			out[p] = sizing.Count{Running: b.running[p], Starting: len(b.starting[p]), Draining: b.draining[p]}
		}
	}
	return out
}

func (b *bed) lose(p sizing.ServerGroup) {
	b.running[p], b.draining[p], b.starting[p] = 0, 0, nil
}

// fail lets servers crash and zones be reclaimed; it reports whether a zone was.
func (b *bed) fail(out *bool) {
	for _, z := range zones {
		for _, k := range []sizing.Kind{sizing.Regular, sizing.Reclaimable} {
			p := sizing.ServerGroup{Zone: z, Kind: k}
			for range b.running[p] {
				if b.r.Float64() < 1.0/meanLife {
					b.running[p]--
				}
			}
		}
		p := sizing.ServerGroup{Zone: z, Kind: sizing.Reclaimable}
		if b.r.Float64() < 1.0/meanReclaim && b.running[p] > 0 {
			b.lose(p)
			*out = true
		}
	}
}

func (b *bed) apply(changes []sizing.Change) (starts int) {
	for _, c := range changes {
		b.draining[c.Group] += c.Drain - c.Undrain
		b.running[c.Group] += c.Undrain - c.Drain
		for range c.Start {
			b.starting[c.Group] = append(b.starting[c.Group], startMinutes)
			starts++
		}
	}
	return starts
}

// advance lets a minute pass and returns the price paid and the servers of each kind that worked.
func (b *bed) advance() (price float64, regular, cheap float64) {
	for p, list := range b.starting {
		price += float64(len(list)) * priceOf(p)
		var left []int
		for _, m := range list {
			if m <= 1 {
				b.running[p]++
				continue
			}
			left = append(left, m-1)
		}
		b.starting[p] = left
	}
	for p, n := range b.draining {
		price += float64(n) * priceOf(p)
		b.draining[p] = 0 // requests end within a minute
	}
	for p, n := range b.running {
		price += float64(n) * priceOf(p)
		if p.Kind == sizing.Regular {
			regular += float64(n)
		} else {
			cheap += float64(n)
		}
	}
	return price / 60, regular, cheap
}

// largest returns the regular servers of the zone that has the most.
func (b *bed) largest() float64 {
	n := 0
	for _, z := range zones {
		n = max(n, b.running[sizing.ServerGroup{Zone: z}])
	}
	return float64(n)
}

func priceOf(p sizing.ServerGroup) float64 {
	if p.Kind == sizing.Reclaimable {
		return cheapPrice
	}
	return regularPrice
}

// serve works off a minute's arrivals and returns which part met its target, and what ran on cheap servers.
func (b *bed) serve(firm, flex, regular, cheap float64) (firmMet, flexMet, onCheap, done float64) {
	b.firm += firm
	ranFirm := math.Min(b.firm, regular)
	b.firm -= ranFirm
	b.flex += flex
	onCheap = math.Min(b.flex, cheap)
	onRegular := math.Min(b.flex-onCheap, regular-ranFirm)
	b.flex -= onCheap + onRegular
	if wait(b.firm, regular) <= firmTarget {
		firmMet = firm
	}
	if wait(b.flex, regular-ranFirm+cheap) <= flexTarget {
		flexMet = flex
	}
	b.firm = math.Min(b.firm, regular*firmDeadline)
	b.flex = math.Min(b.flex, (regular-ranFirm+cheap)*flexDeadline)
	return firmMet, flexMet, onCheap, ranFirm + onCheap + onRegular
}

func wait(backlog, rate float64) float64 {
	if backlog == 0 {
		return 0
	}
	return backlog / math.Max(rate, 1e-9)
}

// runWeek runs the warm-up week and measures the next. Arrivals and failures depend on the seed alone.
func runWeek(seed uint64, decide policy) outcome {
	arrivals := rand.New(rand.NewPCG(seed, 1))
	b := &bed{r: rand.New(rand.NewPCG(seed, 2)), running: map[sizing.ServerGroup]int{}, draining: map[sizing.ServerGroup]int{}, starting: map[sizing.ServerGroup][]int{}}
	var o outcome
	var firmAll, flexAll, done, cheapDone, afterAll, afterMet, afterFlexAll, afterFlexMet float64
	since := time.Duration(math.MaxInt64)
	outageBegin := monday.Add(week + 2*24*time.Hour + 11*time.Hour)
	for now := monday; now.Before(monday.Add(2 * week)); now = now.Add(step) {
		measured := !now.Before(monday.Add(week))
		firm, flex := demandAt(now, arrivals)
		usable := map[string]bool{"mid-a": true, "mid-b": true, "mid-c": true}
		if !now.Before(outageBegin) && now.Before(outageBegin.Add(time.Hour)) {
			usable["mid-b"] = false
			b.lose(sizing.ServerGroup{Zone: "mid-b", Kind: sizing.Regular})
			b.lose(sizing.ServerGroup{Zone: "mid-b", Kind: sizing.Reclaimable})
		}
		reclaimed := false
		b.fail(&reclaimed)
		since += step
		if since < 0 || reclaimed {
			since = 0
		}
		if reclaimed && measured {
			o.reclaims++
		}
		starts := b.apply(decide(now, firm, flex, b.counts(), usable))
		price, regular, cheap := b.advance()
		firmMet, flexMet, onCheap, ran := b.serve(firm, flex, regular, cheap)
		if !measured {
			since = time.Duration(math.MaxInt64) - step
			continue
		}
		o.starts += starts
		if regular-b.largest() < firm {
			o.exposed += step.Hours() / week.Hours()
		}
		o.spend += price
		o.firm, o.flex = o.firm+firmMet, o.flex+flexMet
		firmAll, flexAll, done, cheapDone = firmAll+firm, flexAll+flex, done+ran, cheapDone+onCheap
		if since < 10*time.Minute {
			afterAll, afterMet = afterAll+firm, afterMet+firmMet
			afterFlexAll, afterFlexMet = afterFlexAll+flex, afterFlexMet+flexMet
		}
	}
	o.firm, o.flex, o.cheap = o.firm/firmAll, o.flex/flexAll, cheapDone/done
	o.afterFirm, o.afterFlex = 1, 1
	if afterAll > 0 {
		o.afterFirm, o.afterFlex = afterMet/afterAll, afterFlexMet/afterFlexAll
	}
	return o
}

// ours sizes by forecast with the settings.
func ours(set sizing.Settings, share float64) policy {
	firmF, flexF := forecast.New(), forecast.New()
	s := sizing.New(set, sizing.Bounds{Min: 3, Max: 80, MaxReclaimable: share}, zones)
	const horizon = (startMinutes + 10) * time.Minute
	return func(now time.Time, firm, flex float64, have map[sizing.ServerGroup]sizing.Count, usable map[string]bool) []sizing.Change {
		firmF.Observe(now, firm)
		flexF.Observe(now, flex)
		return s.Decide(now, sizing.Demand{Firm: firmF.Peak(now, horizon), Flexible: flexF.Peak(now, horizon)}, have, usable)
	}
}

// fixed keeps regular servers for the peak demand of the week, replaced at once.
func fixed(servers int) policy {
	s := sizing.New(sizing.Settings{TargetUtilisation: 1}, sizing.Bounds{Min: servers, Max: servers}, zones)
	return func(now time.Time, _, _ float64, have map[sizing.ServerGroup]sizing.Count, usable map[string]bool) []sizing.Change {
		return s.Decide(now, sizing.Demand{}, have, usable)
	}
}

// utilisation follows the measured demand at a fixed utilisation, with regular servers.
func utilisation(u float64) policy {
	return func(_ time.Time, firm, flex float64, have map[sizing.ServerGroup]sizing.Count, usable map[string]bool) []sizing.Change {
		want := int(math.Ceil((firm + flex) / u))
		return follow(want, have, usable)
	}
}

// follow spreads want regular servers over the zones.
func follow(want int, have map[sizing.ServerGroup]sizing.Count, usable map[string]bool) []sizing.Change {
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

// peak is the servers for the highest minute of the week, at the utilisation that ours keeps.
func peak() int {
	r := rand.New(rand.NewPCG(1, 1))
	top := 0.0
	for now := monday; now.Before(monday.Add(week)); now = now.Add(step) {
		firm, flex := demandAt(now, r)
		top = max(top, firm+flex)
	}
	return int(math.Ceil(top / sizing.DefaultSettings().TargetUtilisation))
}

const weekSeeds = 3

func mean(p func() policy) outcome {
	var m outcome
	for seed := range uint64(weekSeeds) {
		o := runWeek(seed, p())
		m.spend += o.spend / weekSeeds
		m.firm += o.firm / weekSeeds
		m.flex += o.flex / weekSeeds
		m.cheap += o.cheap / weekSeeds
		m.exposed += o.exposed / weekSeeds
		m.afterFirm += o.afterFirm / weekSeeds
		m.afterFlex += o.afterFlex / weekSeeds
		m.starts += o.starts
		m.reclaims += o.reclaims
	}
	return m
}

func (o outcome) String() string {
	return fmt.Sprintf("spend %.0f, firm %.5f, flexible %.5f, cheap share %.2f, after a reclaim firm %.5f and flexible %.5f, exposed %.5f, %d starts, %d reclaims",
		o.spend, o.firm, o.flex, o.cheap, o.afterFirm, o.afterFlex, o.exposed, o.starts/weekSeeds, o.reclaims)
}

func TestSyntheticWeek(t *testing.T) {
	us := mean(func() policy { return ours(sizing.DefaultSettings(), 0.6) })
	plain := mean(func() policy { return utilisation(0.7) })
	peakSize := mean(func() policy { return fixed(peak()) })
	t.Logf("ours:             %s", us)
	t.Logf("ours, regular:    %s", mean(func() policy { return ours(sizing.DefaultSettings(), 0) }))
	t.Logf("utilisation 0.7:  %s", plain)
	t.Logf("utilisation 0.8:  %s", mean(func() policy { return utilisation(0.8) }))
	t.Logf("fixed, %2d servers: %s", peak(), peakSize)
	for name, base := range map[string]outcome{"the utilisation rule": plain, "a fixed size for the peak": peakSize} {
		if us.spend >= base.spend {
			t.Errorf("spend %.0f, not below that of %s, %.0f", us.spend, name, base.spend)
		}
		if us.firm < base.firm || us.flex < base.flex {
			t.Errorf("attainment %.4f and %.4f, below that of %s, %.4f and %.4f", us.firm, us.flex, name, base.firm, base.flex)
		}
	}
}

// bestSpare returns the spares for which replacement below a threshold costs least for need servers, by
// equation 4 of F. Giroire, J. Monteiro, S. Pérennes, "Peer-to-Peer Storage Systems: a Practical Guideline to be
// Lazy" (GlobeCom 2010): need stands for the initial fragments, spares for the redundancy.
func bestSpare(need, threshold int) int {
	s, r0 := float64(need), float64(threshold)
	r := threshold + 1
	for r0-s-float64(r)+(s+float64(r))*math.Log((s+float64(r))/(s+r0)) < 0 {
		r++
	}
	return r
}

// lazy keeps spares beyond the need and starts servers only when no more than threshold of them are left.
func lazy(spare, threshold int) policy {
	set := sizing.DefaultSettings()
	decide := ours(set, 0.6)
	return func(now time.Time, firm, flex float64, have map[sizing.ServerGroup]sizing.Count, usable map[string]bool) []sizing.Change {
		changes := decide(now, firm, flex+float64(spare)*set.TargetUtilisation, have, usable)
		missing := 0
		for _, c := range changes {
			missing += c.Start + c.Undrain - c.Drain
		}
		if missing >= spare-threshold {
			return changes
		}
		for i := range changes {
			changes[i].Start = 0
		}
		return changes
	}
}

// noWorse reports whether o harms no work more than p does and runs as much of it on cheaper servers.
func (o outcome) noWorse(p outcome) bool {
	return o.firm >= p.firm && o.flex >= p.flex && o.exposed <= p.exposed && o.cheap >= p.cheap
}

func TestReplacementAtOnceOrBelowAThreshold(t *testing.T) {
	chosen := mean(func() policy { return ours(sizing.DefaultSettings(), 0.6) })
	t.Logf("cheap servers when 2 are missing, others at once: %s", chosen)
	missing := func(n int) policy {
		set := sizing.DefaultSettings()
		set.MinMissingReclaimable = n
		return ours(set, 0.6)
	}
	for name, p := range map[string]func() policy{
		"all at once":                          func() policy { return missing(1) },
		"cheap servers when 4 are missing":     func() policy { return missing(4) },
		"all when 2 are missing":               func() policy { return lazy(0, -2) },
		"all when 4 are missing":               func() policy { return lazy(0, -4) },
		"2 spares, when none is left":          func() policy { return lazy(2, 0) },
		"3 spares, when 1 is left":             func() policy { return lazy(3, 1) },
		"spares by equation 4, when 1 is left": func() policy { return lazy(bestSpare(12, 1), 1) },
	} {
		t.Run(name, func(t *testing.T) {
			o := mean(p)
			t.Log(o)
			if o.spend < chosen.spend && o.noWorse(chosen) {
				t.Errorf("spend %.0f at no more harm, below %.0f of what is chosen: choose again", o.spend, chosen.spend)
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
		"firm work of 6 keeps 9, so that 6 are left when a zone goes": {sizing.Demand{Firm: 6}, even, usable, 0},
		"a lost server is replaced at once": {
			sizing.Demand{Firm: 6},
			map[sizing.ServerGroup]sizing.Count{a: {Running: 2}, {Zone: "mid-b"}: {Running: 3}, {Zone: "mid-c"}: {Running: 3}},
			usable, 1,
		},
		"the zones that are left take over from one that is gone": {
			sizing.Demand{Firm: 6},
			map[sizing.ServerGroup]sizing.Count{a: {Running: 3}, {Zone: "mid-b"}: {Running: 3}},
			map[string]bool{"mid-a": true, "mid-b": true},
			3,
		},
		"the reserve runs flexible work before cheaper servers do": {sizing.Demand{Firm: 6, Flexible: 3}, even, usable, 0},
		"flexible work beyond it runs on cheaper servers":          {sizing.Demand{Firm: 6, Flexible: 6}, even, usable, 3},
		"servers that start count":                                 {sizing.Demand{Firm: 6}, map[sizing.ServerGroup]sizing.Count{a: {Running: 3}, {Zone: "mid-b"}: {Starting: 3}, {Zone: "mid-c"}: {Running: 3}}, usable, 0},
		"too many are drained":                                     {sizing.Demand{Firm: 4}, even, usable, -3},
		"with no zone left nothing is ordered":                     {sizing.Demand{Firm: 6}, even, nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := sizing.New(sizing.Settings{TargetUtilisation: 1}, sizing.Bounds{MaxReclaimable: 0.5}, zones)
			got := 0
			for _, ch := range s.Decide(monday, c.demand, c.have, c.usable) {
				got += ch.Start + ch.Undrain - ch.Drain
			}
			if got != c.want {
				t.Fatalf("%d servers more, want %d", got, c.want)
			}
		})
	}
}

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
			t.Fatalf("minute %d of the lull: %+v", minute, changes)
		}
	}
}
