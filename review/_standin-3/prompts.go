package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"time"
)

// deadly is the part that crashes each runner that begins to write an answer on it.
const deadly = "dead0001"

// promptsCase sends prompts of 72 parts. The deadly part is the 68th, or that of the variable POSITION.
func promptsCase(d *deployment, trouble bool) (bool, error) {
	position := 68
	if n, err := strconv.Atoi(os.Getenv("POSITION")); err == nil {
		position = n
	}
	return d.playParts(trouble, 72, position, 0)
}

// begunCase sends prompts of 4 parts. Runners crash when they have written an answer on the deadly part for 150 ms, or for the
// milliseconds of the variable WRITES.
func begunCase(d *deployment, trouble bool) (bool, error) {
	writes := 150 * time.Millisecond
	if n, err := strconv.Atoi(os.Getenv("WRITES")); err == nil {
		writes = time.Duration(n) * time.Millisecond
	}
	return d.playParts(trouble, 4, 2, writes)
}

// playParts sends prompts with a number of parts, of which some have the deadly part at a position. A runner crashes when it has
// written an answer on it for a time. From contactMs after the fifth crash, at most three requests with it may reach runners.
func (d *deployment) playParts(trouble bool, parts, position int, writes time.Duration) (bool, error) {
	for i := range 6 {
		r, err := d.addRunner(fmt.Sprintf("i-model-%d", i+1), "shallot-pool", zones[i%3], 64)
		if err != nil {
			return false, err
		}
		r.events, r.pause, r.down, r.renamed, r.writes = 20, 30*time.Millisecond, 2500*time.Millisecond, true, writes
		if trouble {
			r.crashPart = deadly + ":"
		}
	}
	if err := d.configure([]route{briefRoute}, []map[string]any{modelService()}); err != nil {
		return false, err
	}
	if err := d.startHosts(); err != nil {
		return false, err
	}
	prompt := func(special string) string {
		l := make([]string, 0, parts)
		for i := 1; i < parts; i++ {
			id := fmt.Sprintf("%08x", 0x5c1e0000+i)
			if i == position {
				id = special
			}
			l = append(l, id+":40")
		}
		return strings.Join(append(l, fmt.Sprintf("%08x:200", rand.Uint32())), ",")
	}
	send := func(n int, body, special string) answer {
		return d.send(d.hosts[zones[n%3]], "/brief/1", fmt.Sprintf("%s %d", body, n), 5*time.Second, map[string]string{"X-Model": "m", "X-Token-Usage": "3040,100", "X-Prompt-Prefix": prompt(special)})
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	wait := traffic(80*time.Millisecond, stop, func(n int) answer { return send(n, "sound", fmt.Sprintf("%08x", 0x50000000+n%5)) })
	time.Sleep(5 * time.Second)
	badStop := make(chan struct{})
	waitBad := traffic(1500*time.Millisecond, badStop, func(n int) answer { return send(n, "deadly", deadly) })
	time.Sleep(50 * time.Second)
	close(badStop)
	for i, a := range waitBad() {
		d.add("request %d with the deadly part, %s: %v", i+1, a.id, a)
	}
	close(stop)
	answers := wait()
	crashes := d.crashes()
	more := 0
	reached := map[string]bool{}
	for _, r := range d.runners {
		for _, a := range r.arrived() {
			reached[a.id] = true
			if !strings.HasPrefix(a.body, "deadly") {
				continue
			}
			late := len(crashes) >= 5 && a.at.Sub(crashes[4]) > contactTime
			d.add("request %s with the deadly part reached runner %s at %.3f; later than contactMs after the fifth crash: %t", a.id, r.name, a.at.Sub(d.record.start).Seconds(), late)
			if late {
				more++
			}
		}
	}
	lost, refused := 0, 0
	for _, a := range answers {
		switch {
		case reached[a.id] && (a.status != 200 || !a.whole):
			lost++
		case !reached[a.id]:
			refused++
		}
	}
	d.add("%d crashes; %d requests with the deadly part reached runners later than contactMs after the fifth; of %d sound requests %d reached a runner and were cut, %d reached none", len(crashes), more, len(answers), lost, refused)
	fmt.Printf("%d crashes, %d requests later than contactMs after the fifth; of %d sound requests %d were cut, %d reached no runner\n", len(crashes), more, len(answers), lost, refused)
	return more > 3, nil
}
