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

var seeds = flag.Uint64("seeds", 10, "how many seeds each fault test runs")

const (
	// troubled and quiet are the virtual times with and without faults.
	troubled = 40 * time.Minute
	quiet    = 35 * time.Minute
)

// result is what a run of a world gave.
type result struct {
	truth, reported, baseline window.Use
	digests                   map[window.ID]map[string]bool
	summaries                 []window.Summary
	kills, received           int
}

// run lets hosts and reporters work among faults, then without, and stops hosts as planned.
func run(t *testing.T, seed uint64, deaf bool) result {
	t.Helper()
	var out result
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(seed)
		w.deaf = deaf
		hosts, stopHosts := context.WithCancel(t.Context())
		reporters, stopReporters := context.WithCancel(t.Context())
		w.wg.Add(6)
		for i := range 3 {
			go w.host(hosts, fmt.Sprintf("host-%d", i))
		}
		go w.reporterSeat(reporters)
		go w.reporterSeat(reporters)
		go w.trouble(hosts)
		time.Sleep(troubled)
		w.settle()
		time.Sleep(5 * time.Minute)
		stopHosts()
		time.Sleep(quiet)
		stopReporters()
		w.wg.Wait()
		time.Sleep(2 * time.Minute)
		out.truth = w.engines.truth()
		out.reported, out.digests = w.reported()
		out.baseline = window.Use(w.baseline.Sums())
		out.kills, out.received = w.kills, len(w.sink.All())
		var err error
		if out.summaries, err = reporter.Windows(t.Context(), w.store, w.sink); err != nil {
			t.Fatal(err)
		}
	})
	return out
}

func TestUsageEqualsTheServersOwnCounts(t *testing.T) {
	for name, deaf := range map[string]bool{
		"reporters learn late that the lease moved":        false,
		"reporters never learn it and work beside another": true,
	} {
		t.Run(name, func(t *testing.T) {
			kills, again := 0, 0
			for seed := range *seeds {
				convey.Convey(fmt.Sprintf("%s, seed %d", name, seed), t, func() {
					r := run(t, seed, deaf)
					convey.So(window.Difference(r.truth, r.reported), convey.ShouldBeEmpty)
					for _, d := range r.digests {
						convey.So(len(d), convey.ShouldEqual, 1)
					}
					for _, s := range r.summaries {
						convey.So(s.Intact, convey.ShouldBeTrue)
						convey.So(s.Difference, convey.ShouldBeEmpty)
					}
					kills += r.kills
					again += r.received - len(r.digests)
				})
			}
			t.Logf("%d runs: %d hosts killed, %d windows sent again", *seeds, kills, again)
			if kills == 0 || again == 0 {
				t.Fatal("the runs had no kills or no repeated reports, and so show nothing")
			}
		})
	}
}
