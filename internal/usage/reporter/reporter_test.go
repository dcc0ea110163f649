package reporter_test

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"shallotramp/internal/usage/reporter"
	"shallotramp/internal/usage/window"
)

var seeds = flag.Uint64("seeds", 6, "number of seeds for each fault test")

const (
	// faultDuration is the virtual time with faults, and drainDuration the virtual time after the hosts have stopped.
	faultDuration = 30 * time.Minute
	drainDuration = 25 * time.Minute
)

// runResult is the result of one simulation.
type runResult struct {
	expected, reported           window.Usage
	digests                      map[window.ID]map[string]bool
	summaries                    []window.Summary
	killedHosts, receivedReports int
}

// run runs one simulation: first with faults, then without, and then with the hosts stopped as planned.
func run(t *testing.T, seed uint64, configure func(*simulation)) runResult {
	t.Helper()
	var out runResult
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(seed)
		configure(sim)
		hosts, stopHosts := context.WithCancel(t.Context())
		reporters, stopReporters := context.WithCancel(t.Context())
		sim.wg.Add(6)
		for i := range 3 {
			go sim.runHost(hosts, fmt.Sprintf("host-%d", i))
		}
		go sim.runReporters(reporters)
		go sim.runReporters(reporters)
		go sim.injectFaults(hosts)
		time.Sleep(faultDuration)
		sim.endFaults()
		time.Sleep(5 * time.Minute)
		stopHosts()
		time.Sleep(drainDuration)
		stopReporters()
		sim.wg.Wait()
		time.Sleep(2 * time.Minute)
		out.expected = sim.servers.usage()
		out.reported, out.digests = sim.reported()
		out.killedHosts, out.receivedReports = sim.killedHosts, len(sim.sink.All())
		var err error
		if out.summaries, err = reporter.Windows(t.Context(), sim.store, sim.sink); err != nil {
			t.Fatal(err)
		}
	})
	return out
}

// TestUsageEqualsTheServersOwnCounts guards against lost or doubled usage when hosts are killed, when calls fail, and
// when several reporters consider themselves the holder of the lease.
func TestUsageEqualsTheServersOwnCounts(t *testing.T) {
	for name, neverExpires := range map[string]bool{
		"earlier holders report until their term ends": false,
		"earlier holders never stop reporting":         true,
	} {
		t.Run(name, func(t *testing.T) {
			killedHosts, repeatedReports := 0, 0
			for seed := range *seeds {
				convey.Convey(fmt.Sprintf("%s, seed %d", name, seed), t, func() {
					r := run(t, seed, func(sim *simulation) { sim.leaseNeverExpires = neverExpires })
					convey.So(window.Difference(r.expected, r.reported), convey.ShouldBeEmpty)
					for _, d := range r.digests {
						convey.So(len(d), convey.ShouldEqual, 1)
					}
					for _, s := range r.summaries {
						convey.So(s.Intact, convey.ShouldBeTrue)
						convey.So(s.Difference, convey.ShouldBeEmpty)
					}
					killedHosts += r.killedHosts
					repeatedReports += r.receivedReports - len(r.digests)
				})
			}
			t.Logf("%d runs: %d hosts killed, %d windows sent again", *seeds, killedHosts, repeatedReports)
			if killedHosts == 0 || repeatedReports == 0 {
				t.Fatal("the runs had no killed hosts or no repeated reports, so the test checks nothing")
			}
		})
	}
}

// TestFlushesAloneFallShort checks that usage is lost without the recovery from the servers' counts. It shows that the
// simulation detects lost usage.
func TestFlushesAloneFallShort(t *testing.T) {
	var lost, total int64
	for seed := range *seeds {
		r := run(t, seed, func(sim *simulation) { sim.withoutServerCounts = true })
		for o, u := range window.Difference(r.expected, r.reported) {
			lost += u.OutputTokens
			if u.OutputTokens < 0 {
				t.Errorf("seed %d: %s is reported %d tokens too many", seed, o, -u.OutputTokens)
			}
		}
		for _, u := range r.expected {
			total += u.OutputTokens
		}
	}
	t.Logf("%d runs: %d of %d tokens lost (%.2f%%)", *seeds, lost, total, 100*float64(lost)/float64(total))
	if lost == 0 {
		t.Fatal("no usage was lost without the servers' counts: the runs killed no host during a stream")
	}
}
