package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// moreRoutes are the routes beside the four of the site: those of five times big_config at its largest dose there.
	moreRoutes = 5 * 440
	// changeGap is a gap of config_storm within those of the site file, 0.08 to 0.33 s, and maxChanges how often the
	// configuration changes at most.
	changeGap  = 200 * time.Millisecond
	maxChanges = 450
)

// changes lets the operator change a large configuration again and again. Without the disruption the configuration is as
// large and changes twice.
func changes(r *recorder, trouble bool) (broken bool) {
	d := newDeployment(r)
	defer d.close()
	version := 3
	size := d.configure(version, moreRoutes)
	for i := range 2 {
		d.startServer(fmt.Sprintf("i-desk%d", i), "desk", "atyrau-a", 6)
	}
	for _, zone := range []string{"atyrau-a", "atyrau-b"} {
		d.start(d.addHost(zone, d.storeAddr))
	}
	for _, h := range d.hosts {
		d.awaitReady(h)
	}
	r.line("the configuration has %d bytes", size)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { ordinary(ctx, r, d.frontOf(d.hosts[0])) })
	limit := maxChanges
	if !trouble {
		limit = 2
	}
	over := map[*host]bool{}
	for n := 0; n < maxChanges && len(over) < len(d.hosts); n++ {
		if n < limit {
			version += 3
			d.configure(version, moreRoutes)
		}
		time.Sleep(changeGap)
		for _, h := range d.hosts {
			if n%20 == 0 {
				r.line("%s after %d changes: %s", h.name, min(n+1, limit), memoryOf(h))
			}
			if !over[h] && (!h.isRunning() || h.memory("RssAnon") > memoryMb) {
				over[h] = true
				r.line("%s uses more than the %d MB of its machine after %d changes, so the platform kills it: %s", h.name, memoryMb, n+1, memoryOf(h))
			}
		}
	}
	for _, h := range d.hosts {
		r.line("%s at the end: %s; versions in force in its log: %d", h.name, memoryOf(h), len(h.logged("TableInForce")))
	}
	cancel()
	wg.Wait()
	return len(over) > 0
}
