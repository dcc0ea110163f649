package scheduler

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/traffic/baseline"
	"shallotramp/internal/traffic/dispatch"
)

func seconds(s float64) object.Duration { return object.Duration(s * float64(time.Second)) }

// skewedDemand has one organisation that sends 20 times as many requests as each of the small ones.
var skewedDemand = []float64{20, 4, 4, 1, 1, 1, 1, 1, 1, 1}

// deployments returns the two existing deployments, each with an offered load of twice its capacity.
func deployments() map[string]deployment {
	return map[string]deployment{"Threadwell": threadwell(), "Zhaiyk": zhaiyk()}
}

func threadwell() deployment {
	return deployment{
		zones: 3, servers: 10, hosts: 6, demandWeights: skewedDemand,
		workloads: []workload{
			{object.ClassSpec{Name: "slot", Tier: 1, FirstToken: seconds(0.8), BetweenTokens: seconds(0.076), Deadline: seconds(30), Reclaimable: true, Floor: 0.1}, 0.4, 200, 100},
			{object.ClassSpec{Name: "chat", Tier: 2, FirstToken: seconds(2), BetweenTokens: seconds(0.1), Deadline: seconds(60), Reclaimable: true, Floor: 0.1}, 0.5, 400, 200},
			{object.ClassSpec{Name: "briefing", Tier: 3, FirstToken: seconds(5), BetweenTokens: seconds(0.2), Deadline: seconds(300), Reclaimable: true, Floor: 0.1, Preemptible: true}, 0.7, 2000, 400},
			{object.ClassSpec{Name: "digest", Tier: 4, FirstToken: seconds(20), Deadline: seconds(600), Reclaimable: true, Floor: 0.05, Preemptible: true}, 0.4, 2000, 400},
		},
	}
}

func zhaiyk() deployment {
	return deployment{
		zones: 4, servers: 12, hosts: 7, demandWeights: skewedDemand,
		workloads: []workload{
			{object.ClassSpec{Name: "clerk", Tier: 1, FirstToken: seconds(0.8), BetweenTokens: seconds(0.076), Deadline: seconds(30), Reclaimable: true, Floor: 0.1}, 0.5, 200, 100},
			{object.ClassSpec{Name: "enquiry", Tier: 2, FirstToken: seconds(2), BetweenTokens: seconds(0.1), Deadline: seconds(60), Reclaimable: true, Floor: 0.1}, 0.6, 400, 200},
			{object.ClassSpec{Name: "review", Tier: 3, FirstToken: seconds(10), BetweenTokens: seconds(0.2), Deadline: seconds(300), Reclaimable: true, Floor: 0.1, Preemptible: true}, 0.9, 3000, 500},
		},
	}
}

func newScheduler(i int, zone string) dispatch.Policy { return New(uint64(i), WithZone(zone)) }

func newBaseline(int, string) dispatch.Policy { return baseline.New() }

// faultCases returns each fault and each pair of faults by name.
func faultCases() map[string]faults {
	set := map[string]func(*faults){
		"slow engine": func(f *faults) { f.slowEngine = true }, "crashes": func(f *faults) { f.crashes = true },
		"zone gone": func(f *faults) { f.zoneLoss = true }, "late reports": func(f *faults) { f.staleReports = true },
	}
	out := map[string]faults{}
	for a, apply := range set {
		var f faults
		apply(&f)
		out[a] = f
		for b, also := range set {
			if a < b {
				g := f
				also(&g)
				out[a+" and "+b] = g
			}
		}
	}
	return out
}

// The targets of the simulated runs. docs/MEASURES.md lists them with the measured values.
const (
	// minTopTierAttained is the share of top-tier requests that must meet their latency targets.
	minTopTierAttained = 0.99
	// minGoodputRatio is the goodput relative to the baseline's.
	minGoodputRatio = 1.5
	// maxServiceGap is the longest time for which the lowest class may wait without a start.
	maxServiceGap = 10 * time.Second
	// minFairShare is the part of its max-min fair share that each organisation must get.
	minFairShare = 0.9
	// maxWastedShare is the share of the generated tokens that may be wasted.
	maxWastedShare = 0.02
)

const (
	seed         = 1
	overloadTime = 10 * time.Minute
	faultRunTime = 90 * time.Second
)

func TestTenMinutesAtTwiceCapacity(t *testing.T) {
	for name, d := range deployments() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			baselineDone := make(chan *outcome)
			go func() { baselineDone <- newSim(d, faults{}, overloadTime, seed, newBaseline).run() }()
			o := newSim(d, faults{}, overloadTime, seed, newScheduler).run()
			base := <-baselineDone
			t.Log("ours", o)
			t.Log("baseline", base)
			if o.attained[0] < minTopTierAttained {
				t.Errorf("share of top-tier requests within their latency targets is %.4f", o.attained[0])
			}
			if o.goodput < minGoodputRatio*base.goodput {
				t.Errorf("goodput is %.0f tokens/s, too little beside %.0f tokens/s of the baseline", o.goodput, base.goodput)
			}
			if o.longestGap > maxServiceGap {
				t.Errorf("the lowest class waited %s for service", o.longestGap)
			}
			if o.worstShare < minFairShare {
				t.Errorf("an organisation got %.3f of its fair share: %s", o.worstShare, o.worstOrg)
			}
			reportShedViolations(t, o)
		})
	}
}

