package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// recoverTime is recoverS of the site's bounds, and recoverCheck the time after it in which requests are counted.
	recoverTime, recoverCheck = 12 * time.Second, 10 * time.Second
	// nesting is the depth of the arrays in the entry that can't be read.
	nesting = 10001
)

// playUnreadable: an entry of kind servers, from another writer, holds bytes that can't be read: arrays nested in one another.
// Then all processes are killed and start again.
func playUnreadable(w *world, trouble bool) (int, string) {
	if err := setUp(w, threadwell); err != nil {
		return couldNotRun, err.Error()
	}
	begin := time.Now()
	end := begin.Add(calmTime + 2*time.Second + recoverTime + recoverCheck)
	wg := load(w, end)
	time.Sleep(calmTime)
	killedAt := time.Now()
	if trouble {
		w.rec.note("another writer writes an entry that can't be read")
		w.store.putRaw("servers", "x-1", []byte(strings.Repeat("[", nesting)+strings.Repeat("]", nesting)))
		time.Sleep(time.Second)
	}
	w.rec.note("all processes are killed")
	for _, e := range w.edges {
		e.kill()
	}
	time.Sleep(restartDelay)
	for _, e := range w.edges {
		if err := w.startEdge(e); err != nil {
			return couldNotRun, err.Error()
		}
	}
	backAt := time.Now()
	wg.Wait()
	share := func(from, to time.Time) (asked, served int) {
		for _, a := range w.rec.answers {
			if a.sentAt.After(from) && a.sentAt.Before(to) {
				asked++
				if a.status == http.StatusOK && a.err == "" {
					served++
				}
			}
		}
		return asked, served
	}
	before, servedBefore := share(begin, killedAt)
	after, servedAfter := share(backAt.Add(recoverTime), end)
	result := fmt.Sprintf("RECOVER: %d of %d requests were served before the final fault, %d of %d of those sent later than 12 s after the machines were back", servedBefore, before, servedAfter, after)
	if 4*servedBefore >= before && 4*servedAfter < after {
		return broken, result
	}
	return held, result
}
