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

var seeds = flag.Uint64("seeds", 6, "how many seeds each fault test runs")

const (
	// troubled and quiet are the virtual times with and without faults.
	troubled = 30 * time.Minute
	quiet    = 25 * time.Minute
)

// result is what a run of a world gave.
type result struct {
	truth, reported window.Usage
	digests         map[window.ID]map[string]bool
	summaries       []window.Summary
	kills, received int
}

// run lets hosts and reporters work among faults, then without, and stops hosts as planned.
func run(t *testing.T, seed uint64, setUp func(*world)) result {
	t.Helper()
	var out result
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(seed)
		setUp(w)
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
					r := run(t, seed, func(w *world) { w.deaf = deaf })
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

// TestFlushesAloneFallShort shows what the servers' counts are for, and that the runs would find a loss.
func TestFlushesAloneFallShort(t *testing.T) {
	var lost, all int64
	for seed := range *seeds {
		r := run(t, seed, func(w *world) { w.alone = true })
		for o, u := range window.Difference(r.truth, r.reported) {
			lost += u.OutputTokens
			if u.OutputTokens < 0 {
				t.Errorf("seed %d: %s is reported %d tokens too many", seed, o, -u.OutputTokens)
			}
		}
		for _, u := range r.truth {
			all += u.OutputTokens
		}
	}
	t.Logf("%d runs: %d of %d tokens lost (%.2f%%)", *seeds, lost, all, 100*float64(lost)/float64(all))
	if lost == 0 {
		t.Fatal("nothing was lost without the servers' counts: the runs kill no host in mid-stream")
	}
}