// reportShedViolations fails the test for each refusal of a request while a lower tier was served beyond its floor.
func reportShedViolations(t *testing.T, o *outcome) {
	t.Helper()
	for _, s := range o.shedViolations {
		t.Error(s)
	}
}

// TestFairShareWithFewRequests guards against an unfair share in a small sample: in this run the
// organisations have only about 20 requests each in the lowest class.
func TestFairShareWithFewRequests(t *testing.T) {
	t.Parallel()
	const smallSampleSeed = 2
	if o := newSim(threadwell(), faults{}, overloadTime, smallSampleSeed, newScheduler).run(); o.worstShare < minFairShare {
		t.Errorf("an organisation got %.3f of its fair share: %s", o.worstShare, o.worstOrg)
	}
}

// TestTopTierWithStrictEngines guards against missed targets of the top tier with engines that
// run no more requests at once than they have slots, so that a request must wait for another to end.
func TestTopTierWithStrictEngines(t *testing.T) {
	for name, d := range deployments() {
		d.strictSlots = true
		for n := range uint64(strictEngineSeeds) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed+n), func(t *testing.T) {
				t.Parallel()
				if o := newSim(d, faults{}, overloadTime, seed+n, newScheduler).run(); o.attained[0] < minTopTierAttained {
					t.Errorf("share of top-tier requests within their latency targets is %.4f", o.attained[0])
				}
			})
		}
	}
}

// strictEngineSeeds is the number of seeds that are run with strict engines.
const strictEngineSeeds = 3

func TestFaultsAndPairsOfFaults(t *testing.T) {
	for name, f := range faultCases() {
		for fleet, d := range deployments() {
			t.Run(name+", "+fleet, func(t *testing.T) {
				t.Parallel()
				o := newSim(d, f, faultRunTime, seed, newScheduler).run()
				t.Log(o)
				if o.wasted > maxWastedShare {
					t.Errorf("%.4f of the tokens were wasted", o.wasted)
				}
				if o.longestGap > maxServiceGap {
					t.Errorf("the lowest class waited %s for service", o.longestGap)
				}
				reportShedViolations(t, o)
			})
		}
	}
}

func TestRunsOfOneSeedAreEqual(t *testing.T) {
	f := faults{crashes: true, zoneLoss: true}
	a, b := newSim(zhaiyk(), f, 90*time.Second, seed, newScheduler).run(), newSim(zhaiyk(), f, 90*time.Second, seed, newScheduler).run()
	if a.String() != b.String() {
		t.Errorf("two runs of one seed differ:\n%s\n%s", a, b)
	}
}

// BenchmarkTwiceCapacity reports ten minutes at twice the capacity, for the scheduler and the baseline.
func BenchmarkTwiceCapacity(b *testing.B) {
	for name, d := range deployments() {
		strict := d
		strict.strictSlots = true
		b.Run(name, func(b *testing.B) { benchmark(b, d, faults{}) })
		b.Run(name+" with strict engines", func(b *testing.B) { benchmark(b, strict, faults{}) })
	}
}

// BenchmarkFaults reports ten minutes at twice the capacity with each fault and each pair of faults,
// for the scheduler and the baseline.
func BenchmarkFaults(b *testing.B) {
	for name, f := range faultCases() {
		for fleet, d := range deployments() {
			b.Run(strings.ReplaceAll(name, " ", "-")+"/"+fleet, func(b *testing.B) { benchmark(b, d, f) })
		}
	}
}

func benchmark(b *testing.B, d deployment, f faults) {
	for b.Loop() {
		newSim(d, f, overloadTime, seed, newScheduler).run().report(b, "")
		newSim(d, f, overloadTime, seed, newBaseline).run().report(b, "base-")
	}
}

func (o *outcome) report(b *testing.B, who string) {
	for i, v := range o.attained {
		b.ReportMetric(v, who+"tier"+strconv.Itoa(i+1))
	}
	b.ReportMetric(o.goodput, who+"goodput/s")
	b.ReportMetric(100*o.wasted, who+"wasted-%")
	b.ReportMetric(o.worstShare, who+"worst")
	b.ReportMetric(o.longestGap.Seconds(), who+"gap-s")
	b.ReportMetric(o.recovery.Seconds(), who+"recovery-s")
	b.ReportMetric(float64(len(o.shedViolations)), who+"shed-for-lower")
}
