// Command standin-3 plays the scripted cases of the third review: the platform, the runners and the clients of a small
// deployment, whose hosts it starts as processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	held, broken, unable = 0, 1, 2
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(d *deployment, trouble bool) (bool, error){
	"leaving":   leavingCase,
	"recurring": recurringCase,
	"prompts":   promptsCase,
	"moved":     movedCase,
	"begun":     begunCase,
	"framed":    framedCase,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		return unable
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer func() { _ = out.Close() }()
	rec := &record{start: time.Now(), out: out}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, with the disruption: %t", os.Args[1], trouble)
	d, err := newDeployment(rec)
	if err != nil {
		rec.add("can't run: %v", err)
		return unable
	}
	defer d.end()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		b, err := cases[os.Args[1]](d, trouble)
		done <- result{b, err}
	}()
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			rec.add("can't run: %v", r.err)
			fmt.Println("can't run:", r.err)
			return unable
		case r.broken:
			rec.add("the rule is broken")
			fmt.Println("the rule is broken")
			return broken
		}
		rec.add("the rule holds")
		fmt.Println("the rule holds")
		return held
	case <-stop:
	case <-time.After(115 * time.Second):
	}
	rec.add("can't run: it takes too long or was ended")
	return unable
}
