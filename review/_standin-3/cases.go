package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

var (
	briefRoute = route{name: "job-brief", prefix: "/brief/", kind: "streaming", service: "shallot-pool", timeout: 5 * time.Second, goal: 400 * time.Millisecond, gap: 300 * time.Millisecond, attempts: 1, sticky: true}
	bookRoute  = route{name: "book-fitter", prefix: "/book/", kind: "unsafe", service: "bookings-app", timeout: 1200 * time.Millisecond, goal: 150 * time.Millisecond, attempts: 1}
)

// traffic sends requests at a steady rate until stop is closed, and returns a function that waits for the last answers.
func traffic(interval time.Duration, stop <-chan struct{}, send func(n int) answer) func() []answer {
	var mu sync.Mutex
	var out []answer
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		t := time.NewTicker(interval)
		defer t.Stop()
		for n := 0; ; n++ {
			select {
			case <-t.C:
			case <-stop:
				return
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				a := send(n)
				mu.Lock()
				defer mu.Unlock()
				out = append(out, a)
			}()
		}
	}()
	return func() []answer {
		wg.Wait()
		return out
	}
}

// leavingCase lets a runner crash and start again under its id within the life of its entry. Later that runner leaves. No
// request may reach it later than drainMs after the store has accepted that.
func leavingCase(d *deployment, trouble bool) (bool, error) {
	for i, zone := range []string{"mid-a", "mid-a", "mid-b", "mid-c"} {
		r, err := d.addRunner(fmt.Sprintf("i-model-%d", i+1), "shallot-pool", zone, 64)
		if err != nil {
			return false, err
		}
		r.events, r.pause, r.down = 20, 50*time.Millisecond, 2*time.Second
	}
	if err := d.configure([]route{briefRoute}, []map[string]any{modelService()}); err != nil {
		return false, err
	}
	if err := d.startHosts(); err != nil {
		return false, err
	}
	brief := func(n int) answer {
		prefix := fmt.Sprintf("%x:1200,%x:700,%x:%d", 0xa000, 0xb000+n%12, rand.Uint64(), 200)
		return d.send(d.hosts[zones[n%3]], "/brief/1", "brief", 5*time.Second, map[string]string{"X-Model": "m", "X-Token-Usage": "2100,100", "X-Prompt-Prefix": prefix})
	}
	stop := make(chan struct{})
	wait := traffic(50*time.Millisecond, stop, brief)
	time.Sleep(6 * time.Second)
	close(stop)
	answers := wait()
	leaver := d.runners[0]
	for _, r := range d.runners {
		d.add("runner %s has got %d requests", r.id, len(r.arrived()))
		if len(r.arrived()) > len(leaver.arrived()) {
			leaver = r
		}
	}
	// The clients rest for a few seconds.
	if trouble {
		leaver.crash()
	}
	time.Sleep(3 * time.Second)
	stop = make(chan struct{})
	wait = traffic(50*time.Millisecond, stop, brief)
	time.Sleep(8 * time.Second)
	acceptedAt := leaver.drain()
	time.Sleep(drainTime + 1500*time.Millisecond)
	leaver.stop("it has left")
	d.store.Remove("servers", leaver.id)
	time.Sleep(3 * time.Second)
	close(stop)
	answers = append(answers, wait()...)
	late := 0
	lateIDs := map[string]bool{}
	for _, a := range leaver.arrived() {
		if after := a.at.Sub(acceptedAt); after > drainTime {
			late++
			lateIDs[a.id] = true
			d.add("request %s reached runner %s %.0f ms after the store had accepted that it is draining", a.id, leaver.id, after.Seconds()*1000)
		}
	}
	cut := 0
	for _, a := range answers {
		if lateIDs[a.id] && !a.whole {
			cut++
			d.add("request %s, sent %.0f ms after that, ended with: %v", a.id, a.sentAt.Sub(acceptedAt).Seconds()*1000, a)
		}
	}
	d.add("%d requests were sent; %d reached the leaving runner later than drainMs; of these %d were cut", len(answers), late, cut)
	fmt.Printf("%d of %d requests reached the leaving runner later than drainMs, %d of these were cut\n", late, len(answers), cut)
	return late > 0, nil
}

// recurringCase lets a request come again that crashes each runner that runs it. Each runner starts again under its id, or with
// RENAMED=1 under a new one. From contactMs after the third crash, it may reach runners three times more.
func recurringCase(d *deployment, trouble bool) (bool, error) {
	for i, zone := range zones {
		r, err := d.addRunner(fmt.Sprintf("i-app-%d", i+1), "bookings-app", zone, 6)
		if err != nil {
			return false, err
		}
		r.work, r.down = 100*time.Millisecond, 2500*time.Millisecond
		r.renamed = os.Getenv("RENAMED") == "1"
		if trouble {
			r.crashOn = "poison"
		}
	}
	if err := d.configure([]route{bookRoute}, []map[string]any{bookingService()}); err != nil {
		return false, err
	}
	if err := d.startHosts(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	wait := traffic(60*time.Millisecond, stop, func(n int) answer {
		return d.send(d.hosts[zones[n%3]], fmt.Sprintf("/book/%d", n), fmt.Sprintf("booking %d", n), 2500*time.Millisecond, nil)
	})
	time.Sleep(4 * time.Second)
	for range 16 {
		a := d.send(d.hosts["mid-a"], "/book/again", "poison", 2500*time.Millisecond, nil)
		d.add("the request that comes again, as %s: %v", a.id, a)
		time.Sleep(4 * time.Second)
	}
	close(stop)
	answers := wait()
	return d.judgeRecurring(answers), nil
}

// judgeRecurring reports whether the request that comes again has reached runners more than three times later than contactMs
// after it crashed the third.
func (d *deployment) judgeRecurring(answers []answer) bool {
	var reached []time.Time
	crashes := 0
	for _, r := range d.runners {
		crashes += len(r.crashes)
		for _, a := range r.arrived() {
			if a.body == "poison" {
				reached = append(reached, a.at)
				d.add("the request that comes again reached runner %s as %s at %.3f", r.id, a.id, a.at.Sub(d.record.start).Seconds())
			}
		}
	}
	var third time.Time
	if all := d.crashes(); len(all) >= 3 {
		third = all[2]
	}
	more := 0
	for _, at := range reached {
		if !third.IsZero() && at.Sub(third) > contactTime {
			more++
		}
	}
	lost, ids := 0, map[string]bool{}
	for _, r := range d.runners {
		for _, a := range r.arrived() {
			ids[a.id] = true
		}
	}
	for _, a := range answers {
		if ids[a.id] && (a.status != 200 || !a.whole) {
			lost++
		}
	}
	d.add("%d crashes; the request reached runners %d times later than contactMs after the third; %d of %d sound bookings had reached a runner and failed", crashes, more, lost, len(answers))
	fmt.Printf("%d crashes, %d of them later than contactMs after the third; %d of %d sound bookings reached a runner and failed\n", crashes, more, lost, len(answers))
	return more > 3
}
